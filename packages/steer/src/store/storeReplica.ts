/**
 * Local replica of the store: reads a snapshot, then watches for changes. Keeps its items while the store is
 * unavailable.
 */
import type { Random } from "@pimentospring/core/random/random";
import type { Cancel, Timer } from "@pimentospring/core/time/timer";
import type { Log } from "@pimentospring/runtime/logs/log";
import { logEvents } from "@pimentospring/runtime/logs/logEvents";
import { err, ok } from "true-myth/result";
import { createReplicatedItems, type ItemsSnapshot, type ItemsUpdate, type ReplicatedItemsOptions } from "./replicatedItems.js";
import type { StoreEvent, StoreFailure, StoreItem, StoreResult } from "./store.js";
import type { CallLimits, StoreCalls } from "./storeCalls.js";
import { eraOf, revisionFields } from "./storeRevision.js";

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
    /** Whether this entry looks for changes beside its pending call; one entry does so for all. */
    readonly looksForChanges: () => boolean;
    /** Longest mean time from one failed call to the next. */
    readonly maxRetryIntervalMs: () => number;
    readonly onEvent: (event: StoreEvent) => void;
    /** Called after all events of a batch. */
    readonly onBatchApplied: () => void;
    readonly redact?: ReplicatedItemsOptions["redact"];
    /** Called when the store turns out to have come back from an older copy. */
    readonly onNewEra: () => void;
    /** Called when a call to the store has brought a newer revision. */
    readonly onStoreAdvanced: () => void;
}

export interface StoreReplica {
    start(): void;
    stop(): void;
    /** Current items and the revision that they reflect. */
    snapshot(): ItemsSnapshot;
    /** Changes after a revision, or a full snapshot if the kept history does not reach back that far. */
    updateSince(revision: number): ItemsUpdate;
    /** Applies a peer's update if it is newer than this replica. Returns whether it was applied. */
    applyUpdate(update: ItemsUpdate): boolean;
    revision(): number;
    /** Revision up to which items may stem from the older copy with which the store's current era began; 0 in era 0. */
    copyRevision(): number;
    /** Records that a peer has reached a revision. A call that stays without a response to it is ended. */
    recordPeerRevision(peerRevision: number): void;
    /** Records that the store did not respond to another call of this entry in time. */
    recordSilence(): void;
    /** Records that the store responded to another call of this entry, which began at the given time. */
    recordResponse(callStartedAt: number): void;
    isConnected(): boolean;
    /** Whether this entry watches the store itself and the store responds. */
    isWatching(): boolean;
    /** Time since which a call to the store has been pending, on the timer's clock; `undefined` if none is. */
    pendingSince(): number | undefined;
    /** Time at which this entry last noticed that a call to the store failed or hung, on the timer's clock. */
    lastTroubleAt(): number;
}

/** Time that a watch call waits for changes; it differs so that not all entries' calls end together. */
const watchWaitMs = { min: 4_000, max: 11_000 } as const;
/** A call to a store that may not respond. */
const probeTimeoutMs = 700;
/** Time that a response may take after a peer has announced a newer revision. */
const newerRevisionGraceMs = 300;
/** A call is made anew within this time, so that entries do not all call at once. */
const maxRestartDelayMs = 100;
const minRetryDelayMs = 80;
/**
 * Interval at which one entry looks for changes beside its pending call. An outage too short to show in any other call may end
 * the calls for changes of all entries.
 */
const lookIntervalMs = 750;
/** Interval at which an entry that need not watch checks whether that has changed. */
const watchNeedCheckIntervalMs = 300;

/** An error while changes are applied must not end the watch. */
const toUnexpectedFailure = (error: Error): StoreFailure => ({ kind: "unknown", reason: error.stack ?? error.message });

interface PendingCall {
    readonly startedAt: number;
    /** Revision that the replica had reached. */
    readonly revision: number;
    /** Whether the call asks a store that may not respond, and does not wait for changes. */
    readonly isProbe: boolean;
    /** Whether the call has gone on to read a snapshot. */
    isReadingSnapshot: boolean;
    readonly abort: AbortController;
}

