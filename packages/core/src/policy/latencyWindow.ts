/**
 * Sliding window of recent latencies, with quantiles computed by sorting the sample. A window rather than an all-time
 * histogram, because latencies of a minute ago say little about a target's present state.
 */

/** Minimum number of new samples before a quantile is recomputed. */
const minStaleness = 6;

export interface LatencyWindow {
    record(latencyMs: number): void;
    /** Quantile of the window; undefined with fewer than `minSamples` samples. */
    quantile(fraction: number, minSamples: number): number | undefined;
    readonly count: () => number;
    clear(): void;
}

export function createLatencyWindow(capacity: number): LatencyWindow {
    const samples = new Float64Array(capacity);
    let written = 0;
    let sorted: Float64Array | undefined;
    let sortedAt = 0;
    /** Re-sorting for each sample would cost more than the extra accuracy is worth. */
    const staleness = Math.max(minStaleness, capacity >> 4);
    return {
        record: latencyMs => {
            samples[written % capacity] = latencyMs;
            written++;
        },
        quantile: (fraction, minSamples) => {
            const size = Math.min(written, capacity);
            if (size < minSamples) {
                return undefined;
            }
            if (sorted === undefined || written - sortedAt >= staleness) {
                sorted = samples.slice(0, size).sort();
                sortedAt = written;
            }
            return sorted[Math.min(sorted.length - 1, Math.floor(fraction * sorted.length))];
        },
        count: () => Math.min(written, capacity),
        clear: () => {
            written = 0;
            sorted = undefined;
        },
    };
}
