/** Timer on the machine's monotonic clock. */
import type { Cancel, Timer } from "@pimentospring/core/time/timer";

/** Longest delay of Node's timers; a longer one would fire at once. */
const maxDelayMs = 2 ** 31 - 1;

function toDelay(delayMs: number): number {
    if (Number.isNaN(delayMs)) {
        throw new RangeError("a timer needs a delay in milliseconds");
    }
    return Math.min(Math.max(0, delayMs), maxDelayMs);
}

export function createClockTimer(): Timer {
    return {
        now: () => performance.now(),
        wallTime: () => Date.now(),
        after: (delayMs, listener): Cancel => {
            const handle = setTimeout(listener, toDelay(delayMs));
            return () => clearTimeout(handle);
        },
        subscribe: (intervalMs, listener): Cancel => {
            const handle = setInterval(listener, toDelay(intervalMs));
            return () => clearInterval(handle);
        },
    };
}
