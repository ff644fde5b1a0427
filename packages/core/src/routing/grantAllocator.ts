/** Gives out grants: a few times a second, and when asked, each service's free slots are divided among those that ask. */
import { grantLifetimeMs } from "../constants.js";
import type { DataCentreId, InstanceId, RegionId, ServiceId } from "../ids.js";
import type { Peer } from "../membership/peers.js";
import type { Emit } from "../requests/events.js";
import type { ServiceRuntime } from "../requests/serviceRuntime.js";
import type { Timer } from "../time/timer.js";
import { type Claimant, divideSlots } from "./grants.js";

/** Time for which a demand counts, in milliseconds. */
const demandLifetimeMs = 1_000;
/** Time between two messages to a peer that neither asks nor neighbours; it learns the latencies here by them. */
const idleGrantIntervalMs = 1_000;
/** Weight of a peer in the own region beside one further away. */
const sameRegionWeight = 4;
/**
 * A neighbour may have this share of our slots in flight beyond its part: its requests wait in our queue, which is
 * nearer to the slots than its own.
 */
const sameDataCentreFactor = 1.25;

/** Most requests on their way for each slot. */
const maxRoundTripFactor = 10;

/**
 * Requests that a distant peer needs in flight to keep one slot busy: while one runs, others travel. They are counted
 * by the peer for the whole way, and hold a slot here only for the time they run.
 */
function roundTripFactor(desk: ServiceRuntime, peer: Peer): number {
    const meanMs = desk.pool.meanServiceTimeMs();
    return meanMs === 0 ? 1 : Math.min(maxRoundTripFactor, 1 + peer.roundTripMs / meanMs);
}

export interface GrantAllocator {
    /** A peer asks for slots. */
    recordDemand(peer: InstanceId, service: ServiceId, wanted: number): void;
    /** A request of a peer began (1) or ended (-1) here. */
    recordInFlightChange(peer: InstanceId, service: ServiceId, change: 1 | -1): void;
    /** Sends grants of one service. */
    allocate(desk: ServiceRuntime, isFull: boolean): void;
}

export interface GrantAllocatorOptions {
    readonly timer: Timer;
    readonly emit: Emit;
    readonly ownDataCentre: DataCentreId;
    readonly regionOf: (dataCentre: DataCentreId) => RegionId | undefined;
    readonly peers: () => readonly Peer[];
}

/** What a peer asked for and has, of one service. */
interface PeerAccount {
    demandedAt: number;
    wanted: number;
    inFlight: number;
    sentAt: number;
    granted: number;
}

export function createGrantAllocator(options: GrantAllocatorOptions): GrantAllocator {
    const { timer, emit, ownDataCentre, regionOf } = options;
    const accounts = new Map<string, PeerAccount>();
    let turn = 0;

    const accountOf = (peer: InstanceId, service: ServiceId): PeerAccount => {
        const key = `${service} ${peer}`;
        let account = accounts.get(key);
        if (account === undefined) {
            account = { demandedAt: -Infinity, wanted: 0, inFlight: 0, sentAt: -Infinity, granted: 0 };
            accounts.set(key, account);
        }
        return account;
    };
    const claimantOf = (service: ServiceId, peer: Peer): Claimant => {
        const account = accountOf(peer.instance, service);
        const isAsking = timer.now() - account.demandedAt < demandLifetimeMs;
        return {
            peer: peer.instance,
            inFlight: account.inFlight,
            wanted: isAsking ? account.wanted : 0,
            weight: regionOf(peer.dataCentre) === regionOf(ownDataCentre) ? sameRegionWeight : 1,
        };
    };
    const send = (desk: ServiceRuntime, peer: Peer, slots: number): void => {
        const account = accountOf(peer.instance, desk.id);
        const isNews = slots > 0 || account.granted > 0;
        if (!isNews && timer.now() - account.sentAt < idleGrantIntervalMs) {
            return;
        }
        account.sentAt = timer.now();
        account.granted = slots;
        emit({
            kind: "message",
            to: peer.instance,
            message: { kind: "grant", service: desk.id, slots, lifetimeMs: grantLifetimeMs, ...desk.pool.report() },
        });
    };
    const round = (desk: ServiceRuntime, isFull: boolean): void => {
        const free = isFull || desk.queue.total() > 0 ? 0 : desk.pool.freeSlots("short");
        const peers = options.peers().filter(peer => peer.state === "alive" || peer.state === "leaving");
        const claimants = peers.map(peer => claimantOf(desk.id, peer));
        const shares = divideSlots(free, claimants, turn++);
        const neighbours = peers.filter(peer => peer.dataCentre === ownDataCentre).length;
        const neighbourSlots = isFull ? 0 : Math.ceil((desk.pool.capacity() * sameDataCentreFactor) / (neighbours + 1));
        peers.forEach((peer, at) => {
            const slots = Math.floor((claimants[at]!.inFlight + shares[at]!) * roundTripFactor(desk, peer));
            send(desk, peer, peer.dataCentre === ownDataCentre ? Math.max(slots, neighbourSlots) : slots);
        });
    };
    return {
        recordDemand: (peer, service, wanted) => {
            const account = accountOf(peer, service);
            account.demandedAt = timer.now();
            account.wanted = wanted;
        },
        recordInFlightChange: (peer, service, change) => {
            accountOf(peer, service).inFlight += change;
        },
        allocate: round,
    };
}
