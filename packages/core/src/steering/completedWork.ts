/** Learns from work that a target has completed: how long it takes, and what the target has cached. */
import type { Attempt, ResponseHead } from "./job.js";
import type { WorkTimes } from "./workTimes.js";

export interface CompletedWork {
    readonly attempt: Attempt<unknown>;
    readonly head: ResponseHead;
    /** Time from the attempt's start to its response, without the round trip. */
    readonly tookMs: number;
}

/** Returns whether the work was as fast as with a cached object. */
export function learnFromWork(workTimes: WorkTimes, { attempt, head, tookMs }: CompletedWork): boolean {
    const { route, request } = attempt.job;
    const workMs = tookMs / (head.load?.slowness ?? 1);
    const wasQuick = workMs < (workTimes.warmMs(route) + workTimes.coldObjectMs(route)) / 2;
    if (route.isSticky && !attempt.isWarm && attempt.reuseDistance === undefined) {
        workTimes.recordFirstRun(route, wasQuick);
    }
    workTimes.record(route, attempt.isWarm || wasQuick, workMs, request.bodyBytes + head.bodyBytes);
    if (attempt.reuseDistance !== undefined) {
        attempt.target.cache.adjustCapacity(attempt.reuseDistance, wasQuick);
    }
    return wasQuick;
}
