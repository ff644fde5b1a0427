/** A timer that counts its calls, so that a loop of timers shows in the metrics. */
import type { Timer } from "@pimentospring/core/time/timer";

export interface CountedTimer extends Timer {
    callCount(): number;
}

export function createCountedTimer(timer: Timer): CountedTimer {
    let calls = 0;
    const counted = (listener: () => void) => (): void => {
        calls++;
        listener();
    };
    return {
        ...timer,
        after: (delayMs, listener) => timer.after(delayMs, counted(listener)),
        subscribe: (intervalMs, listener) => timer.subscribe(intervalMs, counted(listener)),
        callCount: () => calls,
    };
}