export function createStoreReplica(options: StoreReplicaOptions): StoreReplica {
    const { store, timer, random, log, prefix } = options;
    const items = createReplicatedItems(options);
    let isStopped = false;
    let isConnected = false;
    let isWatchRequired = false;
    let troubleAt = -Infinity;
    let failures = 0;
    let pending: PendingCall | undefined;
    let cancelPause: Cancel = () => {};
    /** Time of the last sign that the store may not respond to calls begun before it. */
    let doubtAt = -Infinity;
    /** Time of the last response of the store. */
    let responseAt = -Infinity;
    /** Calls ended because of a peer's newer revision since the last response. */
    let peerRestarts = 0;
    let isBehindPeer = false;

    const nextWaitMs = (): number => Math.round(watchWaitMs.min + random.next() * (watchWaitMs.max - watchWaitMs.min));
    const isDoubtful = (): boolean => doubtAt > responseAt;
    const readSnapshot = async (limits: CallLimits): StoreResult<ItemsSnapshot> => {
        const readItems: StoreItem[] = [];
        let firstRevision: number | undefined;
        let after: string | undefined;
        for (;;) {
            const page = await store.range(prefix, after, limits);
            if (page.isErr) {
                return err(page.error);
            }
            // Uses the first page's revision: the watch then reports again whatever changed while later pages were
            // read.
            firstRevision ??= page.value.revision;
            if (eraOf(page.value.revision) !== eraOf(firstRevision)) {
                return err({ kind: "unknown", reason: "the store's era changed between two pages" });
            }
            readItems.push(...page.value.items);
            if (!page.value.hasMore) {
                return ok({ revision: firstRevision, items: readItems });
            }
            after = page.value.items.at(-1)?.key;
            if (after === undefined) {
                return err({ kind: "unknown", reason: "a page without items says that more follow" });
            }
        }
    };
    const synchronise = async (call: PendingCall): StoreResult<void> => {
        const { isProbe, abort } = call;
        const limits = { signal: abort.signal, timeoutMs: isProbe ? probeTimeoutMs : undefined };
        const replaceItems = async (): StoreResult<void> => {
            call.isReadingSnapshot = true;
            const snapshot = await readSnapshot(limits);
            return snapshot.map(items.applySnapshot);
        };
        if (items.revision() === 0) {
            return replaceItems();
        }
        const changes = await store.watch(prefix, items.revision(), isProbe ? 0 : nextWaitMs(), limits);
        if (changes.isErr && changes.error.kind === "compacted") {
            return replaceItems();
        }
        return changes.map(({ events, revision: upTo }) => items.applyChanges(events, upTo));
    };
    const recordFailure = (failure: StoreFailure): void => {
        troubleAt = timer.now();
        if (failure.kind === "unknown") {
            doubtAt = timer.now();
        }
        if (isConnected || failures === 0) {
            log.write(logEvents.storeFailed, { reason: failure.reason, kind: failure.kind, ...revisionFields(items.revision()) });
        }
        isConnected = false;
        failures++;
    };
    const recordSuccess = (): void => {
        if (!isConnected) {
            log.write(logEvents.storeAnswers, { ...revisionFields(items.revision()), failures });
        }
        isConnected = true;
        failures = 0;
        responseAt = timer.now();
        peerRestarts = 0;
        isBehindPeer = false;
    };
    const callAfter = (delayMs: number): void => {
        cancelPause();
        cancelPause = timer.after(delayMs, () => void callStore());
    };
    /** Ends the pending call, or the pause before the next one, and calls the store anew. */
    const restartCall = (): void => {
        const call = pending;
        pending = undefined;
        call?.abort.abort();
        callAfter(random.next() * maxRestartDelayMs);
    };
    /** Time to the next call; calls that failed early are followed later than those that waited. */
    const retryDelayMs = (callMs: number): number => {
        const backoffMs = Math.min(options.maxRetryIntervalMs(), minRetryDelayMs * 2 ** Math.min(failures, 6));
        return Math.max(minRetryDelayMs, backoffMs * (0.5 + random.next()) - callMs);
    };
    const callStore = async (): Promise<void> => {
        if (isStopped) {
            return;
        }
        isWatchRequired = items.revision() === 0 || options.isWatchNeeded();
        if (!isWatchRequired) {
            callAfter(watchNeedCheckIntervalMs);
            return;
        }
        const call: PendingCall = {
            startedAt: timer.now(),
            revision: items.revision(),
            isProbe: isDoubtful(),
            isReadingSnapshot: false,
            abort: new AbortController(),
        };
        pending = call;
        const outcome = await synchronise(call).catch((error: Error) => err<void, StoreFailure>(toUnexpectedFailure(error)));
        if (isStopped || pending !== call) {
            return;
        }
        pending = undefined;
        outcome.match({ Ok: recordSuccess, Err: recordFailure });
        if (items.revision() > call.revision) {
            options.onStoreAdvanced();
        }
        callAfter(outcome.isOk ? options.watchPauseMs() : retryDelayMs(timer.now() - call.startedAt));
    };
    /** A change that the look finds and the pending call does not bring is treated like one that a peer has announced. */
    const lookForChanges = async (): Promise<void> => {
        if (
            pending === undefined || pending.isProbe || timer.now() - pending.startedAt < lookIntervalMs ||
            !options.looksForChanges()
        ) {
            return;
        }
        const startedAt = timer.now();
        const abort = new AbortController();
        const changes = await store.watch(prefix, items.revision(), 0, { signal: abort.signal, timeoutMs: probeTimeoutMs });
        if (isStopped) {
            return;
        }
        changes.match({
            Ok: ({ revision }) => {
                recordResponse(startedAt);
                recordPeerRevision(revision);
            },
            Err: ({ kind }) => {
                if (kind === "unknown") {
                    recordSilence();
                }
                else if (kind === "compacted" && pending?.isReadingSnapshot === false) {
                    restartCall();
                }
            },
        });
    };
    const recordSilence = (): void => {
        doubtAt = timer.now();
        if (pending !== undefined && !pending.isProbe) {
            restartCall();
        }
    };
    const recordResponse = (callStartedAt: number): void => {
        const isOfOlderEra = pending?.isReadingSnapshot === false && eraOf(pending.revision) < store.era();
        const isOvertaken = pending === undefined
            ? isDoubtful()
            : isOfOlderEra || (pending.isProbe && pending.startedAt < callStartedAt);
        responseAt = timer.now();
        if (isWatchRequired && isOvertaken) {
            restartCall();
        }
    };
    /** A call that brings nothing although a peer has a newer revision may never be answered. */
    const checkPeerRevision = (peerRevision: number, heardAt: number): void => {
        if (peerRevision <= items.revision() || pending === undefined || pending.startedAt > heardAt) {
            return;
        }
        peerRestarts++;
        isBehindPeer = true;
        doubtAt = timer.now();
        troubleAt = timer.now();
        restartCall();
    };
    const recordPeerRevision = (peerRevision: number): void => {
        if (pending !== undefined && peerRevision > items.revision()) {
            const heardAt = timer.now();
            timer.after(
                newerRevisionGraceMs * 2 ** Math.min(peerRestarts, 3),
                () => checkPeerRevision(peerRevision, heardAt),
            );
        }
    };
    return {
        start: () => {
            timer.subscribe(lookIntervalMs, () => void lookForChanges());
            void callStore();
        },
        stop: () => {
            isStopped = true;
            pending?.abort.abort();
        },
        snapshot: items.snapshot,
        updateSince: items.updateSince,
        applyUpdate: update => {
            if (update.revision <= items.revision()) {
                return false;
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
        copyRevision: items.copyRevision,
        recordPeerRevision,
        recordSilence,
        recordResponse,
        isConnected: () => isConnected && !isDoubtful(),
        isWatching: () => isWatchRequired && isConnected && !isDoubtful() && !isBehindPeer,
        pendingSince: () => pending?.startedAt,
        lastTroubleAt: () => troubleAt,
    };
}
