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

export interface FollowerOptions {
    readonly store: Store;
    readonly timer: Timer;
    readonly random: Random;
    readonly log: Log;
    /** Prefix of all keys that are followed. */
    readonly prefix: string;
    /** Pause between two watches; changes that come close together are read at once. */
    readonly pauseMs: number;
    /** Whether this entry has to watch the store itself; otherwise peers tell it what changes. */
    readonly isNeeded: () => boolean;
    readonly changed: (event: StoreEvent) => void;
    /** All events of a batch were told. */
    readonly applied: () => void;
}

export interface Follower {
    start(): void;
    stop(): void;
    /** Items as known, with the revision up to which they hold. */
    state(): FollowedState;
    /** What changed after a revision, or everything where that is no longer known. */
    newsAfter(revision: number): FollowedNews;
    /** Takes what a peer knows, if it is newer. Returns whether it was. */
    adopt(news: FollowedNews): boolean;
    revision(): number;
    isConnected(): boolean;
    /** Whether this entry watches the store itself, and the store answers. */
    isFollowing(): boolean;
    /** When the store last failed, on the entry's clock. */
    failedAt(): number;
}

export interface FollowedState {
    readonly revision: number;
    readonly items: readonly StoreItem[];
}

/** What one entry tells another of the store. */
export type FollowedNews =
    | ({ readonly kind: "state"; readonly isUnsettled: boolean; } & FollowedState)
    | {
        readonly kind: "changes";
        readonly isUnsettled: boolean;
        readonly revision: number;
        readonly events: readonly StoreEvent[];
    };

/** Longest time that a watch waits at the store. */
const watchWaitMs = 8_000;
const firstRetryMs = 80;
const longestRetryMs = 1_000;
/** An entry that need not watch looks this often whether that is still so. */
const idleMs = 300;
/** Changes that are kept for peers that ask. */
const mostKept = 1_000;
/** After a failure of the store within this time, missing records may only have lapsed. */
export const unsettledMs = 4_000;

const revisionOf = (event: StoreEvent): number => (event.kind === "written" ? event.item.revision : event.revision);

export function createFollower(options: FollowerOptions): Follower {
    const { store, timer, random, log, prefix, pauseMs } = options;
    const items = new Map<string, StoreItem>();
    /** The last changes, and the revision after which they are complete. */
    let kept: StoreEvent[] = [];
    let keptAfter = 0;
    /** Revision of the last change of each key that was removed, until everything is read anew. */
    const removals = new Map<string, number>();
    let revision = 0;
    let isStopped = false;
    let isConnected = false;
    let isWatching = false;
    let failedAt = -Infinity;
    let failures = 0;

    const take = (event: StoreEvent): void => {
        if (event.kind === "written") {
            const { item } = event;
            if (item.revision > Math.max(items.get(item.key)?.revision ?? 0, removals.get(item.key) ?? 0)) {
                items.set(item.key, item);
                removals.delete(item.key);
                options.changed(event);
            }
        }
        else if (event.revision > (items.get(event.key)?.revision ?? 0)) {
            removals.set(event.key, event.revision);
            if (items.delete(event.key)) {
                options.changed(event);
            }
        }
    };
    const takeChanges = (events: readonly StoreEvent[], upTo: number): void => {
        events.forEach(take);
        kept.push(...events);
        if (kept.length > mostKept) {
            const dropped = kept.splice(0, kept.length - mostKept);
            keptAfter = Math.max(keptAfter, ...dropped.map(revisionOf));
        }
        revision = Math.max(revision, upTo);
        if (events.length > 0) {
            options.applied();
        }
    };
    const takeAll = (state: FollowedState): void => {
        const keys = new Set(state.items.map(item => item.key));
        for (const item of [...items.values()]) {
            if (!keys.has(item.key) && item.revision <= state.revision) {
                take({ kind: "removed", key: item.key, revision: state.revision });
            }
        }
        state.items.forEach(item => take({ kind: "written", item }));
        revision = Math.max(revision, state.revision);
        removals.clear();
        kept = [];
        keptAfter = revision;
        options.applied();
    };
    const readAll = async (): StoreResult<FollowedState> => {
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
    const step = async (): StoreResult<void> => {
        if (revision === 0) {
            const state = await readAll();
            return state.map(takeAll);
        }
        const changes = await store.watch(prefix, revision, watchWaitMs);
        if (changes.isErr && changes.error.kind === "compacted") {
            const state = await readAll();
            return state.map(takeAll);
        }
        return changes.map(news => takeChanges(news.events, news.revision));
    };
    const failed = (failure: StoreFailure): void => {
        failedAt = timer.now();
        if (isConnected || failures === 0) {
            log.write(logEvents.storeFailed, { reason: failure.reason, kind: failure.kind, revision });
        }
        isConnected = false;
        failures++;
    };
    const succeeded = (): void => {
        if (!isConnected) {
            log.write(logEvents.storeAnswers, { revision, failures });
        }
        isConnected = true;
        failures = 0;
    };
    const follow = async (): Promise<void> => {
        isWatching = revision === 0 || options.isNeeded();
        if (!isWatching) {
            timer.after(idleMs, () => void follow());
            return;
        }
        const outcome = await step();
        if (isStopped) {
            return;
        }
        outcome.match({ Ok: succeeded, Err: failed });
        const retryMs = Math.min(longestRetryMs, firstRetryMs * 2 ** Math.min(failures, 6)) * (0.5 + random.next());
        timer.after(outcome.isOk ? pauseMs : retryMs, () => void follow());
    };
    return {
        start: () => void follow(),
        stop: () => {
            isStopped = true;
        },
        state: () => ({ revision, items: [...items.values()] }),
        newsAfter: after => {
            const isUnsettled = timer.now() - failedAt < unsettledMs;
            return after >= keptAfter
                ? { kind: "changes", isUnsettled, revision, events: kept.filter(event => revisionOf(event) > after) }
                : { kind: "state", isUnsettled, revision, items: [...items.values()] };
        },
        adopt: news => {
            if (news.revision <= revision) {
                return false;
            }
            if (news.isUnsettled) {
                failedAt = timer.now();
            }
            if (news.kind === "state") {
                takeAll(news);
            }
            else {
                takeChanges(news.events, news.revision);
            }
            return true;
        },
        revision: () => revision,
        isConnected: () => isConnected,
        isFollowing: () => isWatching && isConnected,
        failedAt: () => failedAt,
    };
}
