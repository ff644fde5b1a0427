/**
 * Keeps retries within a budget that all entries share, without coordination: an entry allows itself `ratio` of the
 * requests it received for a service plus its share of the common slack. The shares add up to less than the whole, so
 * the total also holds while entries are partitioned from each other.
 */
import type { ServiceId } from "../ids.js";
import { createSlidingWindowCounter, type SlidingWindowCounter } from "../time/slidingWindowCounter.js";
import type { Timer } from "../time/timer.js";

export interface RetryBudget {
    /** Credits the budget for a request that a caller sent to the service. */
    deposit(service: ServiceId): void;
    /** Takes one retry; false when the budget is used up. */
    tryWithdraw(service: ServiceId): boolean;
    /** Retries left for the service in the current window. */
    balance(service: ServiceId): number;
}

/** Limit on the retries of all entries together. */
export interface RetryLimit {
    /** Retries allowed for each request. */
    readonly ratio: number;
    /** Retries allowed in a window in addition to the ratio. */
    readonly slack: number;
}

export interface RetryBudgetOptions {
    readonly timer: Timer;
    readonly limit: () => RetryLimit;
    readonly windowMs: number;
    /** Maximum number of entries that may share the slack now. */
    readonly entryCount: () => number;
}

/** Fraction of the budget that is used; the rest covers entries that restart and lose their counts. */
const usedBudgetFraction = 0.75;
const slices = 10;

interface Counts {
    readonly requests: SlidingWindowCounter;
    readonly retries: SlidingWindowCounter;
}

export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
    const { timer, windowMs, entryCount } = options;
    const services = new Map<ServiceId, Counts>();
    const countsOf = (service: ServiceId): Counts => {
        let counts = services.get(service);
        if (counts === undefined) {
            counts = {
                requests: createSlidingWindowCounter(timer, windowMs, slices),
                retries: createSlidingWindowCounter(timer, windowMs, slices),
            };
            services.set(service, counts);
        }
        return counts;
    };
    const balance = (service: ServiceId): number => {
        const counts = countsOf(service);
        const { ratio, slack } = options.limit();
        const allowance = usedBudgetFraction * (ratio * counts.requests.total() + slack / Math.max(1, entryCount()));
        return allowance - counts.retries.total();
    };
    return {
        deposit: service => countsOf(service).requests.add(),
        tryWithdraw: service => {
            if (balance(service) < 1) {
                return false;
            }
            countsOf(service).retries.add();
            return true;
        },
        balance,
    };
}
