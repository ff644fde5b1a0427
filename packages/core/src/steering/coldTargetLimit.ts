/**
 * Limits the requests that reach a target during its cold start, across all entries and without coordination: only
 * entries in the target's data centre send to it, each with an equal share of the limit.
 */
import type { Target } from "./target.js";

/** Fraction of the limit that the entries use. */
const usedLimitFraction = 0.7;

/** Requests that this entry sent to the target in the last second. */
export const recentArrivalCount = (target: Target): number => target.recentArrivals.total();

export interface ColdTargetLimit {
    /** Request rate that a cold target can handle; `undefined` means no limit. */
    readonly requestsPerSecond: number | undefined;
    readonly overshoot: number;
    readonly slack: number;
}

/**
 * Share of the limit for one of `entryCount` entries. Entries in other data centres get 0 unless the target's data centre
 * has no entry.
 */
export function coldRateLimitPerEntry(limit: ColdTargetLimit, entryCount: number): number {
    if (limit.requestsPerSecond === undefined) {
        return Infinity;
    }
    return entryCount === 0
        ? 0
        : Math.floor((usedLimitFraction * (limit.requestsPerSecond * limit.overshoot + limit.slack)) / entryCount);
}
