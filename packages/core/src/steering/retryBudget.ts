/**
 * Keeps repeats within a budget that all entries share, without asking each other: an entry allows itself `ratio` of
 * the requests it took for a service plus its part of the common slack. The parts add up to less than the whole, so the
 * sum holds also while entries are cut off from each other.
 */
import type { ServiceId } from "../ids.js";
import type { Timer } from "../time/timer.js";
import { createSlidingWindowCounter, type SlidingWindowCounter } from "./slidingWindowCounter.js";

export interface RetryBudget {
    /** A caller sent a request for the service. */
    deposit(service: ServiceId): void;
    /** Takes one repeat, if the budget has one. */
    tryWithdraw(service: ServiceId): boolean;
    /** Repeats left for the service in the current window. */
    balance(service: ServiceId): number;
}

/** What all entries together may repeat. */
export interface RetryLimit {
    /** Repeats for each request. */
    readonly ratio: number;
    /** Repeats besides in a window. */
    readonly slack: number;
}

export interface RetryBudgetOptions {
    readonly timer: Timer;
    readonly limit: () => RetryLimit;
    readonly windowMs: number;
    /** Most entries that may share the slack at this moment. */
    readonly entryCount: () => number;
}

/** Part of the budget that is used; the rest covers entries that restart and forget what they spent. */
const usedBudgetFraction = 0.6;
const slices = 10;

interface Counts {
    readonly requests: SlidingWindowCounter;
    readonly repeats: SlidingWindowCounter;
}

export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
    const { timer, windowMs, entryCount: entries } = options;
    const services = new Map<ServiceId, Counts>();
    const countsOf = (service: ServiceId): Counts => {
        let counts = services.get(service);
        if (counts === undefined) {
            counts = {
                requests: createSlidingWindowCounter(timer, windowMs, slices),
                repeats: createSlidingWindowCounter(timer, windowMs, slices),
            };
            services.set(service, counts);
        }
        return counts;
    };
    const left = (service: ServiceId): number => {
        const counts = countsOf(service);
        const { ratio, slack } = options.limit();
        const allowed = usedBudgetFraction * (ratio * counts.requests.total() + slack / Math.max(1, entries()));
        return allowed - counts.repeats.total();
    };
    return {
        deposit: service => countsOf(service).requests.add(),
        tryWithdraw: service => {
            if (left(service) < 1) {
                return false;
            }
            countsOf(service).repeats.add();
            return true;
        },
        balance: left,
    };
}
