/**
 * Expiring grants of headroom between entries. A peer's grant says how many requests of a service we may have in
 * flight with it; without one nothing is sent. Grants run out by themselves, so a peer that falls silent stops getting
 * traffic. (Credit-based flow control, with credits that expire.)
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

/** What other entries told lately of their targets of a service. */
export interface PeerTargetSummary {
    /** Medians of latencies, one for each entry that knows one. */
    readonly mediansMs: readonly number[];
    readonly owned: number;
    readonly ejected: number;
}

/** Time for which what a peer told of its targets counts, in milliseconds. */
const summaryLifetimeMs = 3_000;

export interface ReceivedGrants {
    receive(from: InstanceId, grant: Grant): void;
    /** Requests that may be sent to the peer now. */
    availableSlots(service: ServiceId, peer: InstanceId): number;
    recordSent(service: ServiceId, peer: InstanceId): void;
    recordEnded(service: ServiceId, peer: InstanceId): void;
    /** The peer refused for want of room: its grant is void until the next. */
    invalidate(service: ServiceId, peer: InstanceId): void;
    peerTargetSummary(service: ServiceId): PeerTargetSummary;
    hasAvailableSlot(service: ServiceId): boolean;
}

export function createReceivedGrants(timer: Timer): ReceivedGrants {
    const services = new Map<ServiceId, Map<InstanceId, ReceivedGrant>>();
    const heldOf = (service: ServiceId, peer: InstanceId): ReceivedGrant => {
        let peers = services.get(service);
        if (peers === undefined) {
            peers = new Map();
            services.set(service, peers);
        }
        let held = peers.get(peer);
        if (held === undefined) {
            held = { slots: 0, expiresAt: 0, inFlight: 0, receivedAt: -Infinity, medianMs: undefined, owned: 0, ejected: 0 };
            peers.set(peer, held);
        }
        return held;
    };
    const roomOf = (held: ReceivedGrant): number => held.expiresAt <= timer.now() ? 0 : Math.max(0, held.slots - held.inFlight);
    return {
        receive: (from, grant) => {
            const held = heldOf(grant.service as ServiceId, from);
            held.slots = grant.slots;
            held.expiresAt = timer.now() + Math.min(grant.lifetimeMs, grantLifetimeMs);
            held.receivedAt = timer.now();
            held.medianMs = grant.medianMs;
            held.owned = grant.owned;
            held.ejected = grant.ejected;
        },
        availableSlots: (service, peer) => {
            const held = services.get(service)?.get(peer);
            return held === undefined ? 0 : roomOf(held);
        },
        recordSent: (service, peer) => void heldOf(service, peer).inFlight++,
        recordEnded: (service, peer) => void heldOf(service, peer).inFlight--,
        invalidate: (service, peer) => {
            heldOf(service, peer).expiresAt = 0;
        },
        peerTargetSummary: service => {
            const fresh = [...services.get(service)?.values() ?? []].filter(held =>
                held.receivedAt + summaryLifetimeMs > timer.now()
            );
            return {
                mediansMs: fresh.map(held => held.medianMs).filter(median => median !== undefined && median !== null),
                owned: fresh.reduce((sum, held) => sum + held.owned, 0),
                ejected: fresh.reduce((sum, held) => sum + held.ejected, 0),
            };
        },
        hasAvailableSlot: service => [...services.get(service)?.values() ?? []].some(held => roomOf(held) > 0),
    };
}

/** A peer that asks for part of the free slots. */
export interface Claimant {
    readonly peer: InstanceId;
    /** Requests that the peer has in flight with us now. */
    readonly inFlight: number;
    /** Requests that it wants to send besides. */
    readonly wanted: number;
    /** Its part beside others that want as much; nearer peers have more. */
    readonly weight: number;
}

/** Divides free slots among claimants; nobody gets more than it wants, and the sum never exceeds `free`. */
export function divideSlots(free: number, claimants: readonly Claimant[], turn: number): number[] {
    const shares = claimants.map(() => 0);
    let left = free;
    const open = claimants.map((_, at) => (at + turn) % claimants.length);
    while (left > 0 && open.length > 0) {
        const total = open.reduce((sum, at) => sum + claimants[at]!.weight, 0);
        const pot = left;
        for (const at of [...open]) {
            const { wanted, weight } = claimants[at]!;
            const share = Math.min(wanted - shares[at]!, left, Math.max(1, Math.floor((pot * weight) / total)));
            shares[at]! += share;
            left -= share;
            if (shares[at]! >= wanted) {
                open.splice(open.indexOf(at), 1);
            }
        }
    }
    return shares;
}
