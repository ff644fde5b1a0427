/** Counts events over a sliding window, in slices, so that any span of the window's length is covered. */
import type { Timer } from "../time/timer.js";

export interface SlidingWindowCounter {
    add(amount?: number): void;
    /** Events of the last window; never fewer than really came. */
    total(): number;
}

/** Creates a count over `windowMs`, kept in `slices` slices and counting one slice more than the window. */
export function createSlidingWindowCounter(timer: Timer, windowMs: number, slices: number): SlidingWindowCounter {
    const sliceMs = windowMs / slices;
    const counts = new Array<number>(slices + 1).fill(0);
    let current = Math.floor(timer.now() / sliceMs);
    let sum = 0;
    const roll = (): void => {
        const slice = Math.floor(timer.now() / sliceMs);
        const steps = Math.min(slice - current, counts.length);
        for (let step = 1; step <= steps; step++) {
            const at = (current + step) % counts.length;
            sum -= counts[at]!;
            counts[at] = 0;
        }
        current = slice;
    };
    return {
        add: (amount = 1) => {
            roll();
            const at = current % counts.length;
            counts[at] = counts[at]! + amount;
            sum += amount;
        },
        total: () => {
            roll();
            return sum;
        },
    };
}
