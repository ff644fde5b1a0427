/** Closed-loop load generator, run as a process: `loader <url> <connections> <milliseconds>`; prints JSON results. */
import { build } from "hdr-histogram-js";
import { Pool } from "undici";

const [url, connections, durationMs] = process.argv.slice(2);
const { origin, pathname, search } = new URL(url!);
const pool = new Pool(origin, { connections: Number(connections), pipelining: 1 });
const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 });
const warmUpMs = 1_000;
const startedAt = performance.now();
const measureFrom = startedAt + warmUpMs;
const measureUntil = measureFrom + Number(durationMs);
let measuredCount = 0;
let failedCount = 0;

async function sendRequests(): Promise<void> {
    while (performance.now() < measureUntil) {
        const sentAt = performance.now();
        const response = await pool.request({ method: "GET", path: pathname + search, headers: { "x-work-id": "bench" } });
        await response.body.dump();
        const receivedAt = performance.now();
        if (receivedAt < measureFrom || receivedAt > measureUntil) {
            continue;
        }
        measuredCount++;
        failedCount += response.statusCode === 200 ? 0 : 1;
        histogram.recordValue(Math.max(1, Math.round((receivedAt - sentAt) * 1000)));
    }
}

await Promise.all(Array.from({ length: Number(connections) }, sendRequests));
process.stdout.write(JSON.stringify({
    perSecond: (measuredCount * 1000) / Number(durationMs),
    failed: failedCount,
    p50Micros: histogram.getValueAtPercentile(50),
    p99Micros: histogram.getValueAtPercentile(99),
}));
await pool.destroy();
