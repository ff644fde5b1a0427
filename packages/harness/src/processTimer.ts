/** Timer of one simulated process: callbacks are deferred while the process is paused and dropped once it is dead. */
import type { Cancel, Timer } from "@pimentospring/core/time/timer";

export interface ProcessTimer extends Timer {
    pause(): void;
    /** Runs the callbacks that came due during the pause, in order. */
    resume(): void;
    kill(): void;
    /** Runs `listener` now, or on `resume` while the process is paused; drops it if the process is dead. */
    runOrDefer(listener: () => void): void;
    isDead(): boolean;
}

export function createProcessTimer(base: Timer): ProcessTimer {
    const deferred: (() => void)[] = [];
    let isPaused = false;
    let isDead = false;

    const runOrDefer = (listener: () => void): void => {
        if (isDead) {
            return;
        }
        if (isPaused) {
            deferred.push(listener);
        }
        else {
            listener();
        }
    };
    const after = (delayMs: number, listener: () => void): Cancel => {
        let isCancelled = false;
        const cancel = base.after(delayMs, () =>
            runOrDefer(() => {
                if (!isCancelled) {
                    listener();
                }
            }));
        return () => {
            isCancelled = true;
            cancel();
        };
    };
    const subscribe = (intervalMs: number, listener: () => void): Cancel => {
        let cancel: Cancel = () => {};
        let isSubscribed = true;
        const scheduleNext = (): void => {
            cancel = after(intervalMs, () => {
                listener();
                if (isSubscribed) {
                    scheduleNext();
                }
            });
        };
        scheduleNext();
        return () => {
            isSubscribed = false;
            cancel();
        };
    };
    return {
        now: base.now,
        wallTime: base.wallTime,
        after,
        subscribe,
        runOrDefer,
        pause: () => {
            isPaused = true;
        },
        resume: () => {
            isPaused = false;
            while (deferred.length > 0 && !isPaused) {
                deferred.shift()!();
            }
        },
        kill: () => {
            isDead = true;
            deferred.length = 0;
        },
        isDead: () => isDead,
    };
}
