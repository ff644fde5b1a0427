/** Calls to the store that end in bounded time, whether or not the store responds. */
import type { Timer } from "@pimentospring/core/time/timer";
import { err } from "true-myth/result";
import type { Store, StoreChanges, StoreFailure, StorePage, StoreResult, StoreWrite } from "./store.js";
import type { StoreFailures } from "./storeFailures.js";

/** Limits of a call; one without a timeout has the usual one. */
export interface CallLimits {
    readonly timeoutMs: number | undefined;
    /** Ends the call when aborted. */
    readonly signal: AbortSignal;
}

export interface StoreCalls {
    range(prefix: string, after: string | undefined, limits: CallLimits): StoreResult<StorePage>;
    watch(prefix: string, revision: number, waitMs: number, limits: CallLimits): StoreResult<StoreChanges>;
    write(write: StoreWrite): StoreResult<number>;
    grantLease(lifetimeMs: number): StoreResult<number>;
    renewLease(lease: number): StoreResult<void>;
    revokeLease(lease: number): StoreResult<void>;
    /** Newest era of the store that a response has shown. */
    era(): number;
    close(): void;
    /** Time of the store's last response to any call, on the timer's clock; `-Infinity` before the first. */
    lastResponseAt(): number;
}

const callTimeoutMs = 1_500;
/** A watch that exceeds its waiting time by this much has lost its connection. */
const watchTimeoutMarginMs = 700;

/** Whether the store failed for all; a call beyond the rate limit, or of an old revision or lease, shows a store that works. */
const isOutage = ({ kind }: StoreFailure): boolean => kind === "unknown" || kind === "refused";

export function createStoreCalls(timer: Timer, store: Store, failures: StoreFailures): StoreCalls {
    let responseAt = -Infinity;
    const callWithin = async <Value>(
        timeoutMs: number,
        start: (signal: AbortSignal) => StoreResult<Value>,
        signal?: AbortSignal,
    ): StoreResult<Value> => {
        const startedAt = timer.now();
        const abort = new AbortController();
        let isEnded = false;
        let cancelTimeout = (): void => {};
        const end = new Promise<Awaited<StoreResult<Value>>>(resolve => {
            const endWith = (reason: string): void => {
                isEnded = true;
                resolve(err({ kind: "unknown", reason }));
                abort.abort();
            };
            cancelTimeout = timer.after(timeoutMs, () => {
                // The store was silent when the call reached it; when it spoke again, the call does not show.
                failures.record(startedAt);
                endWith(`no response within ${timeoutMs} ms`);
            });
            signal?.addEventListener("abort", () => endWith("the call was ended"), { once: true });
        });
        const result = await Promise.race([start(abort.signal), end]);
        cancelTimeout();
        if (result.isOk || result.error.kind !== "unknown") {
            responseAt = timer.now();
        }
        if (result.isErr && isOutage(result.error) && !isEnded) {
            failures.record(timer.now());
        }
        return result;
    };
    return {
        range: (prefix, after, limits) =>
            callWithin(limits.timeoutMs ?? callTimeoutMs, signal => store.range(prefix, after, signal), limits.signal),
        watch: (prefix, revision, waitMs, limits) =>
            callWithin(
                limits.timeoutMs ?? waitMs + watchTimeoutMarginMs,
                signal => store.watch(prefix, revision, waitMs, signal),
                limits.signal,
            ),
        write: write => callWithin(callTimeoutMs, signal => store.write(write, signal)),
        grantLease: lifetimeMs => callWithin(callTimeoutMs, signal => store.grantLease(lifetimeMs, signal)),
        renewLease: lease => callWithin(callTimeoutMs, signal => store.renewLease(lease, signal)),
        revokeLease: lease => callWithin(callTimeoutMs, signal => store.revokeLease(lease, signal)),
        era: () => store.era(),
        close: () => store.close(),
        lastResponseAt: () => responseAt,
    };
}
