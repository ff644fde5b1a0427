/**
 * How long a request waits for a place and which place it takes. Answers load at its worst: slots go to work that can
 * still be in time, work that can only be late waits a bounded time in a bounded number, the rest is refused early.
 */
import type { Job } from "./job.js";
import type { ScoredTarget } from "./targetSelector.js";

/** Pressure above which work that can only be late is refused at once. */
const highPressureThreshold = 0.25;
/** Work that can only be late waits for this many times its objective at most. */
const maxLateWaitObjectiveRatio = 1;
/** A request that can only be late waits for this part of its time at most. */
const maxWaitFraction = 0.45;
/** Part of the expected wait that must fit: a job ahead may leave, and slots may come free sooner. */
const requiredWaitFraction = 0.7;
/** Rate that is assumed where hardly anything was served lately. */
const minServedPerSecond = 1;
/** A place that is full now is waited for if it would gain this much more. */
const minScoreGainToWait = 0.2;
/** Worth of making an object known to a target, for the requests that follow. */
const firstRunBonus = 0.4;
/** A place with less value than this means a late answer, most likely. */
const minTimelyValue = 0.4;

/** Whether a place is worth taking now, or the job had better wait for a better one that is full. */
export function isWorthSendingNow(choice: ScoredTarget, fullGain: number, canWait: boolean, pressure: number): boolean {
    // Without pressure nobody else wants the slot: a poor estimate must not keep requests from it for ever.
    if (pressure > highPressureThreshold && choice.score + (choice.isFirstRun ? firstRunBonus : 0) <= 0) {
        return false;
    }
    return !canWait || choice.score >= fullGain - minScoreGainToWait;
}

/**
 * Work that can only be late takes no slots from work that could be in time; but an object that no target knows is
 * worth its first slow run, and nobody is turned away twice.
 */
export function isDeferredAsLate(job: Job<unknown>, choice: ScoredTarget, pressure: number): boolean {
    return choice.value < minTimelyValue && !choice.isFirstRun && !job.isCallerRetry && pressure > highPressureThreshold &&
        job.writtenAttempts === 0;
}

/** Until when a job waits that can only be late, on the entry's clock. */
export function lateWaitDeadline(job: Job<unknown>): number {
    const longest = maxWaitFraction * (job.responseDueAt - job.request.arrivedAt);
    return job.request.arrivedAt +
        (job.isCallerRetry ? longest : Math.min(longest, maxLateWaitObjectiveRatio * job.route.objectiveMs));
}

/** What is known of the queue when a job is to wait in it. */
export interface QueueEstimate {
    readonly now: number;
    /** Jobs that are served before it, among those that can be in time or among those that can't. */
    readonly jobsAhead: number;
    /** Jobs that get a slot in a second, of its kind. */
    readonly servedPerSecond: number;
    /** Last moment at which it may start. */
    readonly latestStartAt: number;
}

/** Whether a job that waits is likely to get a slot by the moment at which it must start. */
export function isLikelyServedInTime(outlook: QueueEstimate): boolean {
    const waitMs = ((outlook.jobsAhead + 1) / Math.max(minServedPerSecond, outlook.servedPerSecond)) * 1_000;
    return outlook.now + requiredWaitFraction * waitMs <= outlook.latestStartAt;
}
