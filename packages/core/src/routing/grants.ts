/**
 * Credit-based flow control between entries, with credits (grants) that expire. A grant from a peer sets how many
 * requests of a service we may have in flight with it; without a valid grant nothing is sent. A peer that stops
 * responding therefore stops receiving traffic once its last grant expires.
 */
import { grantLifetimeMs } from "../constants.js";
import type { InstanceId, ServiceId } from "../ids.js";
import type { Grant } from "../membership/messages.js";
import type { Timer } from "../time/timer.js";

interface ReceivedGrant {
    slots: number;
    expiresAt: number;
    inFlight: number;
    receivedAt: number;
    medianMs: number | undefined;
    owned: number;
    ejected: number;
}

/** Recent figures of other entries about their targets of a service. */
export interface PeerTargetSummary {
    /** Median latencies, one for each entry that reported one. */
    readonly mediansMs: readonly number[];
    readonly owned: number;
    readonly ejected: number;
}

/** Time after which a peer's figures about its targets are ignored. */
const summaryLifetimeMs = 3_000;

export interface ReceivedGrants {
    recordGrant(from: InstanceId, grant: Grant): void;
    /** Number of requests that may be sent to the peer now. */
    availableSlots(service: ServiceId, peer: InstanceId): number;
    recordSent(service: ServiceId, peer: InstanceId): void;
    recordEnded(service: ServiceId, peer: InstanceId): void;
    /** Voids the peer's grant until the next one arrives, after the peer refused a request or could not be reached. */
    invalidate(service: ServiceId, peer: InstanceId): void;
    peerTargetSummary(service: ServiceId): PeerTargetSummary;
    hasAvailableSlot(service: ServiceId): boolean;
}

export function createReceivedGrants(timer: Timer): ReceivedGrants {
    const services = new Map<ServiceId, Map<InstanceId, ReceivedGrant>>();
    const grantFrom = (service: ServiceId, peer: InstanceId): ReceivedGrant => {
        let peers = services.get(service);
        if (peers === undefined) {
            peers = new Map();
            services.set(service, peers);
        }
        let received = peers.get(peer);
        if (received === undefined) {
            received = { slots: 0, expiresAt: 0, inFlight: 0, receivedAt: -Infinity, medianMs: undefined, owned: 0, ejected: 0 };
            peers.set(peer, received);
        }
        return received;
    };
    const availableSlotsOf = (received: ReceivedGrant): number =>
        received.expiresAt <= timer.now() ? 0 : Math.max(0, received.slots - received.inFlight);
    return {
        recordGrant: (from, grant) => {
            const received = grantFrom(grant.service as ServiceId, from);
            received.slots = grant.slots;
            received.expiresAt = timer.now() + Math.min(grant.lifetimeMs, grantLifetimeMs);
            received.receivedAt = timer.now();
            received.medianMs = grant.medianMs;
            received.owned = grant.owned;
            received.ejected = grant.ejected;
        },
        availableSlots: (service, peer) => {
            const received = services.get(service)?.get(peer);
            return received === undefined ? 0 : availableSlotsOf(received);
        },
        recordSent: (service, peer) => void grantFrom(service, peer).inFlight++,
        recordEnded: (service, peer) => void grantFrom(service, peer).inFlight--,
        invalidate: (service, peer) => {
            grantFrom(service, peer).expiresAt = 0;
        },
        peerTargetSummary: service => {
            const fresh = [...services.get(service)?.values() ?? []].filter(received =>
                received.receivedAt + summaryLifetimeMs > timer.now()
            );
            return {
                mediansMs: fresh.map(received => received.medianMs).filter(median => median !== undefined && median !== null),
                owned: fresh.reduce((sum, received) => sum + received.owned, 0),
                ejected: fresh.reduce((sum, received) => sum + received.ejected, 0),
            };
        },
        hasAvailableSlot: service => [...services.get(service)?.values() ?? []].some(received => availableSlotsOf(received) > 0),
    };
}

/** A peer that asks for a share of the free slots. */
export interface Claimant {
    readonly peer: InstanceId;
    /** Requests of the peer that are in flight here now. */
    readonly inFlight: number;
    /** Additional requests that the peer wants to send. */
    readonly wanted: number;
    /** Relative share among peers with the same demand; closer peers have a higher weight. */
    readonly weight: number;
}

/**
 * Divides free slots among claimants by weight. No claimant gets more than it wants, and the sum never exceeds `free`.
 * `turn` rotates the order, so that remainders don't always go to the same claimants.
 */
export function divideSlots(free: number, claimants: readonly Claimant[], turn: number): number[] {
    const shares = claimants.map(() => 0);
    let remaining = free;
    const unsatisfied = claimants.map((_, index) => (index + turn) % claimants.length);
    while (remaining > 0 && unsatisfied.length > 0) {
        const totalWeight = unsatisfied.reduce((sum, index) => sum + claimants[index]!.weight, 0);
        const roundSlots = remaining;
        for (const index of [...unsatisfied]) {
            const { wanted, weight } = claimants[index]!;
            const share = Math.min(
                wanted - shares[index]!,
                remaining,
                Math.max(1, Math.floor((roundSlots * weight) / totalWeight)),
            );
            shares[index]! += share;
            remaining -= share;
            if (shares[index]! >= wanted) {
                unsatisfied.splice(unsatisfied.indexOf(index), 1);
            }
        }
    }
    return shares;
}
