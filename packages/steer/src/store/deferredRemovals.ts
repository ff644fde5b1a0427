/**
 * Defers removals of targets shortly after a store outage: live targets rewrite records that expired meanwhile within
 * about two seconds.
 */
import type { TargetId } from "@pimentospring/core/ids";
import type { Cancel, Timer } from "@pimentospring/core/time/timer";

export interface DeferredRemovalsOptions {
    readonly timer: Timer;
    /** Whether the store failed recently, so that a removed record may merely have expired. */
    readonly hasStoreFailedRecently: () => boolean;
    readonly remove: (id: TargetId) => void;
}

export interface DeferredRemovals {
    schedule(id: TargetId): void;
    /** Cancels a deferred removal because the record was written again. */
    cancel(id: TargetId): void;
}

/** Time within which an expired record may be written again. */
export const removalDelayMs = 2_300;
/** This many removals within the burst window indicate mass expiry rather than targets that leave one by one. */
const minBurstRemovals = 4;
const burstWindowMs = 300;

export function createDeferredRemovals(options: DeferredRemovalsOptions): DeferredRemovals {
    const { timer, hasStoreFailedRecently, remove } = options;
    const pending = new Map<TargetId, Cancel>();
    let recentRemovals: number[] = [];
    const defer = (id: TargetId): void => {
        const removeNow = (): void => {
            pending.delete(id);
            remove(id);
        };
        pending.set(id, timer.after(removalDelayMs, removeNow));
    };
    return {
        schedule: id => {
            const now = timer.now();
            recentRemovals = [...recentRemovals.filter(at => now - at < burstWindowMs), now];
            if (hasStoreFailedRecently() || recentRemovals.length >= minBurstRemovals) {
                defer(id);
            }
            else {
                remove(id);
            }
        },
        cancel: id => {
            pending.get(id)?.();
            pending.delete(id);
        },
    };
}
