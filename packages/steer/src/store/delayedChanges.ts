/** Changes that take effect after a delay unless something contradicts them before. */
import type { Cancel, Timer } from "@pimentospring/core/time/timer";

export interface DelayedChanges {
    /** Makes the change after the delay. A change of the same key that is pending is replaced. */
    schedule(key: string, delayMs: number, change: () => void): void;
    cancel(key: string): void;
}

export function createDelayedChanges(timer: Timer): DelayedChanges {
    const pending = new Map<string, Cancel>();
    const cancel = (key: string): void => {
        pending.get(key)?.();
        pending.delete(key);
    };
    return {
        schedule: (key, delayMs, change) => {
            cancel(key);
            const apply = (): void => {
                pending.delete(key);
                change();
            };
            pending.set(key, timer.after(delayMs, apply));
        },
        cancel,
    };
}
