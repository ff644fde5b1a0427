/**
 * Entries with their real replication and mesh, a store that can fail for some of them, and a network, under virtual
 * time.
 */
import { type DataCentreId, type TargetId, toDataCentreId, toInstanceId, toRegionId } from "@pimentospring/core/ids";
import { createRandom, type Random } from "@pimentospring/core/random/random";
import { createMembers, type MemberRecord } from "@pimentospring/core/steering/members";
import { createTargetRegistry } from "@pimentospring/core/steering/targetRegistry";
import { createVirtualTimer, type VirtualTimer } from "@pimentospring/core/time/virtualTimer";
import { type Log, silentLog } from "@pimentospring/runtime/logs/log";
import { createMesh, type Mesh } from "../../mesh/mesh.js";
import { createReplication, type Replication } from "../replication.js";
import { createStoreProjection } from "../storeProjection.js";
import { createActivityBound } from "./activityBound.js";
import { deploymentItemDecoder } from "./deploymentItems.js";
import { createDeploymentNetwork, createTopology } from "./deploymentNetwork.js";
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
    /** Whether the entry sends the target nothing more: it leaves, is out of use or was removed. */
    readonly isLeaving: (target: TargetId) => boolean;
    readonly isEvacuated: (dataCentre: DataCentreId) => boolean;
    /** Other entries that it counts as live. */
    readonly liveCount: () => number;
    readonly replication: () => Replication;
    kill(): void;
    start(): void;
}

export interface Deployment {
    readonly timer: VirtualTimer;
    readonly store: StoreServer;
    readonly entries: readonly DeployedEntry[];
    readonly random: Random;
    /** Entries that do not respond to state requests. */
    readonly hangingEntries: Set<number>;
    /** Datagrams and timer callbacks of an entry so far. */
    activityOf(entry: number): number;
    /** Advances the clock, letting promises settle on the way. Rejects if an entry is busy without end. */
    run(durationMs: number): Promise<void>;
}

const stepMs = 10;
const activityPeriodMs = 1_000;
export function createDeployment(options: DeploymentOptions): Deployment {
    const { entryCount, dataCentreCount, seed, log = silentLog } = options;
    const timer = createVirtualTimer();
    const random = createRandom(seed);
    const topology = createTopology(dataCentreCount);
    const { addressOf, dataCentreOf, regionOf } = topology;
    const hangingEntries = new Set<number>();
    const replications = new Map<number, Replication>();
    const activity = createActivityBound(entryCount);
    const store = createStoreServer({ timer, delayMs: topology.storeDelayMs });
    const network = createDeploymentNetwork({
        timer,
        random,
        topology,
        datagramLoss: options.datagramLoss ?? 0,
        onDatagramSent: activity.recordDatagram,
        isHanging: index => hangingEntries.has(index),
        replicationAt: index => replications.get(index),
    });
    const entries = Array.from({ length: entryCount }, (_, index) => createEntry(index));

    function createEntry(index: number): DeployedEntry {
        let incarnation = 0;
        let stop: (() => void) | undefined;
        let version = 0;
        let isTargetLeaving = (_target: TargetId): boolean => false;
        let isEvacuated = (_dataCentre: DataCentreId): boolean => false;
        let liveCount = (): number => 0;
        const start = (): void => {
            const id = toInstanceId(
                `entry-${String(index).padStart(4, "0")}/${random.below(1e9).toString(36)}-${++incarnation}`,
            );
            const self: MemberRecord = {
                id,
                callers: addressOf(index),
                mesh: addressOf(index),
                control: addressOf(index),
                dataCentre: toDataCentreId(`dc-${dataCentreOf(index)}`),
                region: toRegionId(`r-${regionOf(index)}`),
            };
            version = 0;
            let isStopped = false;
            /** A killed process runs no more timers. */
            const callBack = (listener: () => void): void => {
                if (!isStopped) {
                    activity.recordCallback(index);
                    listener();
                }
            };
            const ownTimer = {
                ...timer,
                after: (wait: number, listener: () => void) => timer.after(wait, () => callBack(listener)),
                subscribe: (interval: number, listener: () => void) => timer.subscribe(interval, () => callBack(listener)),
            };
            const members = createMembers(ownTimer, self);
            const registry = createTargetRegistry({ timer: ownTimer, onChanged: () => {} });
            const projection = createStoreProjection({
                timer: ownTimer,
                log,
                decoder: deploymentItemDecoder,
                registry,
                members,
                self: id,
                storeFailureAgeMs: () => replication.storeFailureAgeMs(),
                ownStoreFailureAgeMs: () => replication.ownStoreFailureAgeMs(),
                storeFailureSource: () => replication.storeFailureSource(),
                copyRevision: () => replication.copyRevision(),
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
                poisonReports: () => [],
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
            isEvacuated = projection.isEvacuated;
            liveCount = () => members.liveMembers().length;
            isTargetLeaving = id => {
                const target = registry.find(id);
                return target === undefined || target.isRemoved || target.record.isDraining;
            };
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
            isEvacuated: dataCentre => isEvacuated(dataCentre),
            liveCount: () => liveCount(),
            replication: () => replications.get(index)!,
            kill: () => {
                stop?.();
                stop = undefined;
            },
            start,
        };
    }

    let checkedAt = timer.now();
    const run = async (durationMs: number): Promise<void> => {
        for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
            timer.advance(stepMs);
            if (timer.now() >= checkedAt + activityPeriodMs) {
                checkedAt = timer.now();
                activity.check();
            }
            await new Promise(resolve => setImmediate(resolve));
        }
    };
    return { timer, store, entries, random, hangingEntries, activityOf: activity.totalOf, run };
}
