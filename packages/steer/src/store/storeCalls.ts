/** Calls to the store that end in bounded time, whether or not the store responds. */
import type { Timer } from "@pimentospring/core/time/timer";
import { err } from "true-myth/result";
import type { Store, StoreChanges, StoreFailure, StorePage, StoreResult, StoreWrite } from "./store.js";

export interface StoreCalls {
    range(prefix: string, after: string | undefined): StoreResult<StorePage>;
    watch(prefix: string, revision: number, waitMs: number): StoreResult<StoreChanges>;
    write(write: StoreWrite): StoreResult<number>;
    grantLease(lifetimeMs: number): StoreResult<number>;
    renewLease(lease: number): StoreResult<void>;
    revokeLease(lease: number): StoreResult<void>;
    close(): void;
    /** Time of the store's last response to any call, on the timer's clock; `-Infinity` before the first. */
    lastResponseAt(): number;
}

const callTimeoutMs = 1_500;
/** A watch that exceeds its waiting time by this much has lost its connection. */
const watchTimeoutMarginMs = 1_500;

export function createStoreCalls(timer: Timer, store: Store): StoreCalls {
    let responseAt = -Infinity;
    const callWithin = async <Value>(
        timeoutMs: number,
        start: (signal: AbortSignal) => StoreResult<Value>,
    ): StoreResult<Value> => {
        const abort = new AbortController();
        const failure: StoreFailure = { kind: "unknown", reason: `no response within ${timeoutMs} ms` };
        let cancelTimeout = (): void => {};
        const timeout = new Promise<Awaited<StoreResult<Value>>>(resolve => {
            cancelTimeout = timer.after(timeoutMs, () => {
                resolve(err(failure));
                abort.abort();
            });
        });
        const result = await Promise.race([start(abort.signal), timeout]);
        cancelTimeout();
        if (result.isOk || result.error.kind !== "unknown") {
            responseAt = timer.now();
        }
        return result;
    };
    return {
        range: (prefix, after) => callWithin(callTimeoutMs, signal => store.range(prefix, after, signal)),
        watch: (prefix, revision, waitMs) =>
            callWithin(waitMs + watchTimeoutMarginMs, signal => store.watch(prefix, revision, waitMs, signal)),
        write: write => callWithin(callTimeoutMs, signal => store.write(write, signal)),
        grantLease: lifetimeMs => callWithin(callTimeoutMs, signal => store.grantLease(lifetimeMs, signal)),
        renewLease: lease => callWithin(callTimeoutMs, signal => store.renewLease(lease, signal)),
        revokeLease: lease => callWithin(callTimeoutMs, signal => store.revokeLease(lease, signal)),
        close: () => store.close(),
        lastResponseAt: () => responseAt,
    };
}
