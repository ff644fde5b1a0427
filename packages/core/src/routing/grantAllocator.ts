/**
 * Allocates grants: every `grantIntervalMs` and on demand, the free slots of a service are divided among the peers that
 * ask for them.
 */
import { grantLifetimeMs } from "../constants.js";
import type { DataCentreId, InstanceId, RegionId, ServiceId } from "../ids.js";
import type { Peer } from "../membership/peers.js";
import type { Emit } from "../requests/events.js";
import type { ServiceRuntime } from "../requests/serviceRuntime.js";
import type { Timer } from "../time/timer.js";
import { type Claimant, divideSlots } from "./grants.js";

/** Time after which a peer's demand expires. */
const demandLifetimeMs = 1_000;
/** Interval of empty grants to peers that have no slots; they carry the latency and ejection figures of our targets. */
const idleGrantIntervalMs = 1_000;
/** Weight of a peer in our own region; a peer in another region has weight 1. */
const sameRegionWeight = 4;
/**
 * Multiple of its even share of our slots that a peer in the same data centre may have in flight. Requests above the
 * share wait in our queue, which is closer to the slots than the peer's own queue.
 */
const sameDataCentreFactor = 1.25;

/** Upper bound of `roundTripFactor`. */
const maxRoundTripFactor = 10;

/**
 * Requests that a peer needs in flight to keep one slot busy (bandwidth-delay product). The peer counts a request for
 * the whole round trip, but the request occupies a slot here only while it runs.
 */
function roundTripFactor(runtime: ServiceRuntime, peer: Peer): number {
    const meanMs = runtime.pool.meanServiceTimeMs();
    return meanMs === 0 ? 1 : Math.min(maxRoundTripFactor, 1 + peer.roundTripMs / meanMs);
}

export interface GrantAllocator {
    /** Records that a peer asks for slots. */
    recordDemand(peer: InstanceId, service: ServiceId, wanted: number): void;
    /** Records that a request of a peer started (1) or ended (-1) here. */
    recordInFlightChange(peer: InstanceId, service: ServiceId, change: 1 | -1): void;
    /** Sends the grants of one service to all peers; `isFull` withholds slots that are not in use already. */
    allocate(runtime: ServiceRuntime, isFull: boolean): void;
}

export interface GrantAllocatorOptions {
    readonly timer: Timer;
    readonly emit: Emit;
    readonly ownDataCentre: DataCentreId;
    readonly regionOf: (dataCentre: DataCentreId) => RegionId | undefined;
    readonly peers: () => readonly Peer[];
}

/** Demand and grant of one peer for one service. */
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
    let rotation = 0;

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
    const send = (runtime: ServiceRuntime, peer: Peer, slots: number): void => {
        const account = accountOf(peer.instance, runtime.id);
        const hasOrHadSlots = slots > 0 || account.granted > 0;
        if (!hasOrHadSlots && timer.now() - account.sentAt < idleGrantIntervalMs) {
            return;
        }
        account.sentAt = timer.now();
        account.granted = slots;
        emit({
            kind: "message",
            to: peer.instance,
            message: { kind: "grant", service: runtime.id, slots, lifetimeMs: grantLifetimeMs, ...runtime.pool.report() },
        });
    };
    const allocate = (runtime: ServiceRuntime, isFull: boolean): void => {
        const freeSlots = isFull || runtime.queue.total() > 0 ? 0 : runtime.pool.freeSlots("short");
        const peers = options.peers().filter(peer => peer.state === "alive" || peer.state === "leaving");
        const claimants = peers.map(peer => claimantOf(runtime.id, peer));
        const shares = divideSlots(freeSlots, claimants, rotation++);
        const sameDataCentreCount = peers.filter(peer => peer.dataCentre === ownDataCentre).length;
        const minSameDataCentreSlots = isFull
            ? 0
            : Math.ceil((runtime.pool.capacity() * sameDataCentreFactor) / (sameDataCentreCount + 1));
        peers.forEach((peer, index) => {
            const slots = Math.floor((claimants[index]!.inFlight + shares[index]!) * roundTripFactor(runtime, peer));
            send(runtime, peer, peer.dataCentre === ownDataCentre ? Math.max(slots, minSameDataCentreSlots) : slots);
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
        allocate,
    };
}
