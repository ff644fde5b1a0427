/**
 * Recent latencies as a sliding window in two halves, with quantiles by sorting a small sample. A window, not an
 * all-time histogram: what a target did a minute ago says little of now.
 */

/** Samples after which a quantile is computed again, at least. */
const minStaleness = 6;

export interface LatencyWindow {
    record(latencyMs: number): void;
    /** Quantile of the window, or undefined with fewer than `least` samples. */
    quantile(share: number, least: number): number | undefined;
    readonly count: () => number;
    clear(): void;
}

export function createLatencyWindow(capacity: number): LatencyWindow {
    const samples = new Float64Array(capacity);
    let written = 0;
    let sorted: Float64Array | undefined;
    let sortedAt = 0;
    /** Sorting again for each sample would cost more than the answer is worth. */
    const staleness = Math.max(minStaleness, capacity >> 4);
    return {
        record: latencyMs => {
            samples[written % capacity] = latencyMs;
            written++;
        },
        quantile: (share, least) => {
            const size = Math.min(written, capacity);
            if (size < least) {
                return undefined;
            }
            if (sorted === undefined || written - sortedAt >= staleness) {
                sorted = samples.slice(0, size).sort();
                sortedAt = written;
            }
            return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))];
        },
        count: () => Math.min(written, capacity),
        clear: () => {
            written = 0;
            sorted = undefined;
        },
    };
}
