/**
 * Which objects are served in other regions. Where a plan sends part of the load elsewhere, that part is made of whole
 * objects, chosen by hash: each object keeps to its region, so that targets there remember it, and the share that leaves
 * the region moves as slowly as the bound on shifts asks.
 */
import { hashText } from "../hash/hash.js";
import type { ServiceId } from "../ids.js";
import type { Timer } from "../time/timer.js";

export interface FarObjects {
    /** Whether the object is served elsewhere now. */
    isFar(service: ServiceId, key: string): boolean;
    /** Share of the objects that are, from 0 to 1. */
    share(service: ServiceId): number;
}

export interface FarObjectsOptions {
    readonly timer: Timer;
    /** Share of the service's load that the plan sends to other regions. */
    readonly planned: (service: ServiceId) => number;
    /** Largest change of the share between two windows of two seconds. */
    readonly most: () => number;
}

const windowMs = 2_000;
/** Part of the bound that is used; the rest is for requests that leave or return because a target is full. */
const usedShare = 0.6;
/** The share begins here at the most, since nothing is known of the load yet. */
const mostAtFirst = 0.3;
/** Plans that differ by less from the share in force change nothing. */
const deadBand = 0.04;
const seed = 0x5eed;
const twoTo32 = 2 ** 32;

export function createFarObjects(options: FarObjectsOptions): FarObjects {
    const { timer, planned, most } = options;
    const shares = new Map<ServiceId, { share: number; at: number; }>();
    const share = (service: ServiceId): number => {
        const now = timer.now();
        const known = shares.get(service);
        if (known === undefined) {
            const first = Math.min(mostAtFirst, planned(service));
            shares.set(service, { share: first, at: now });
            return first;
        }
        const distance = planned(service) - known.share;
        const step = (usedShare * most() * (now - known.at)) / windowMs;
        known.at = now;
        if (Math.abs(distance) > deadBand) {
            known.share += Math.max(-step, Math.min(step, distance));
        }
        return known.share;
    };
    return {
        share,
        isFar: (service, key) => hashText(key, seed) / twoTo32 < share(service),
    };
}
