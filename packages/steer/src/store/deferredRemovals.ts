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
    /** Targets that are known now. */
    readonly targetCount: () => number;
    readonly remove: (id: TargetId) => void;
}

export interface DeferredRemovals {
    /** Records that the target's record was removed. */
    schedule(id: TargetId): void;
    /** Removes the scheduled targets now or later; called after each batch of changes. */
    decide(): void;
    /** Cancels a removal because the record was written again. */
    cancel(id: TargetId): void;
}

/** Time within which an expired record may be written again. */
export const removalDelayMs = 2_300;
/**
 * Records that expire while the store is away, unnoticed here, vanish together. Fewer removals in a batch are targets that
 * leave: it holds those of up to a second, and more of them in a larger deployment.
 */
const minExpiryFraction = 1 / 3;
const minExpiries = 4;

export function createDeferredRemovals(options: DeferredRemovalsOptions): DeferredRemovals {
    const { timer, hasStoreFailedRecently, remove } = options;
    const pending = new Map<TargetId, Cancel>();
    const scheduled = new Set<TargetId>();
    const defer = (id: TargetId): void => {
        const removeNow = (): void => {
            pending.delete(id);
            remove(id);
        };
        pending.set(id, timer.after(removalDelayMs, removeNow));
    };
    return {
        schedule: id => void scheduled.add(id),
        decide: () => {
            const isExpiry = scheduled.size >= Math.max(minExpiries, minExpiryFraction * options.targetCount());
            scheduled.forEach(hasStoreFailedRecently() || isExpiry ? defer : remove);
            scheduled.clear();
        },
        cancel: id => {
            scheduled.delete(id);
            pending.get(id)?.();
            pending.delete(id);
        },
    };
}
