/**
 * Bounds the requests that reach a target while it is cold, over all entries without asking: only entries of the
 * target's data centre use it, each with an equal part.
 */
import type { Target } from "./target.js";

/** Part of the bound that is used. */
const usedLimitFraction = 0.7;

/** Requests that this entry sent to the target in the last second. */
export const recentArrivalCount = (target: Target): number => target.recentArrivals.total();

export interface ColdTargetLimit {
    /** Requests a second that the target bears. */
    readonly requestsPerSecond: number | undefined;
    readonly overshoot: number;
    readonly slack: number;
}

/** Part of one of `sharers` entries; nothing for an entry elsewhere unless the data centre has none. */
export function coldRateLimitPerEntry(bound: ColdTargetLimit, sharers: number): number {
    if (bound.requestsPerSecond === undefined) {
        return Infinity;
    }
    return sharers === 0
        ? 0
        : Math.floor((usedLimitFraction * (bound.requestsPerSecond * bound.overshoot + bound.slack)) / sharers);
}
