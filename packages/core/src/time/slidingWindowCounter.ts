/** Counts events over a sliding window divided into slices. */
import type { Timer } from "./timer.js";

export interface SlidingWindowCounter {
    add(amount?: number): void;
    /** Counts one event and returns a function that takes it back out of the slice in which it was counted. */
    addRevocable(): () => void;
    /** Events of the last window; may overestimate, never underestimates. */
    total(): number;
}

/**
 * Creates a counter over `windowMs` in `sliceCount` slices, and one more slice so that any span of that length is
 * covered.
 */
export function createSlidingWindowCounter(timer: Timer, windowMs: number, sliceCount: number): SlidingWindowCounter {
    const sliceMs = windowMs / sliceCount;
    const counts = new Array<number>(sliceCount + 1).fill(0);
    let current = Math.floor(timer.now() / sliceMs);
    let sum = 0;
    const advance = (): void => {
        const slice = Math.floor(timer.now() / sliceMs);
        const steps = Math.min(slice - current, counts.length);
        for (let step = 1; step <= steps; step++) {
            const at = (current + step) % counts.length;
            sum -= counts[at]!;
            counts[at] = 0;
        }
        current = slice;
    };
    const addTo = (slice: number, amount: number): void => {
        const at = slice % counts.length;
        counts[at] = counts[at]! + amount;
        sum += amount;
    };
    return {
        add: (amount = 1) => {
            advance();
            addTo(current, amount);
        },
        addRevocable: () => {
            advance();
            const addedIn = current;
            addTo(addedIn, 1);
            return () => {
                advance();
                if (current - addedIn < counts.length) {
                    addTo(addedIn, -1);
                }
            };
        },
        total: () => {
            advance();
            return sum;
        },
    };
}
