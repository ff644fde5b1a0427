/** Budgets that keep extra work a share of first tries, and token buckets that keep a rate. */
import type { Timer } from "../time/timer.js";

/** Allows extra tries (retries or hedges) as a share of first tries; see the retry budgets of "The Tail at Scale". */
export interface ExtraAttemptBudget {
    /** A first try was made. */
    deposit(): void;
    /** Takes one extra try, if the budget has one. */
    tryWithdraw(): boolean;
    /** Gives back one that was taken and not made. */
    refund(): void;
}

/** Creates a budget of `share` extra tries a first try, saving up at most `most`. */
export function createExtraAttemptBudget(share: number, most: number): ExtraAttemptBudget {
    let saved = Math.min(1, most);
    return {
        deposit: () => {
            saved = Math.min(most, saved + share);
        },
        tryWithdraw: () => {
            if (saved < 1) {
                return false;
            }
            saved -= 1;
            return true;
        },
        refund: () => {
            saved = Math.min(most, saved + 1);
        },
    };
}

export interface TokenBucket {
    /** Takes `amount` at once, or nothing. */
    take(amount: number): boolean;
    /** Milliseconds until `amount` could be taken. */
    waitMs(amount: number): number;
    setRate(perSecond: number): void;
}

/** Creates a bucket filled at `perSecond`, holding at most what flows in during `burstMs` (and at least one). */
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
