/**
 * Holds back removals of targets while the store has just come back: records that lapsed meanwhile are written again
 * within about two seconds by the targets that live.
 */
import type { TargetId } from "@pimentospring/core/ids";
import type { Cancel, Timer } from "@pimentospring/core/time/timer";

export interface DeferredRemovalsOptions {
    readonly timer: Timer;
    /** Whether the store failed lately, so that a removal may be a lapse. */
    readonly hasStoreFailedRecently: () => boolean;
    readonly remove: (id: TargetId) => void;
}

export interface DeferredRemovals {
    schedule(id: TargetId): void;
    /** The record exists again. */
    cancel(id: TargetId): void;
}

/** Time for which a lapsed record may come back. */
export const removalDelayMs = 2_300;
/** As many removals within the burst window can't be targets that leave one by one. */
const minBurstRemovals = 4;
const burstWindowMs = 300;

export function createDeferredRemovals(options: DeferredRemovalsOptions): DeferredRemovals {
    const { timer, hasStoreFailedRecently: isUnsettled, remove } = options;
    const pending = new Map<TargetId, Cancel>();
    let recentRemovals: number[] = [];
    const defer = (id: TargetId): void => {
        const drop = (): void => {
            pending.delete(id);
            remove(id);
        };
        pending.set(id, timer.after(removalDelayMs, drop));
    };
    return {
        schedule: id => {
            const now = timer.now();
            recentRemovals = [...recentRemovals.filter(at => now - at < burstWindowMs), now];
            if (isUnsettled() || recentRemovals.length >= minBurstRemovals) {
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
