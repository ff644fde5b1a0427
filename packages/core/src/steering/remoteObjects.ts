/**
 * Selects the objects that are served in other regions. When the spillover plan sends part of the load to other
 * regions, that part consists of whole objects, chosen by hash: each object stays in one region, so that targets there
 * keep it cached, and the fraction of load that leaves the region changes no faster than the limit on region shifts
 * allows.
 */
import { mixHashes } from "../hash/hash.js";
import type { ServiceId } from "../ids.js";
import type { Timer } from "../time/timer.js";

export interface RemoteObjects {
    /** Whether the object is currently served in another region. */
    isRemote(service: ServiceId, key: number): boolean;
    /** Fraction of the objects that are served in other regions, from 0 to 1. */
    remoteFraction(service: ServiceId): number;
}

export interface RemoteObjectsOptions {
    readonly timer: Timer;
    /** Fraction of the service's load that the plan sends to other regions. */
    readonly plannedFraction: (service: ServiceId) => number;
    /** Maximum change of the fraction between two windows of two seconds. */
    readonly maxFractionChange: () => number;
}

const windowMs = 2_000;
/**
 * Fraction of the limit that is used; the rest is left for requests that move between regions because a target is full.
 */
const usedChangeFraction = 0.6;
/** Upper bound of the initial fraction, since the load is not known yet. Later changes are slow: it has to be high enough. */
const maxInitialFraction = 0.7;
/** Plans that differ from the current fraction by less than this change nothing. */
const deadBandFraction = 0.04;
const hashSeed = 0x5eed;
const hashRange = 2 ** 32;

export function createRemoteObjects(options: RemoteObjectsOptions): RemoteObjects {
    const { timer, plannedFraction, maxFractionChange } = options;
    const fractions = new Map<ServiceId, { fraction: number; at: number; }>();
    const currentFraction = (service: ServiceId): number => {
        const now = timer.now();
        const known = fractions.get(service);
        if (known === undefined) {
            const initial = Math.min(maxInitialFraction, plannedFraction(service));
            fractions.set(service, { fraction: initial, at: now });
            return initial;
        }
        const difference = plannedFraction(service) - known.fraction;
        const maxStep = (usedChangeFraction * maxFractionChange() * (now - known.at)) / windowMs;
        known.at = now;
        if (Math.abs(difference) > deadBandFraction) {
            known.fraction += Math.max(-maxStep, Math.min(maxStep, difference));
        }
        return known.fraction;
    };
    return {
        remoteFraction: currentFraction,
        isRemote: (service, key) => mixHashes(key, hashSeed) / hashRange < currentFraction(service),
    };
}
