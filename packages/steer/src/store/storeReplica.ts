/**
 * Follows the store: reads everything once, then watches. What is in force stays while the store is away. The order of
 * revisions is kept for each key, so that nothing goes back whatever answers come late.
 */
import type { Random } from "@pimentospring/core/random/random";
import type { Timer } from "@pimentospring/core/time/timer";
import type { Log } from "@pimentospring/runtime/logs/log";
import { logEvents } from "@pimentospring/runtime/logs/logEvents";
import { err, ok } from "true-myth/result";
import type { Store, StoreEvent, StoreFailure, StoreItem, StoreResult } from "./store.js";

export interface StoreReplicaOptions {
    readonly store: Store;
    readonly timer: Timer;
    readonly random: Random;
    readonly log: Log;
    /** Prefix of all keys that are followed. */
    readonly prefix: string;
    /** Pause between two watches; changes that come close together are read at once. */
    readonly watchPauseMs: number;
    /** Whether this entry has to watch the store itself; otherwise peers tell it what changes. */
    readonly isWatchNeeded: () => boolean;
    readonly onEvent: (event: StoreEvent) => void;
    /** All events of a batch were told. */
    readonly onBatchApplied: () => void;
}

export interface StoreReplica {
    start(): void;
    stop(): void;
    /** Items as known, with the revision up to which they hold. */
    snapshot(): StoreSnapshot;
    /** What changed after a revision, or everything where that is no longer known. */
    updateSince(revision: number): StoreUpdate;
    /** Takes what a peer knows, if it is newer. Returns whether it was. */
    applyUpdate(news: StoreUpdate): boolean;
    revision(): number;
    isConnected(): boolean;
    /** Whether this entry watches the store itself, and the store answers. */
    isWatching(): boolean;
    /** When the store last failed, on the entry's clock. */
    lastFailureAt(): number;
}

export interface StoreSnapshot {
    readonly revision: number;
    readonly items: readonly StoreItem[];
}

/** What one entry tells another of the store. */
export type StoreUpdate =
    | ({ readonly kind: "state"; readonly isUnsettled: boolean; } & StoreSnapshot)
    | {
        readonly kind: "changes";
        readonly isUnsettled: boolean;
        readonly revision: number;
        readonly events: readonly StoreEvent[];
    };

/** Longest time that a watch waits at the store. */
const watchTimeoutMs = 8_000;
const minRetryDelayMs = 80;
const maxRetryDelayMs = 1_000;
/** An entry that need not watch looks this often whether that is still so. */
const watchNeedCheckIntervalMs = 300;
/** Changes that are kept for peers that ask. */
const maxHistoryEvents = 1_000;
/** After a failure of the store within this time, missing records may only have lapsed. */
export const storeFailureWindowMs = 4_000;

const revisionOf = (event: StoreEvent): number => (event.kind === "written" ? event.item.revision : event.revision);

