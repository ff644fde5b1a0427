/** A rate limit that all entries share: together they admit no more than it allows. */

/** What may be admitted in a window: the rate times the window, and the burst. */
export interface Quota {
    readonly ratePerSecond: number;
    /** Requests allowed in a window in addition to the rate. */
    readonly burst: number;
}

export type Admission =
    | {
        readonly kind: "admitted";
        /** Returns what was taken for a request that ended without having run. */
        readonly giveBack: () => void;
    }
    | {
        readonly kind: "refused";
        /** Time until a request is likely to be admitted, in milliseconds. */
        readonly retryAfterMs: number;
    };

export interface SharedLimit<Key> {
    /** Takes one request out of the key's quota. */
    tryTake(key: Key, quota: Quota): Admission;
}
