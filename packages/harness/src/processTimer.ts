/** The timer of one fake process: it stands still while the process is frozen and is silent once it is dead. */
import type { Cancel, Timer } from "@pimentospring/core/time/timer";

export interface ProcessTimer extends Timer {
    pause(): void;
    /** Runs what came due meanwhile, in order. */
    resume(): void;
    kill(): void;
    /** Runs `listener` now, or when the process thaws. */
    runOrDefer(listener: () => void): void;
    isDead(): boolean;
}

export function createProcessTimer(base: Timer): ProcessTimer {
    const held: (() => void)[] = [];
    let isFrozen = false;
    let isDead = false;

    const run = (listener: () => void): void => {
        if (isDead) {
            return;
        }
        if (isFrozen) {
            held.push(listener);
        }
        else {
            listener();
        }
    };
    const after = (delayMs: number, listener: () => void): Cancel => {
        let isCancelled = false;
        const cancel = base.after(delayMs, () =>
            run(() => {
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
        let isLive = true;
        const arm = (): void => {
            cancel = after(intervalMs, () => {
                listener();
                if (isLive) {
                    arm();
                }
            });
        };
        arm();
        return () => {
            isLive = false;
            cancel();
        };
    };
    return {
        now: base.now,
        wallTime: base.wallTime,
        after,
        subscribe,
        runOrDefer: run,
        pause: () => {
            isFrozen = true;
        },
        resume: () => {
            isFrozen = false;
            while (held.length > 0 && !isFrozen) {
                held.shift()!();
            }
        },
        kill: () => {
            isDead = true;
            held.length = 0;
        },
        isDead: () => isDead,
    };
}
