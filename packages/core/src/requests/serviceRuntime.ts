/** Per-service state of an entry: target pool, queue, retry and hedge budgets and latencies. */
import { createLaneQueue, type LaneQueue } from "../admission/laneQueue.js";
import type { TargetPool } from "../admission/targetPool.js";
import { hedgeQuantile, maxHedgeRatio, maxQueuedPerSlot, maxRetryRatio } from "../constants.js";
import type { Lane, Service } from "../document/schema.js";
import type { ServiceId } from "../ids.js";
import { createExtraAttemptBudget, type ExtraAttemptBudget } from "../policy/budget.js";
import { createLatencyWindow, type LatencyWindow } from "../policy/latencyWindow.js";
import type { RequestState } from "./requestState.js";

export interface ServiceRuntime {
    readonly id: ServiceId;
    service: Service;
    readonly pool: TargetPool;
    readonly queue: LaneQueue<RequestState>;
    readonly retryBudget: ExtraAttemptBudget;
    readonly hedgeBudget: ExtraAttemptBudget;
    /** Latencies of delivered responses by request class, from which the hedge delay is derived. */
    readonly latencies: Map<string, LatencyWindow>;
    /** Time at which grants were last requested from peers. */
    grantsRequestedAt: number;
}

/** Maximum number of unused attempts that a budget accumulates. */
const maxSavedAttempts = 10;
const hedgeWindowSamples = 256;
const minHedgeSamples = 30;
/** Minimum queue limit, for entries that own few or no slots. */
const minQueueLimit = 8;
/** Factor of the queue limit for deferrable requests, which may wait longer. */
const deferrableQueueFactor = 16;

export function createServiceRuntime(id: ServiceId, service: Service, pool: TargetPool): ServiceRuntime {
    return {
        id,
        service,
        pool,
        queue: createLaneQueue(),
        retryBudget: createExtraAttemptBudget(maxRetryRatio, maxSavedAttempts),
        hedgeBudget: createExtraAttemptBudget(maxHedgeRatio, maxSavedAttempts),
        latencies: new Map(),
        grantsRequestedAt: -Infinity,
    };
}

/** Maximum number of queued requests in a lane. */
export function maxQueueLength(runtime: ServiceRuntime, lane: Lane): number {
    const limit = Math.max(minQueueLimit, runtime.pool.capacity() * maxQueuedPerSlot);
    return lane === "deferrable" ? limit * deferrableQueueFactor : limit;
}

/** Expected wait of a request that joins the queue of a lane now; 0 while the mean service time is unknown. */
export function expectedWaitMs(runtime: ServiceRuntime, lane: Lane): number {
    const capacity = Math.max(1, runtime.pool.capacity());
    return (runtime.queue.length(lane) * runtime.pool.meanServiceTimeMs()) / capacity;
}

export function recordLatency(runtime: ServiceRuntime, requestClass: string, latencyMs: number): void {
    let window = runtime.latencies.get(requestClass);
    if (window === undefined) {
        window = createLatencyWindow(hedgeWindowSamples);
        runtime.latencies.set(requestClass, window);
    }
    window.record(latencyMs);
}

/** Delay after which a request of the class is hedged; undefined while there are too few samples. */
export function hedgeDelayMs(runtime: ServiceRuntime, requestClass: string): number | undefined {
    return runtime.latencies.get(requestClass)?.quantile(hedgeQuantile, minHedgeSamples);
}