export function createStoreReplica(options: StoreReplicaOptions): StoreReplica {
    const { store, timer, random, log, prefix, watchPauseMs: pauseMs } = options;
    const items = new Map<string, StoreItem>();
    /** The last changes, and the revision after which they are complete. */
    let history: StoreEvent[] = [];
    let historyStart = 0;
    /** Revision of the last change of each key that was removed, until everything is read anew. */
    const removalRevisions = new Map<string, number>();
    let revision = 0;
    let isStopped = false;
    let isConnected = false;
    let isWatchRequired = false;
    let failureAt = -Infinity;
    let failures = 0;

    const applyEvent = (event: StoreEvent): void => {
        if (event.kind === "written") {
            const { item } = event;
            if (item.revision > Math.max(items.get(item.key)?.revision ?? 0, removalRevisions.get(item.key) ?? 0)) {
                items.set(item.key, item);
                removalRevisions.delete(item.key);
                options.onEvent(event);
            }
        }
        else if (event.revision > (items.get(event.key)?.revision ?? 0)) {
            removalRevisions.set(event.key, event.revision);
            if (items.delete(event.key)) {
                options.onEvent(event);
            }
        }
    };
    const applyChanges = (events: readonly StoreEvent[], upTo: number): void => {
        events.forEach(applyEvent);
        history.push(...events);
        if (history.length > maxHistoryEvents) {
            const dropped = history.splice(0, history.length - maxHistoryEvents);
            historyStart = Math.max(historyStart, ...dropped.map(revisionOf));
        }
        revision = Math.max(revision, upTo);
        if (events.length > 0) {
            options.onBatchApplied();
        }
    };
    const applySnapshot = (state: StoreSnapshot): void => {
        const keys = new Set(state.items.map(item => item.key));
        for (const item of [...items.values()]) {
            if (!keys.has(item.key) && item.revision <= state.revision) {
                applyEvent({ kind: "removed", key: item.key, revision: state.revision });
            }
        }
        state.items.forEach(item => applyEvent({ kind: "written", item }));
        revision = Math.max(revision, state.revision);
        removalRevisions.clear();
        history = [];
        historyStart = revision;
        options.onBatchApplied();
    };
    const readSnapshot = async (): StoreResult<StoreSnapshot> => {
        const read: StoreItem[] = [];
        let first: number | undefined;
        let after: string | undefined;
        for (;;) {
            const page = await store.range(prefix, after);
            if (page.isErr) {
                return err(page.error);
            }
            // The first page's revision: the watch tells again what changed while the others were read.
            first ??= page.value.revision;
            read.push(...page.value.items);
            after = page.value.items.at(-1)?.key;
            if (!page.value.hasMore || after === undefined) {
                return ok({ revision: first, items: read });
            }
        }
    };
    const synchronise = async (): StoreResult<void> => {
        if (revision === 0) {
            const state = await readSnapshot();
            return state.map(applySnapshot);
        }
        const changes = await store.watch(prefix, revision, watchTimeoutMs);
        if (changes.isErr && changes.error.kind === "compacted") {
            const state = await readSnapshot();
            return state.map(applySnapshot);
        }
        return changes.map(news => applyChanges(news.events, news.revision));
    };
    const recordFailure = (failure: StoreFailure): void => {
        failureAt = timer.now();
        if (isConnected || failures === 0) {
            log.write(logEvents.storeFailed, { reason: failure.reason, kind: failure.kind, revision });
        }
        isConnected = false;
        failures++;
    };
    const recordSuccess = (): void => {
        if (!isConnected) {
            log.write(logEvents.storeAnswers, { revision, failures });
        }
        isConnected = true;
        failures = 0;
    };
    const watchLoop = async (): Promise<void> => {
        isWatchRequired = revision === 0 || options.isWatchNeeded();
        if (!isWatchRequired) {
            timer.after(watchNeedCheckIntervalMs, () => void watchLoop());
            return;
        }
        const outcome = await synchronise();
        if (isStopped) {
            return;
        }
        outcome.match({ Ok: recordSuccess, Err: recordFailure });
        const retryMs = Math.min(maxRetryDelayMs, minRetryDelayMs * 2 ** Math.min(failures, 6)) * (0.5 + random.next());
        timer.after(outcome.isOk ? pauseMs : retryMs, () => void watchLoop());
    };
    return {
        start: () => void watchLoop(),
        stop: () => {
            isStopped = true;
        },
        snapshot: () => ({ revision, items: [...items.values()] }),
        updateSince: after => {
            const isUnsettled = timer.now() - failureAt < storeFailureWindowMs;
            return after >= historyStart
                ? { kind: "changes", isUnsettled, revision, events: history.filter(event => revisionOf(event) > after) }
                : { kind: "state", isUnsettled, revision, items: [...items.values()] };
        },
        applyUpdate: news => {
            if (news.revision <= revision) {
                return false;
            }
            if (news.isUnsettled) {
                failureAt = timer.now();
            }
            if (news.kind === "state") {
                applySnapshot(news);
            }
            else {
                applyChanges(news.events, news.revision);
            }
            return true;
        },
        revision: () => revision,
        isConnected: () => isConnected,
        isWatching: () => isWatchRequired && isConnected,
        lastFailureAt: () => failureAt,
    };
}
