/** What an entry keeps for each service: its pool, its queue, its budgets and its latencies. */
import { createLaneQueue, type LaneQueue } from "../admission/laneQueue.js";
import type { TargetPool } from "../admission/targetPool.js";
import { hedgeQuantile, hedgeShare, queuePerSlot, retryShare } from "../constants.js";
import type { Lane, Service } from "../document/schema.js";
import type { ServiceId } from "../ids.js";
import { createExtraAttemptBudget, type ExtraAttemptBudget } from "../policy/budget.js";
import { createLatencyWindow, type LatencyWindow } from "../policy/latencyWindow.js";
import type { RequestState } from "./requestState.js";

export interface ServiceDesk {
    readonly id: ServiceId;
    service: Service;
    readonly pool: TargetPool;
    readonly queue: LaneQueue<RequestState>;
    readonly retries: ExtraAttemptBudget;
    readonly hedges: ExtraAttemptBudget;
    /** Latencies of first answers by class, for the time after which a hedge is sent. */
    readonly latencies: Map<string, LatencyWindow>;
    /** When peers were last asked for grants. */
    askedAt: number;
}

/** Extra tries that a budget may save up. */
const savedTries = 10;
const hedgeSamples = 256;
const leastHedgeSamples = 30;
/** Waiting requests allowed even where this entry owns no slot. */
const leastQueue = 8;
/** Deferrable work waits longer, so more of it may. */
const deferrableFactor = 16;

export function createServiceDesk(id: ServiceId, service: Service, pool: TargetPool): ServiceDesk {
    return {
        id,
        service,
        pool,
        queue: createLaneQueue(),
        retries: createExtraAttemptBudget(retryShare, savedTries),
        hedges: createExtraAttemptBudget(hedgeShare, savedTries),
        latencies: new Map(),
        askedAt: -Infinity,
    };
}

/** Most requests that may wait in a lane. */
export function queueLimit(desk: ServiceDesk, lane: Lane): number {
    const limit = Math.max(leastQueue, desk.pool.capacity() * queuePerSlot);
    return lane === "deferrable" ? limit * deferrableFactor : limit;
}

/** Expected wait of a request that joins a lane's queue now, in milliseconds; 0 while nothing is known. */
export function expectedWaitMs(desk: ServiceDesk, lane: Lane): number {
    const capacity = Math.max(1, desk.pool.capacity());
    return (desk.queue.length(lane) * desk.pool.meanServiceMs()) / capacity;
}

export function recordLatency(desk: ServiceDesk, requestClass: string, latencyMs: number): void {
    let window = desk.latencies.get(requestClass);
    if (window === undefined) {
        window = createLatencyWindow(hedgeSamples);
        desk.latencies.set(requestClass, window);
    }
    window.record(latencyMs);
}

/** Time after which a request of the class is hedged; undefined while too little is known. */
export function hedgeDelayMs(desk: ServiceDesk, requestClass: string): number | undefined {
    return desk.latencies.get(requestClass)?.quantile(hedgeQuantile, leastHedgeSamples);
}
