/**
 * Passes the platform's state to the core: the document, which is watched only on entries that the core selects as
 * followers and read while there is no configuration, and the list of instances.
 */
import type { EntryCore } from "@pimentospring/core/entryCore";
import type { Random } from "@pimentospring/core/random/random";
import type { CoreEvent, ListedInstance } from "@pimentospring/core/requests/events";
import type { Cancel, Timer } from "@pimentospring/core/time/timer";
import type { Log } from "@pimentospring/runtime/logs/log";
import { logEvents } from "@pimentospring/runtime/logs/logEvents";
import { documentKey } from "@pimentospring/runtime/platform/changes";
import { readInstances } from "@pimentospring/runtime/platform/instanceList";
import type { Store, StoredValue } from "@pimentospring/runtime/platform/store";
import {
    frequentListIntervalMs,
    infrequentListIntervalMs,
    initialReadIntervalMs,
    resyncIntervalMs,
    watchReopenDelayMs,
} from "../constants.js";

export interface PlatformFollowerOptions {
    readonly timer: Timer;
    readonly random: Random;
    readonly log: Log;
    readonly core: EntryCore;
    readonly handle: (event: CoreEvent) => void;
    readonly store: Store;
    readonly listUrl: string;
    readonly timeoutMs: number;
    readonly onInstances: (instances: readonly ListedInstance[]) => void;
}

export interface PlatformFollower {
    close(): void;
}

export function createPlatformFollower(options: PlatformFollowerOptions): PlatformFollower {
    const { timer, random, log, core, handle, store } = options;
    const cancels: Cancel[] = [];
    let stopWatch: (() => void) | undefined;
    let watchedAt = -Infinity;
    /** Revision of the newest document that this entry was given by the watch or by a read. */
    let newestRevision = 0;
    let isReadingDocument = false;
    let isClosed = false;
    let documentReadAt = -Infinity;
    let listReadAt = -Infinity;
    let isStoreReachable: boolean | undefined;
    let isListReachable = true;

    const recordStoreResult = (isReachable: boolean, reason: string): void => {
        if (!isReachable) {
            handle({ kind: "storeFailed" });
        }
        if (isReachable !== isStoreReachable && !(isReachable && isStoreReachable === undefined)) {
            log.write(isReachable ? logEvents.storeAnswers : logEvents.storeFailed, { reason });
        }
        isStoreReachable = isReachable;
    };
    const readDocument = async (): Promise<void> => {
        isReadingDocument = true;
        const startedAt = timer.now();
        documentReadAt = startedAt;
        const value = await store.get(documentKey);
        isReadingDocument = false;
        if (value.isErr) {
            recordStoreResult(false, value.error.reason);
            return;
        }
        recordStoreResult(true, "");
        if (value.value !== undefined) {
            replaceSilentWatch(value.value, startedAt);
            offer(value.value);
        }
    };
    const offer = ({ text, modRevision }: StoredValue): void => {
        newestRevision = Math.max(newestRevision, modRevision);
        handle({ kind: "documentOffered", text, source: "store" });
    };
    /** A watch that was open before a read and did not bring what the read brought may never bring anything. */
    const replaceSilentWatch = (value: StoredValue, readStartedAt: number): void => {
        if (stopWatch !== undefined && watchedAt < readStartedAt && newestRevision > 0 && value.modRevision > newestRevision) {
            stopWatch();
        }
    };
    const watch = (): void => {
        watchedAt = timer.now();
        stopWatch = store.watch(
            documentKey,
            offer,
            () => {
                // Reopened after a random delay, so that entries don't all reconnect at once after an outage.
                timer.after(watchReopenDelayMs * (1 + random.next()), () => {
                    stopWatch = undefined;
                });
            },
        );
        void readDocument();
    };
    const updateWatch = (): void => {
        const isFollower = core.isFollower();
        if (isFollower && stopWatch === undefined) {
            watch();
        }
        if (!isFollower && stopWatch !== undefined) {
            stopWatch();
        }
        const hasNoConfiguration = core.index() === undefined;
        const waitMs = hasNoConfiguration ? initialReadIntervalMs : resyncIntervalMs;
        if (
            (isFollower || hasNoConfiguration) && !isReadingDocument &&
            timer.now() - documentReadAt >= waitMs * (1 + random.next())
        ) {
            void readDocument();
        }
    };
    const readList = async (): Promise<void> => {
        listReadAt = timer.now();
        const list = await readInstances(options.listUrl, options.timeoutMs);
        if (isClosed) {
            return;
        }
        if (list.isErr) {
            if (isListReachable) {
                log.write(logEvents.listFailed, { reason: list.error });
            }
            isListReachable = false;
            return;
        }
        isListReachable = true;
        options.onInstances(list.value);
        handle({ kind: "instancesListed", instances: list.value });
    };
    const pollList = (): void => {
        const isFrequent = core.isFollower() || core.index() === undefined;
        const intervalMs = isFrequent ? frequentListIntervalMs : infrequentListIntervalMs;
        if (timer.now() - listReadAt >= intervalMs * (0.75 + random.next() / 2)) {
            void readList();
        }
    };
    cancels.push(timer.subscribe(initialReadIntervalMs / 3, () => {
        updateWatch();
        pollList();
    }));
    void readList();
    void readDocument();
    return {
        close: () => {
            isClosed = true;
            cancels.forEach(cancel => cancel());
            stopWatch?.();
        },
    };
}
