/**
 * Defers removals of targets whose records may merely have expired, shortly after a store outage: live targets write them again
 * within about two seconds. Where only a peer saw the outage, the target stays known, but it is out of use at once if the others
 * can do its work: a target that leaves must get nothing after the drain time.
 */
import type { TargetId } from "@pimentospring/core/ids";
import type { Cancel, Timer } from "@pimentospring/core/time/timer";
import { storeFailureWindowMs } from "./storeFailures.js";

export interface DeferredRemovalsOptions {
    readonly timer: Timer;
    /** Time since the store's last failure, in milliseconds, if a removed record may merely have expired in it. */
    readonly storeFailureAgeMs: () => number | undefined;
    /**
     * Time since the store last failed this entry itself, in milliseconds; `undefined` if it served the entry throughout, so that a
     * failure that a peer saw may be that of the peer's link alone.
     */
    readonly ownFailureAgeMs: () => number | undefined;
    /** Targets that are known now. */
    readonly targetCount: () => number;
    /** Whether the target said that it leaves, so that its removal was to be expected. */
    readonly isDraining: (id: TargetId) => boolean;
    /** Whether the targets that remain in use can do its work. */
    readonly isDispensable: (id: TargetId) => boolean;
    /** Takes the target out of use until its record is written again. */
    readonly retire: (id: TargetId) => void;
    readonly remove: (id: TargetId) => void;
    /** Called when removals of one batch are put off; without a failure of the store, as they came together. */
    readonly onDeferred: (batch: DeferredBatch) => void;
}

export interface DeferredBatch {
    readonly ids: readonly TargetId[];
    /** Targets among them that stay in use for now. */
    readonly inUse: readonly TargetId[];
    readonly failureAgeMs: number | undefined;
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
/**
 * Time for which targets stay in use that the others can't replace, and for which records that vanish together while the store
 * works may be written again. A target that leaves must be out of use in 2,500 ms, with the time to read its removal.
 */
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

/** Once the failure is long enough past, a target that leaves must be out of use in time again. */
const inUseAfterFailureMs = (failureAgeMs: number): number =>
    Math.min(removalDelayMs, Math.max(batchRemovalDelayMs, storeFailureWindowMs - failureAgeMs));

export function createDeferredRemovals(options: DeferredRemovalsOptions): DeferredRemovals {
    const { timer, remove, retire } = options;
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
    const cancelPending = (id: TargetId): void => {
        pending.get(id)?.();
        pending.delete(id);
    };
    /** Keeps the target known until its record may no longer come back, and in use for the first part of that time. */
    const deferInUse = (id: TargetId, inUseMs: number): void => {
        if (inUseMs >= removalDelayMs) {
            defer(id, removalDelayMs);
            return;
        }
        cancelPending(id);
        const takeOut = (): void => {
            retire(id);
            defer(id, removalDelayMs - inUseMs);
        };
        pending.set(id, timer.after(inUseMs, takeOut));
    };
    const deferOutOfUse = (id: TargetId): void => {
        retire(id);
        defer(id, removalDelayMs);
    };
    /**
     * Records that vanish after a failure of the store may have expired in it. Where it served this entry, a target leaves, unless
     * many vanish together. Returns the targets that stay in use.
     */
    const deferAfterFailure = (ids: readonly TargetId[], areExpired: boolean): TargetId[] => {
        const ownFailureAgeMs = options.ownFailureAgeMs();
        if (areExpired || ownFailureAgeMs !== undefined) {
            const inUseMs = areExpired ? removalDelayMs : inUseAfterFailureMs(ownFailureAgeMs!);
            ids.forEach(id => deferInUse(id, inUseMs));
            return [...ids];
        }
        const inUse: TargetId[] = [];
        for (const id of ids) {
            if (options.isDispensable(id)) {
                deferOutOfUse(id);
            }
            else {
                deferInUse(id, batchRemovalDelayMs);
                inUse.push(id);
            }
        }
        return inUse;
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
            const ids = [...scheduled];
            const failureAgeMs = options.storeFailureAgeMs();
            const areExpired = isExpiry();
            scheduled.clear();
            if (failureAgeMs !== undefined) {
                const inUse = deferAfterFailure(ids, areExpired);
                options.onDeferred({ ids, inUse, failureAgeMs });
            }
            else if (areExpired) {
                ids.forEach(id => defer(id, batchRemovalDelayMs));
                options.onDeferred({ ids, inUse: ids, failureAgeMs });
            }
            else {
                ids.forEach(remove);
            }
        },
        cancel: id => {
            scheduled.delete(id);
            cancelPending(id);
        },
    };
}
