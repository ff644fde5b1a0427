/** Network between the entries of a simulated deployment, under virtual time. */
import type { Random } from "@pimentospring/core/random/random";
import type { Timer } from "@pimentospring/core/time/timer";
import type { DatagramListeners, DatagramSocket } from "../../mesh/datagramSocket.js";
import { decodeStateRequest } from "../peerMessages.js";
import type { Replication } from "../replication.js";

/** Places of the entries, which are dealt to data centres and regions in turn. */
export interface Topology {
    addressOf(entry: number): string;
    entryAt(address: string): number;
    dataCentreOf(entry: number): number;
    regionOf(entry: number): number;
    delayMs(from: number, to: number): number;
    /** One-way delay to the store, which stands in the first region. */
    storeDelayMs(entry: number): number;
}

export interface DeploymentNetwork {
    socketAt(entry: number): DatagramSocket;
    requestState(from: number, address: string, body: Buffer): Promise<Buffer | undefined>;
}

export interface DeploymentNetworkOptions {
    readonly timer: Timer;
    readonly random: Random;
    readonly topology: Topology;
    /** Fraction of the datagrams that are lost. */
    readonly datagramLoss: number;
    /** Whether the entry accepts state requests without ever responding. */
    readonly isHanging: (entry: number) => boolean;
    /** Whether datagrams between the two are lost. */
    readonly isCut?: (from: number, to: number) => boolean;
    readonly onDatagramSent: (entry: number) => void;
    /** `undefined` while the entry is down. */
    readonly replicationAt: (entry: number) => Replication | undefined;
}

const regionCount = 3;
const localDelayMs = 0.5;
const remoteDelayMs = 35;
const stateTimeoutMs = 800;

export function createTopology(dataCentreCount: number): Topology {
    const dataCentreOf = (entry: number): number => entry % dataCentreCount;
    const regionOf = (entry: number): number => dataCentreOf(entry) % regionCount;
    const delayBetween = (from: number, to: number): number => (from === to ? localDelayMs : remoteDelayMs);
    return {
        addressOf: entry => `entry-${entry}:1`,
        entryAt: address => Number(/^entry-(\d+):/.exec(address)![1]),
        dataCentreOf,
        regionOf,
        delayMs: (from, to) => delayBetween(regionOf(from), regionOf(to)),
        storeDelayMs: entry => delayBetween(regionOf(entry), 0),
    };
}

export function createDeploymentNetwork(options: DeploymentNetworkOptions): DeploymentNetwork {
    const { timer, random, topology } = options;
    const listenersAt = new Map<number, DatagramListeners>();
    const socketAt = (entry: number): DatagramSocket => ({
        bind: (_address, listeners) => {
            listenersAt.set(entry, listeners);
            return Promise.resolve();
        },
        send: (address, bytes) => {
            const to = topology.entryAt(address);
            options.onDatagramSent(entry);
            if (options.isCut?.(entry, to) !== true && random.next() >= options.datagramLoss) {
                const deliver = (): void => listenersAt.get(to)?.onDatagram(bytes, topology.addressOf(entry));
                timer.after(topology.delayMs(entry, to), deliver);
            }
        },
        close: () => listenersAt.delete(entry),
    });
    const requestState = (from: number, address: string, body: Buffer): Promise<Buffer | undefined> =>
        new Promise((resolve, reject) => {
            const to = topology.entryAt(address);
            const fail = (reason: string): void => reject(new Error(reason));
            timer.after(stateTimeoutMs, () => fail("no response"));
            if (options.isHanging(to)) {
                return;
            }
            timer.after(topology.delayMs(from, to), () => {
                const replication = options.replicationAt(to);
                const response = replication?.respondToPeer(decodeStateRequest(body)!);
                timer.after(
                    topology.delayMs(to, from),
                    () => replication === undefined ? fail("ECONNREFUSED") : resolve(response),
                );
            });
        });
    return { socketAt, requestState };
}
