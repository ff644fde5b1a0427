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
 * Share of the limit for the entry at `rank` (from 0) of `entryCount` entries. Where the limit is no multiple of their
 * number, those of the lowest ranks get one request more, so that a limit below the number of entries is used too.
 */
export function coldRateLimitPerEntry(limit: ColdTargetLimit, entryCount: number, rank: number): number {
    if (limit.requestsPerSecond === undefined) {
        return Infinity;
    }
    if (entryCount === 0) {
        return 0;
    }
    const usable = Math.floor(usedLimitFraction * (limit.requestsPerSecond * limit.overshoot + limit.slack));
    return Math.floor(usable / entryCount) + (rank < usable % entryCount ? 1 : 0);
}
