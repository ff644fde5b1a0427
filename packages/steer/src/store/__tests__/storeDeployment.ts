/**
 * Entries with their real replication and mesh, a store that can fail for some of them, and a network, under virtual
 * time.
 */
import {
    type InstanceId,
    type TargetId,
    toDataCentreId,
    toInstanceId,
    toRegionId,
    toServiceId,
    toTargetId,
} from "@pimentospring/core/ids";
import { createRandom, type Random } from "@pimentospring/core/random/random";
import { createMembers, type MemberRecord } from "@pimentospring/core/steering/members";
import { createTargetRegistry } from "@pimentospring/core/steering/targetRegistry";
import { createVirtualTimer, type VirtualTimer } from "@pimentospring/core/time/virtualTimer";
import { type Log, silentLog } from "@pimentospring/runtime/logs/log";
import type { DatagramListeners, DatagramSocket } from "../../mesh/datagramSocket.js";
import { createMesh, type Mesh } from "../../mesh/mesh.js";
import { decodeStateRequest } from "../peerMessages.js";
import { createReplication, type Replication } from "../replication.js";
import type { StoreItemDecoder } from "../storeItems.js";
import { createStoreProjection } from "../storeProjection.js";
import { createStoreServer, type StoreServer } from "./storeServer.js";

export interface DeploymentOptions {
    readonly entryCount: number;
    readonly dataCentreCount: number;
    readonly seed: number;
    /** Fraction of the datagrams that are lost. */
    readonly datagramLoss?: number;
    readonly log?: Log;
}

export interface DeployedEntry {
    readonly index: number;
    readonly isRunning: () => boolean;
    /** Version of the configuration in force. */
    readonly version: () => number;
    /** Whether the entry knows that the target leaves, or has removed it. */
    readonly isLeaving: (target: TargetId) => boolean;
    readonly replication: () => Replication;
    kill(): void;
    start(): void;
}

export interface Deployment {
    readonly timer: VirtualTimer;
    readonly store: StoreServer;
    readonly entries: readonly DeployedEntry[];
    readonly random: Random;
    /** Addresses between which nothing passes, by data centre. */
    readonly cutDataCentres: Set<string>;
    /** Entries that do not respond to state requests. */
    readonly hangingEntries: Set<number>;
    sentDatagramBytes(): number;
    /** Advances the clock, letting promises settle on the way. */
    run(durationMs: number): Promise<void>;
}

const stepMs = 10;
const localDelayMs = 0.5;
const remoteDelayMs = 35;
const regionCount = 3;
const stateTimeoutMs = 800;
const configurationKey = "config";
const targetPrefix = "target/";

export const targetKey = (id: TargetId): string => targetPrefix + id;
export const formatTarget = (isDraining: boolean): string => (isDraining ? "draining" : "ready");
export const formatConfiguration = (version: number): string => String(version);
export { configurationKey };

const itemDecoder: StoreItemDecoder = {
    parseKey: key =>
        key === configurationKey
            ? { kind: "document" }
            : key.startsWith(targetPrefix)
            ? { kind: "target", id: toTargetId(key.slice(targetPrefix.length)) }
            : { kind: "other" },
    decodeDocument: value => ({
        isValid: true,
        value: {
            version: Number(value.toString()),
            routes: [],
            unreadableRoutes: [],
            services: [],
            limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
            faults: [],
        },
    }),
    decodeTarget: (id, value) => ({
        isValid: true,
        value: {
            id,
            service: toServiceId("s"),
            address: id,
            dataCentre: toDataCentreId("dc-0"),
            region: toRegionId("r-0"),
            slots: 1,
            isDraining: value.toString() === "draining",
            coldMs: 0,
            startedAt: 1,
        },
    }),
};

interface Network {
    socketAt(index: number): DatagramSocket;
    requestState(from: number, address: string, body: Buffer): Promise<Buffer | undefined>;
    sentBytes(): number;
}

