/**
 * Local replica of the store: reads a snapshot, then watches for changes. Keeps its items while the store is
 * unavailable.
 */
import type { Random } from "@pimentospring/core/random/random";
import type { Timer } from "@pimentospring/core/time/timer";
import type { Log } from "@pimentospring/runtime/logs/log";
import { logEvents } from "@pimentospring/runtime/logs/logEvents";
import { err, ok } from "true-myth/result";
import { createReplicatedItems, type ItemsSnapshot, type ItemsUpdate } from "./replicatedItems.js";
import type { StoreEvent, StoreFailure, StoreItem, StoreResult } from "./store.js";
import type { StoreCalls } from "./storeCalls.js";

export interface StoreReplicaOptions {
    readonly store: StoreCalls;
    readonly timer: Timer;
    readonly random: Random;
    readonly log: Log;
    /** Prefix of the replicated keys. */
    readonly prefix: string;
    /** Pause between two watch calls, so that changes close together arrive in one batch. */
    readonly watchPauseMs: () => number;
    /** Whether this entry has to watch the store itself; otherwise it receives changes from peers. */
    readonly isWatchNeeded: () => boolean;
    readonly onEvent: (event: StoreEvent) => void;
    /** Called after all events of a batch. */
    readonly onBatchApplied: () => void;
}

export interface StoreReplica {
    start(): void;
    stop(): void;
    /** Current items and the revision that they reflect. */
    snapshot(): ItemsSnapshot;
    /** Changes after a revision, or a full snapshot if the kept history does not reach back that far. */
    updateSince(revision: number): StoreUpdate;
    /** Applies a peer's update if it is newer than this replica. Returns whether it was applied. */
    applyUpdate(update: StoreUpdate): boolean;
    revision(): number;
    /** Records that a peer has reached a revision. A watch that stays without a response to it is silent. */
    recordPeerRevision(peerRevision: number): void;
    isConnected(): boolean;
    /** Whether this entry watches the store itself and the store responds. */
    isWatching(): boolean;
    /** Time since which a call to the store has been pending, on the timer's clock; `undefined` if none is. */
    pendingSince(): number | undefined;
    /** Time of the store's last failure, on the timer's clock. */
    lastFailureAt(): number;
}

/** Update of a replica, sent from one entry to another. */
export type StoreUpdate = ItemsUpdate & {
    /** Whether the store failed the sender recently. */
    readonly isUnsettled: boolean;
};

/** Longest time that a watch call waits for changes. */
const watchTimeoutMs = 8_000;
/** A watch for changes that peers know of is silent if it has no response after this time. */
const silentWatchMs = 700;
const minRetryDelayMs = 80;
const maxRetryDelayMs = 1_000;
/** Interval at which an entry that need not watch checks whether that has changed. */
const watchNeedCheckIntervalMs = 300;
/** For this long after a store failure, a missing record may merely have expired. */
export const storeFailureWindowMs = 4_000;

/** An error while changes are applied must not end the watch. */
const toUnexpectedFailure = (error: Error): StoreFailure => ({ kind: "unknown", reason: error.stack ?? error.message });

export function createStoreReplica(options: StoreReplicaOptions): StoreReplica {
    const { store, timer, random, log, prefix } = options;
    const items = createReplicatedItems(options);
    let isStopped = false;
    let isConnected = false;
    let isWatchRequired = false;
    let failureAt = -Infinity;
    let failures = 0;
    let pendingSince: number | undefined;
    /** Time at which a peer first had a newer revision during the pending call. */
    let newerRevisionAt: number | undefined;

    const isSilent = (): boolean => newerRevisionAt !== undefined && timer.now() - newerRevisionAt > silentWatchMs;
    const readSnapshot = async (): StoreResult<ItemsSnapshot> => {
        const readItems: StoreItem[] = [];
        let firstRevision: number | undefined;
        let after: string | undefined;
        for (;;) {
            const page = await store.range(prefix, after);
            if (page.isErr) {
                return err(page.error);
            }
            // Uses the first page's revision: the watch then reports again whatever changed while later pages were
            // read.
            firstRevision ??= page.value.revision;
            readItems.push(...page.value.items);
            after = page.value.items.at(-1)?.key;
            if (!page.value.hasMore || after === undefined) {
                return ok({ revision: firstRevision, items: readItems });
            }
        }
    };
    const synchronise = async (): StoreResult<void> => {
        if (items.revision() === 0) {
            const snapshot = await readSnapshot();
            return snapshot.map(items.applySnapshot);
        }
        const changes = await store.watch(prefix, items.revision(), watchTimeoutMs);
        if (changes.isErr && changes.error.kind === "compacted") {
            const snapshot = await readSnapshot();
            return snapshot.map(items.applySnapshot);
        }
        return changes.map(({ events, revision: upTo }) => items.applyChanges(events, upTo));
    };
    const recordFailure = (failure: StoreFailure): void => {
        failureAt = timer.now();
        if (isConnected || failures === 0) {
            log.write(logEvents.storeFailed, { reason: failure.reason, kind: failure.kind, revision: items.revision() });
        }
        isConnected = false;
        failures++;
    };
    const recordSuccess = (): void => {
        if (!isConnected) {
            log.write(logEvents.storeAnswers, { revision: items.revision(), failures });
        }
        isConnected = true;
        failures = 0;
    };
    const watchLoop = async (): Promise<void> => {
        isWatchRequired = items.revision() === 0 || options.isWatchNeeded();
        if (!isWatchRequired) {
            timer.after(watchNeedCheckIntervalMs, () => void watchLoop());
            return;
        }
        pendingSince = timer.now();
        const outcome = await synchronise().catch((error: Error) => err<void, StoreFailure>(toUnexpectedFailure(error)));
        pendingSince = undefined;
        newerRevisionAt = undefined;
        if (isStopped) {
            return;
        }
        outcome.match({ Ok: recordSuccess, Err: recordFailure });
        const retryDelayMs = Math.min(maxRetryDelayMs, minRetryDelayMs * 2 ** Math.min(failures, 6)) * (0.5 + random.next());
        timer.after(outcome.isOk ? options.watchPauseMs() : retryDelayMs, () => void watchLoop());
    };
    return {
        start: () => void watchLoop(),
        stop: () => {
            isStopped = true;
        },
        snapshot: items.snapshot,
        updateSince: after => ({
            ...items.updateSince(after),
            isUnsettled: timer.now() - failureAt < storeFailureWindowMs,
        }),
        applyUpdate: update => {
            if (update.revision <= items.revision()) {
                return false;
            }
            if (update.isUnsettled) {
                failureAt = timer.now();
            }
            if (update.kind === "state") {
                items.applySnapshot(update);
            }
            else {
                items.applyChanges(update.events, update.revision);
            }
            return true;
        },
        revision: items.revision,
        recordPeerRevision: peerRevision => {
            if (pendingSince !== undefined && peerRevision > items.revision()) {
                newerRevisionAt ??= timer.now();
            }
        },
        isConnected: () => isConnected,
        isWatching: () => isWatchRequired && isConnected && !isSilent(),
        pendingSince: () => pendingSince,
        lastFailureAt: () => failureAt,
    };
}
