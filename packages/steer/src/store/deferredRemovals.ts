/**
 * Defers removals of targets shortly after a store outage: live targets rewrite records that expired meanwhile within
 * about two seconds.
 */
import type { TargetId } from "@pimentospring/core/ids";
import type { Cancel, Timer } from "@pimentospring/core/time/timer";

export interface DeferredRemovalsOptions {
    readonly timer: Timer;
    /** Time since the store's last failure, in milliseconds, if a removed record may merely have expired in it. */
    readonly storeFailureAgeMs: () => number | undefined;
    /** Targets that are known now. */
    readonly targetCount: () => number;
    /** Whether the target said that it leaves, so that its removal was to be expected. */
    readonly isDraining: (id: TargetId) => boolean;
    readonly remove: (id: TargetId) => void;
    /** Called when removals of one batch are put off; without a failure of the store, as they came together. */
    readonly onDeferred: (ids: readonly TargetId[], failureAgeMs: number | undefined) => void;
}

export interface DeferredRemovals {
    /** Records that the target's record was removed. */
    schedule(id: TargetId): void;
    /** Records that the older copy with which the store came back lacks the target's record. */
    scheduleMissing(id: TargetId): void;
    /** Removes the scheduled targets now or later; called after each batch of changes. */
    decide(): void;
    /** Cancels a removal because the record was written again. */
    cancel(id: TargetId): void;
}

/** Time within which an expired record may be written again and read here. */
export const removalDelayMs = 2_600;
/** The same for records that vanish together while the store works: a target that leaves must be out of use in 2,500 ms. */
export const batchRemovalDelayMs = 1_900;
/**
 * Time within which targets that an older copy of the store lacks write themselves again, and entries that don't watch the
 * store hear of it.
 */
export const missingRemovalDelayMs = 3_300;
/**
 * Records that expire while the store is away, unnoticed here, vanish together. Fewer removals in a batch are targets that
 * leave: it holds those of up to a second, and more of them in a larger deployment.
 */
const minExpiryFraction = 1 / 3;
const minExpiries = 4;

export function createDeferredRemovals(options: DeferredRemovalsOptions): DeferredRemovals {
    const { timer, remove } = options;
    const pending = new Map<TargetId, Cancel>();
    const scheduled = new Set<TargetId>();
    const defer = (id: TargetId, delayMs: number): void => {
        pending.get(id)?.();
        const removeNow = (): void => {
            pending.delete(id);
            remove(id);
        };
        pending.set(id, timer.after(delayMs, removeNow));
    };
    const isExpiry = (): boolean => {
        const unexpectedCount = [...scheduled].filter(id => !options.isDraining(id)).length;
        return unexpectedCount >= Math.max(minExpiries, minExpiryFraction * options.targetCount());
    };
    return {
        schedule: id => void scheduled.add(id),
        // A target that said that it leaves is out of use already, and its record was to go.
        scheduleMissing: id => options.isDraining(id) ? void scheduled.add(id) : defer(id, missingRemovalDelayMs),
        decide: () => {
            if (scheduled.size === 0) {
                return;
            }
            const failureAgeMs = options.storeFailureAgeMs();
            if (failureAgeMs !== undefined || isExpiry()) {
                options.onDeferred([...scheduled], failureAgeMs);
                const delayMs = failureAgeMs === undefined ? batchRemovalDelayMs : removalDelayMs;
                scheduled.forEach(id => defer(id, delayMs));
            }
            else {
                scheduled.forEach(remove);
            }
            scheduled.clear();
        },
        cancel: id => {
            scheduled.delete(id);
            pending.get(id)?.();
            pending.delete(id);
        },
    };
}
