/** What an entry keeps for each service: its pool, its queue, its budgets and its latencies. */
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
    /** Latencies of first answers by class, for the time after which a hedge is sent. */
    readonly latencies: Map<string, LatencyWindow>;
    /** When peers were last asked for grants. */
    grantsRequestedAt: number;
}

/** Extra tries that a budget may save up. */
const maxSavedAttempts = 10;
const hedgeWindowSamples = 256;
const minHedgeSamples = 30;
/** Waiting requests allowed even where this entry owns no slot. */
const minQueueLimit = 8;
/** Deferrable work waits longer, so more of it may. */
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

/** Most requests that may wait in a lane. */
export function maxQueueLength(desk: ServiceRuntime, lane: Lane): number {
    const limit = Math.max(minQueueLimit, desk.pool.capacity() * maxQueuedPerSlot);
    return lane === "deferrable" ? limit * deferrableQueueFactor : limit;
}

/** Expected wait of a request that joins a lane's queue now, in milliseconds; 0 while nothing is known. */
export function expectedWaitMs(desk: ServiceRuntime, lane: Lane): number {
    const capacity = Math.max(1, desk.pool.capacity());
    return (desk.queue.length(lane) * desk.pool.meanServiceTimeMs()) / capacity;
}

export function recordLatency(desk: ServiceRuntime, requestClass: string, latencyMs: number): void {
    let window = desk.latencies.get(requestClass);
    if (window === undefined) {
        window = createLatencyWindow(hedgeWindowSamples);
        desk.latencies.set(requestClass, window);
    }
    window.record(latencyMs);
}

/** Time after which a request of the class is hedged; undefined while too little is known. */
export function hedgeDelayMs(desk: ServiceRuntime, requestClass: string): number | undefined {
    return desk.latencies.get(requestClass)?.quantile(hedgeQuantile, minHedgeSamples);
}
