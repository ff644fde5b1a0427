/**
 * When the store last failed, as this entry saw it or was told. A failure is dated by when it happened and not by when it was
 * noticed, so that one that is passed on from entry to entry never becomes younger.
 */
import type { Timer } from "@pimentospring/core/time/timer";

export interface StoreFailures {
    /** Records that the store did not serve a call at the given time, on the timer's clock. */
    record(at: number): void;
    /** Records a failure that a peer told of, with its age in milliseconds, in response to a request sent at `askedAt`. */
    recordTold(peer: string, ageMs: number, askedAt: number): void;
    /** Who saw the last failure: `own`, or the address of the peer that told of it. */
    lastSource(): string;
    /** Time since the last failure, in milliseconds; `undefined` if there was none within `storeFailureWindowMs`. */
    ageMs(): number | undefined;
    /** The same for the failures that this entry saw itself. */
    ownAgeMs(): number | undefined;
}

/** For this long after a store failure, a missing record may merely have expired. */
export const storeFailureWindowMs = 4_000;

const ownSource = "own";

export function createStoreFailures(timer: Timer): StoreFailures {
    let lastAt = -Infinity;
    let lastOwnAt = -Infinity;
    let lastSource = ownSource;
    const ageOf = (at: number): number | undefined => {
        const ageMs = timer.now() - at;
        return ageMs < storeFailureWindowMs ? ageMs : undefined;
    };
    const recordFrom = (source: string, at: number): void => {
        if (at > lastAt) {
            lastAt = at;
            lastSource = source;
        }
    };
    return {
        record: at => {
            lastOwnAt = Math.max(lastOwnAt, at);
            recordFrom(ownSource, at);
        },
        // Counted from the request, as the response's way here must not make the failure younger.
        recordTold: (peer, ageMs, askedAt) => recordFrom(peer, askedAt - ageMs),
        lastSource: () => lastSource,
        ageMs: () => ageOf(lastAt),
        ownAgeMs: () => ageOf(lastOwnAt),
    };
}
