/** Budgets that limit retries and hedges to a share of first attempts, and token buckets that limit a rate. */
import type { Timer } from "../time/timer.js";

/**
 * Limits extra attempts (retries or hedges) to a share of first attempts, as the retry budgets of "The Tail at Scale"
 * do.
 */
export interface ExtraAttemptBudget {
    /** Credits the budget for a first attempt. */
    deposit(): void;
    /** Takes one extra attempt; false when the budget is used up. */
    tryWithdraw(): boolean;
    /** Returns an attempt that was withdrawn but not made. */
    refund(): void;
}

/** Creates a budget that earns `share` extra attempts for each first attempt and saves at most `maxSaved`. */
export function createExtraAttemptBudget(share: number, maxSaved: number): ExtraAttemptBudget {
    let saved = Math.min(1, maxSaved);
    return {
        deposit: () => {
            saved = Math.min(maxSaved, saved + share);
        },
        tryWithdraw: () => {
            if (saved < 1) {
                return false;
            }
            saved -= 1;
            return true;
        },
        refund: () => {
            saved = Math.min(maxSaved, saved + 1);
        },
    };
}

export interface TokenBucket {
    /** Takes `amount` in full, or nothing. */
    take(amount: number): boolean;
    /** Milliseconds until `amount` is available. */
    waitMs(amount: number): number;
    setRate(perSecond: number): void;
}

/**
 * Creates a bucket that fills at `perSecond` and holds at most what flows in during `burstMs`, but at least one token.
 */
export function createTokenBucket(timer: Timer, perSecond: number, burstMs: number): TokenBucket {
    let rate = perSecond;
    let level = 0;
    let filledAt = timer.now();
    const capacity = (): number => Math.max(1, (rate * burstMs) / 1000);
    const fill = (): void => {
        const now = timer.now();
        level = Math.min(capacity(), level + ((now - filledAt) * rate) / 1000);
        filledAt = now;
    };
    return {
        take: amount => {
            fill();
            if (level < Math.min(amount, capacity())) {
                return false;
            }
            level -= amount;
            return true;
        },
        waitMs: amount => {
            fill();
            const missing = Math.min(amount, capacity()) - level;
            return missing <= 0 ? 0 : Math.ceil((missing * 1000) / rate);
        },
        setRate: next => {
            fill();
            rate = next;
        },
    };
}
