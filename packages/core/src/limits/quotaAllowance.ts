/**
 * What one instance may admit under a shared limit, given what it knows of the others. A pure function.
 *
 * A group of instances in contact uses the part of the limit that corresponds to its part of all instances, less what
 * silent instances are known to have used beyond theirs. Within the group, an instance divides what is left with the
 * others by its share of the recent use, because they can't see what it admits until its reports arrive. Far from the limit
 * each instance may also admit a few requests regardless of its share, as the share of one of many is below one request.
 */
import type { Quota } from "./sharedLimit.js";

/** Operator settings: the window of quotas, and how far they may be exceeded. */
export interface QuotaBounds {
    readonly windowMs: number;
    /** Part of the allowance that may be exceeded. */
    readonly overshoot: number;
    /** Requests that may be admitted in a window beyond the allowance and its overshoot. */
    readonly slack: number;
}

/** What an instance knows of the requests admitted under a key in the last window. */
export interface KnownUse {
    /** Admitted by this instance in the last window. */
    readonly own: number;
    /** The part of `own` that the others may not know of. */
    readonly ownUnreported: number;
    /** Admitted by the other instances in contact. */
    readonly others: number;
    /** Admitted by instances that are not in contact. */
    readonly silent: number;
    readonly othersGrowthPerSecond: number;
    /** Instances in contact, this one included. */
    readonly groupSize: number;
    /** All instances that may admit requests, this one included. */
    readonly instanceCount: number;
}

/** What an instance may admit under a key. */
export interface Allowance {
    /** What the group may admit in a window. */
    readonly groupLimit: number;
    /** Estimate of what the group has admitted in the last window. */
    readonly groupUse: number;
    /** Requests that this instance may admit before the others know of them. */
    readonly share: number;
    /** Probability with which a request beyond the share is admitted. */
    readonly freeProbability: number;
}

/** Parts of the overshoot and of the slack that are used on purpose; the rest covers the delay of reports. */
const usedOvershootFraction = 0.35;
const usedSlackFraction = 0.4;
/** Part of the group's limit up to which requests beyond the share are admitted freely. */
const freeUseFraction = 0.75;
/** Makes free admissions rarer near the limit, where the others' latest requests are not yet known. */
const freeProbabilityExponent = 1.5;
/** Weight of the equal shares, as part of the group's limit. */
const equalShareWeight = 0.25;
/** Time that a change takes to reach all instances. */
const reportDelayMs = 350;
const msPerSecond = 1_000;

/** The allowance of a window: what all instances together may admit by the quota alone. */
export const quotaAllowance = (quota: Quota, windowMs: number): number =>
    quota.ratePerSecond * windowMs / msPerSecond + quota.burst;

/**
 * What all instances together aim at. More of the slack is used where it is large against the allowance: the numbers of small
 * workspaces vary more by chance, and less arrives before the others know of it.
 */
export function targetLimit(quota: Quota, { windowMs, overshoot, slack }: QuotaBounds): number {
    const allowance = quotaAllowance(quota, windowMs);
    const usedSlack = usedSlackFraction * slack * (1 + slack / Math.max(1, slack + allowance));
    return allowance * (1 + usedOvershootFraction * overshoot) + usedSlack;
}

/** Computes what one instance may admit now. */
export function instanceAllowance(quota: Quota, bounds: QuotaBounds, use: KnownUse): Allowance {
    const limit = targetLimit(quota, bounds);
    const groupFraction = Math.min(1, use.groupSize / Math.max(1, use.instanceCount));
    const groupLimit = Math.max(0, Math.min(groupFraction * limit, limit - use.silent));
    const expectedGrowth = use.othersGrowthPerSecond * reportDelayMs / msPerSecond;
    const groupUse = use.own + use.others + expectedGrowth;
    const equalWeight = equalShareWeight * groupLimit;
    const ownFraction = use.groupSize === 1
        ? 1
        : (use.own + equalWeight / use.groupSize) / Math.max(1, use.own + use.others + equalWeight);
    const free = groupLimit - groupUse;
    return {
        groupLimit,
        groupUse,
        share: ownFraction * (free + use.ownUnreported),
        freeProbability: free < 1 ? 0 : Math.min(1, free / ((1 - freeUseFraction) * groupLimit)) ** freeProbabilityExponent,
    };
}
