/**
 * Keeps repeats within a budget that all entries share, without asking each other: an entry allows itself `ratio` of
 * the requests it took for a service plus its part of the common slack. The parts add up to less than the whole, so the
 * sum holds also while entries are cut off from each other.
 */
import type { ServiceId } from "../ids.js";
import type { Timer } from "../time/timer.js";
import { createSlidingCount, type SlidingCount } from "./slidingCount.js";

export interface RetryAllowance {
    /** A caller sent a request for the service. */
    requested(service: ServiceId): void;
    /** Takes one repeat, if the budget has one. */
    take(service: ServiceId): boolean;
    /** Repeats left for the service in the current window. */
    left(service: ServiceId): number;
}

/** What all entries together may repeat. */
export interface RetryBound {
    /** Repeats for each request. */
    readonly ratio: number;
    /** Repeats besides in a window. */
    readonly slack: number;
}

export interface RetryAllowanceOptions {
    readonly timer: Timer;
    readonly bound: () => RetryBound;
    readonly windowMs: number;
    /** Most entries that may share the slack at this moment. */
    readonly entries: () => number;
}

/** Part of the budget that is used; the rest covers entries that restart and forget what they spent. */
const usedShare = 0.6;
const slices = 10;

interface Counts {
    readonly requests: SlidingCount;
    readonly repeats: SlidingCount;
}

export function createRetryAllowance(options: RetryAllowanceOptions): RetryAllowance {
    const { timer, windowMs, entries } = options;
    const services = new Map<ServiceId, Counts>();
    const countsOf = (service: ServiceId): Counts => {
        let counts = services.get(service);
        if (counts === undefined) {
            counts = {
                requests: createSlidingCount(timer, windowMs, slices),
                repeats: createSlidingCount(timer, windowMs, slices),
            };
            services.set(service, counts);
        }
        return counts;
    };
    const left = (service: ServiceId): number => {
        const counts = countsOf(service);
        const { ratio, slack } = options.bound();
        const allowed = usedShare * (ratio * counts.requests.total() + slack / Math.max(1, entries()));
        return allowed - counts.repeats.total();
    };
    return {
        requested: service => countsOf(service).requests.add(),
        take: service => {
            if (left(service) < 1) {
                return false;
            }
            countsOf(service).repeats.add();
            return true;
        },
        left,
    };
}
