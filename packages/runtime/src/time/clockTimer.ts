/** Timer on the machine's monotonic clock. */
import type { Cancel, Timer } from "@pimentospring/core/time/timer";

export function createClockTimer(): Timer {
    return {
        now: () => performance.now(),
        wallTime: () => Date.now(),
        after: (delayMs, listener): Cancel => {
            const handle = setTimeout(listener, Math.max(0, delayMs));
            return () => clearTimeout(handle);
        },
        subscribe: (intervalMs, listener): Cancel => {
            const handle = setInterval(listener, intervalMs);
            return () => clearInterval(handle);
        },
    };
}
