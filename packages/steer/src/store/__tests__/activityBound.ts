/** Checks that no entry is busy without end: bounds its datagrams and timer callbacks in each second of virtual time. */

/** What entries do in a second, by entry. */
export interface ActivityBound {
    recordDatagram(entry: number): void;
    recordCallback(entry: number): void;
    /** Datagrams and callbacks of the entry so far. */
    totalOf(entry: number): number;
    /** Throws if an entry has done more than it may since the last call, then begins to count anew. */
    check(): void;
}

const maxDatagramsPerPeer = 10;
const maxCallbacksPerPeer = 20;
const maxOwnCallbacks = 100;

export function createActivityBound(entryCount: number): ActivityBound {
    const datagrams = new Map<number, number>();
    const callbacks = new Map<number, number>();
    const totals = new Map<number, number>();
    const increment = (counts: Map<number, number>, entry: number): void => void counts.set(entry, (counts.get(entry) ?? 0) + 1);
    const record = (counts: Map<number, number>, entry: number): void => {
        increment(counts, entry);
        increment(totals, entry);
    };
    const checkCounts = (counts: Map<number, number>, max: number, what: string): void => {
        for (const [entry, count] of counts) {
            if (count > max) {
                throw new Error(`entry ${entry}: ${count} ${what} in a second, ${max} allowed`);
            }
        }
        counts.clear();
    };
    return {
        recordDatagram: entry => record(datagrams, entry),
        recordCallback: entry => record(callbacks, entry),
        totalOf: entry => totals.get(entry) ?? 0,
        check: () => {
            checkCounts(datagrams, maxDatagramsPerPeer * entryCount, "datagrams");
            checkCounts(callbacks, maxCallbacksPerPeer * entryCount + maxOwnCallbacks, "timer callbacks");
        },
    };
}
