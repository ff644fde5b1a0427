/** Counts what was taken in a sliding window, and removes what is given back from the time at which it was taken. */
import type { Timer } from "../time/timer.js";

export interface TakeWindow {
    /** Counts one and returns a function that removes it. */
    take(): () => void;
    /** Count of the last window; may overestimate, never underestimates. */
    total(): number;
}

/** The window is divided into `sliceCount` slices; one more slice covers any span of its length. */
export function createTakeWindow(timer: Timer, windowMs: number, sliceCount: number): TakeWindow {
    const sliceMs = windowMs / sliceCount;
    const counts = new Array<number>(sliceCount + 1).fill(0);
    let current = Math.floor(timer.now() / sliceMs);
    let sum = 0;
    const advance = (): void => {
        const slice = Math.floor(timer.now() / sliceMs);
        for (let step = 1; step <= Math.min(slice - current, counts.length); step++) {
            const at = (current + step) % counts.length;
            sum -= counts[at]!;
            counts[at] = 0;
        }
        current = slice;
    };
    const add = (slice: number, amount: number): void => {
        const at = slice % counts.length;
        counts[at] = counts[at]! + amount;
        sum += amount;
    };
    return {
        take: () => {
            advance();
            const takenIn = current;
            add(takenIn, 1);
            return () => {
                advance();
                if (current - takenIn < counts.length) {
                    add(takenIn, -1);
                }
            };
        },
        total: () => {
            advance();
            return sum;
        },
    };
}