export function createDeployment(options: DeploymentOptions): Deployment {
    const { entryCount, dataCentreCount, seed, log = silentLog } = options;
    const timer = createVirtualTimer();
    const random = createRandom(seed);
    const regionOf = (dataCentre: number): number => dataCentre % regionCount;
    const dataCentreOf = (index: number): number => index % dataCentreCount;
    const addressOf = (index: number): string => `entry-${index}:1`;
    const indexOf = (address: string): number => Number(/^entry-(\d+):/.exec(address)![1]);
    const delayMs = (from: number, to: number): number =>
        regionOf(dataCentreOf(from)) === regionOf(dataCentreOf(to)) ? localDelayMs : remoteDelayMs;
    const cutDataCentres = new Set<string>();
    const hangingEntries = new Set<number>();
    const isCut = (from: number, to: number): boolean =>
        dataCentreOf(from) !== dataCentreOf(to)
        && [from, to].some(index => cutDataCentres.has(`dc-${dataCentreOf(index)}`));
    const store = createStoreServer({
        timer,
        delayMs: entry => regionOf(dataCentreOf(entry)) === 0 ? localDelayMs : remoteDelayMs,
    });
    const listenersAt = new Map<number, DatagramListeners>();
    const replications = new Map<number, Replication>();
    const network = createNetwork();
    const entries = Array.from({ length: entryCount }, (_, index) => createEntry(index));

    function createNetwork(): Network {
        let sentBytes = 0;
        const socketAt = (index: number): DatagramSocket => ({
            bind: (_address, listeners) => {
                listenersAt.set(index, listeners);
                return Promise.resolve();
            },
            send: (address, bytes) => {
                const to = indexOf(address);
                sentBytes += bytes.length;
                if (!isCut(index, to) && random.next() >= (options.datagramLoss ?? 0)) {
                    timer.after(delayMs(index, to), () => listenersAt.get(to)?.onDatagram(bytes, addressOf(index)));
                }
            },
            close: () => listenersAt.delete(index),
        });
        const requestState = (from: number, address: string, body: Buffer): Promise<Buffer | undefined> =>
            new Promise((resolve, reject) => {
                const to = indexOf(address);
                const fail = (reason: string): void => reject(new Error(reason));
                timer.after(stateTimeoutMs, () => fail("no response"));
                if (isCut(from, to) || hangingEntries.has(to)) {
                    return;
                }
                timer.after(delayMs(from, to), () => {
                    const replication = replications.get(to);
                    const response = replication?.respondToPeer(decodeStateRequest(body)!);
                    const isRefused = replication === undefined;
                    timer.after(delayMs(to, from), () => isRefused ? fail("ECONNREFUSED") : resolve(response));
                });
            });
        return { socketAt, requestState, sentBytes: () => sentBytes };
    }

    function createEntry(index: number): DeployedEntry {
        let incarnation = 0;
        let stop: (() => void) | undefined;
        let version = 0;
        let isTargetLeaving = (_target: TargetId): boolean => false;
        const start = (): void => {
            const id: InstanceId = toInstanceId(
                `entry-${String(index).padStart(4, "0")}/${random.below(1e9).toString(36)}-${++incarnation}`,
            );
            const self: MemberRecord = {
                id,
                callers: addressOf(index),
                mesh: addressOf(index),
                control: addressOf(index),
                dataCentre: toDataCentreId(`dc-${dataCentreOf(index)}`),
                region: toRegionId(`r-${regionOf(dataCentreOf(index))}`),
            };
            version = 0;
            let isStopped = false;
            /** A killed process runs no more timers. */
            const ownTimer = {
                ...timer,
                after: (wait: number, listener: () => void) => timer.after(wait, () => isStopped || listener()),
                subscribe: (interval: number, listener: () => void) => timer.subscribe(interval, () => isStopped || listener()),
            };
            const members = createMembers(ownTimer, self);
            const registry = createTargetRegistry({ timer: ownTimer, onChanged: () => {} });
            const projection = createStoreProjection({
                timer: ownTimer,
                log,
                decoder: itemDecoder,
                registry,
                members,
                self: id,
                hasStoreFailedRecently: () => replication.hasStoreFailedRecently(),
                onRegistrationLost: () => replication.markRegistrationLost(),
                onDocumentAccepted: document => {
                    version = document.version;
                },
            });
            const replication = createReplication({
                store: store.clientOf(index),
                timer: ownTimer,
                random: createRandom(seed + 1_000 * index + incarnation),
                log,
                self,
                members,
                seeds: () => [0, 1, 2].map(addressOf),
                requestState: (address, body) => network.requestState(index, address, body),
                onEvent: event => isStopped || projection.apply(event),
                onBatchApplied: projection.onBatchApplied,
                announceRevision: scope => mesh.announceRevision(scope),
            });
            const mesh: Mesh = createMesh({
                timer: ownTimer,
                log,
                socket: network.socketAt(index),
                self,
                members,
                ownLoads: () => ({ dataCentre: self.dataCentre, entry: id, loads: [] }),
                revision: replication.replica.revision,
                leavingTargets: () => [],
                isWatching: replication.replica.isWatching,
                onHeartbeat: (heartbeat, member) => {
                    members.recordDataCentreAlive(member.record.dataCentre);
                    heartbeat.loads.forEach(({ dataCentre }) => members.recordDataCentreAlive(dataCentre));
                    replication.onHeartbeat(heartbeat, member.record);
                },
                onUnknownHeartbeat: replication.onUnknownHeartbeat,
                takeDigest: () => undefined,
                onDigest: () => {},
            });
            isTargetLeaving = target => registry.find(target)?.record.isDraining ?? true;
            replications.set(index, replication);
            replication.startPeerSync();
            void mesh.start();
            replication.start();
            stop = () => {
                isStopped = true;
                replication.stop();
                mesh.close();
                replications.delete(index);
                store.disconnect(index);
            };
        };
        return {
            index,
            isRunning: () => stop !== undefined,
            version: () => version,
            isLeaving: target => isTargetLeaving(target),
            replication: () => replications.get(index)!,
            kill: () => {
                stop?.();
                stop = undefined;
            },
            start,
        };
    }

    const run = async (durationMs: number): Promise<void> => {
        for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
            timer.advance(stepMs);
            await new Promise(resolve => setImmediate(resolve));
        }
    };
    return { timer, store, entries, random, cutDataCentres, hangingEntries, sentDatagramBytes: network.sentBytes, run };
}
