/**
 * Admission control: how long a request waits for a slot and which slot it takes. At peak load, slots go to requests
 * that can still meet their latency objective; requests that can only be late wait for a bounded time in bounded
 * numbers, and the rest are shed early.
 */
import type { Job } from "./job.js";
import type { ServiceRate } from "./serviceRates.js";
import type { ScoredTarget } from "./targetSelector.js";

/** Slot pressure above which requests that can only be late are shed at once. */
const highPressureThreshold = 0.25;
/** Maximum wait of a request that can only be late, as a multiple of its route's latency objective. */
const maxLateWaitObjectiveRatio = 1;
/** Maximum wait of a request that can only be late, as a fraction of the time until its response is due. */
const maxWaitFraction = 0.45;
/** Fraction of the expected wait that must fit: requests ahead may be cancelled, and slots may become free sooner. */
const requiredWaitFraction = 0.7;
/** Service rate assumed when hardly any requests were served recently. */
const minServedPerSecond = 1;
/** A request waits for a full target only if its score there is higher by at least this much. */
const minScoreGainToWait = 0.2;
/** Value of caching an object at a target for the requests that follow. */
const firstRunBonus = 0.4;
/** A target with a lower value is likely to respond after the latency objective. */
const minTimelyValue = 0.4;

/** Whether to send a job to the candidate now instead of waiting for a target that is full and scores higher. */
export function isWorthSendingNow(candidate: ScoredTarget, bestFullScore: number, canWait: boolean, pressure: number): boolean {
    // Without slot pressure no other request needs the slot: a poor estimate must not keep requests from it forever.
    if (pressure > highPressureThreshold && candidate.score + (candidate.isFirstRun ? firstRunBonus : 0) <= 0) {
        return false;
    }
    return !canWait || candidate.score >= bestFullScore - minScoreGainToWait;
}

/**
 * Requests that can only be late yield slots to requests that can meet their objective. Exceptions are the first run of
 * an object that no target has cached, which is worth a slow run, and caller retries, so that no request is refused
 * twice.
 */
export function isDeferredAsLate(job: Job<unknown>, candidate: ScoredTarget, pressure: number): boolean {
    return candidate.value < minTimelyValue && !candidate.isFirstRun && !job.isCallerRetry && pressure > highPressureThreshold &&
        job.writtenAttempts === 0;
}

/** Time, on the entry's clock, until which a job that can only be late may wait. */
export function lateWaitDeadline(job: Job<unknown>): number {
    const maxWaitMs = maxWaitFraction * (job.responseDueAt - job.request.arrivedAt);
    return job.request.arrivedAt +
        (job.isCallerRetry ? maxWaitMs : Math.min(maxWaitMs, maxLateWaitObjectiveRatio * job.route.objectiveMs));
}

/** State of the queue from which a job's waiting time is estimated. */
export interface QueueEstimate {
    readonly now: number;
    /** Jobs served earlier: those that can meet their objective, or those that can't, depending on this job's group. */
    readonly jobsAhead: number;
    /** Rate at which jobs of this group get slots. */
    readonly servedPerSecond: number;
    /** Latest time at which the job may start. */
    readonly latestStartAt: number;
}

/** Whether a queued job is likely to get a slot by its latest start time. */
export function isLikelyServedInTime(estimate: QueueEstimate): boolean {
    const waitMs = ((estimate.jobsAhead + 1) / Math.max(minServedPerSecond, estimate.servedPerSecond)) * 1_000;
    return estimate.now + requiredWaitFraction * waitMs <= estimate.latestStartAt;
}

/** A job's place in the queue, times on the entry's clock, and rates of its service. */
export interface QueuePosition {
    readonly now: number;
    readonly ahead: number;
    /** Jobs ahead that can still meet their objective. */
    readonly aheadInTime: number;
    readonly rate: ServiceRate;
    readonly latestStartAt: number;
    readonly lateDeadline: number;
}

export interface ServiceEstimate {
    readonly isLikelyServed: boolean;
    /** Time at which the estimate could change for the worse. */
    readonly reviewAt: number;
}

/** Whether a job that found no slot is likely to get one, in time or late. */
export function estimateService({ now, ahead, aheadInTime, rate, latestStartAt, lateDeadline }: QueuePosition): ServiceEstimate {
    const canBeInTime = latestStartAt > now
        && isLikelyServedInTime({ now, jobsAhead: aheadInTime, servedPerSecond: rate.allPerSecond, latestStartAt });
    if (canBeInTime) {
        return { isLikelyServed: true, reviewAt: latestStartAt };
    }
    const canBeLate = now < lateDeadline
        && isLikelyServedInTime({
            now,
            jobsAhead: ahead - aheadInTime,
            // If no request ahead can meet its objective, late requests are assumed to get half of the slots that become free.
            servedPerSecond: Math.max(rate.latePerSecond, aheadInTime === 0 ? rate.allPerSecond / 2 : 0),
            latestStartAt: lateDeadline,
        });
    return { isLikelyServed: canBeLate, reviewAt: lateDeadline };
}

/** Why a job is refused while all targets of its service are closed for `closedMs`. */
export const describeClosure = (closedMs: number): string =>
    closedMs === Infinity ? "all targets are leaving" : `all targets want no requests for ${Math.round(closedMs)} ms`;
