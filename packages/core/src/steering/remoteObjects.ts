/**
 * Which objects are served in other regions. Where a plan sends part of the load elsewhere, that part is made of whole
 * objects, chosen by hash: each object keeps to its region, so that targets there remember it, and the share that leaves
 * the region moves as slowly as the bound on shifts asks.
 */
import { hashText } from "../hash/hash.js";
import type { ServiceId } from "../ids.js";
import type { Timer } from "../time/timer.js";

export interface RemoteObjects {
    /** Whether the object is served elsewhere now. */
    isRemote(service: ServiceId, key: string): boolean;
    /** Share of the objects that are, from 0 to 1. */
    remoteFraction(service: ServiceId): number;
}

export interface RemoteObjectsOptions {
    readonly timer: Timer;
    /** Share of the service's load that the plan sends to other regions. */
    readonly plannedFraction: (service: ServiceId) => number;
    /** Largest change of the share between two windows of two seconds. */
    readonly maxFractionChange: () => number;
}

const windowMs = 2_000;
/** Part of the bound that is used; the rest is for requests that leave or return because a target is full. */
const usedChangeFraction = 0.6;
/** The share begins here at the most, since nothing is known of the load yet. */
const maxInitialFraction = 0.3;
/** Plans that differ by less from the share in force change nothing. */
const deadBandFraction = 0.04;
const hashSeed = 0x5eed;
const hashRange = 2 ** 32;

export function createRemoteObjects(options: RemoteObjectsOptions): RemoteObjects {
    const { timer, plannedFraction: planned, maxFractionChange: most } = options;
    const shares = new Map<ServiceId, { share: number; at: number; }>();
    const share = (service: ServiceId): number => {
        const now = timer.now();
        const known = shares.get(service);
        if (known === undefined) {
            const first = Math.min(maxInitialFraction, planned(service));
            shares.set(service, { share: first, at: now });
            return first;
        }
        const distance = planned(service) - known.share;
        const step = (usedChangeFraction * most() * (now - known.at)) / windowMs;
        known.at = now;
        if (Math.abs(distance) > deadBandFraction) {
            known.share += Math.max(-step, Math.min(step, distance));
        }
        return known.share;
    };
    return {
        remoteFraction: share,
        isRemote: (service, key) => hashText(key, hashSeed) / hashRange < share(service),
    };
}
