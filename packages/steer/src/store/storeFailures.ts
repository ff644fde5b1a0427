/**
 * When the store last failed, as this entry saw it or was told. A failure is dated by when it happened and not by when it was
 * noticed, so that one that is passed on from entry to entry never becomes younger.
 */
import type { Timer } from "@pimentospring/core/time/timer";

export interface StoreFailures {
    /** Records that the store did not serve a call at the given time, on the timer's clock. */
    record(at: number): void;
    /** Records a failure that a peer told of, with its age in milliseconds, in response to a request sent at `askedAt`. */
    recordTold(ageMs: number, askedAt: number): void;
    /** Time since the last failure, in milliseconds; `undefined` if there was none within `storeFailureWindowMs`. */
    ageMs(): number | undefined;
}

/** For this long after a store failure, a missing record may merely have expired. */
export const storeFailureWindowMs = 4_000;

export function createStoreFailures(timer: Timer): StoreFailures {
    let lastAt = -Infinity;
    const record = (at: number): void => {
        lastAt = Math.max(lastAt, at);
    };
    return {
        record,
        // Counted from the request, as the response's way here must not make the failure younger.
        recordTold: (ageMs, askedAt) => record(askedAt - ageMs),
        ageMs: () => {
            const ageMs = timer.now() - lastAt;
            return ageMs < storeFailureWindowMs ? ageMs : undefined;
        },
    };
}
