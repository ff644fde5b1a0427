/**
 * How long a request waits for a place and which place it takes. Answers load at its worst: slots go to work that can
 * still be in time, work that can only be late waits a bounded time in a bounded number, the rest is refused early.
 */
import type { Job } from "./job.js";
import type { Choice } from "./placement.js";

/** Pressure above which work that can only be late is refused at once. */
const pressedLevel = 0.25;
/** Work that can only be late waits for this many times its objective at most. */
const lateWaitShare = 1;
/** A request that can only be late waits for this part of its time at most. */
const waitShare = 0.45;
/** Part of the expected wait that must fit: a job ahead may leave, and slots may come free sooner. */
const hopefulness = 0.7;
/** Rate that is assumed where hardly anything was served lately. */
const leastPerSecond = 1;
/** A place that is full now is waited for if it would gain this much more. */
const worthWaiting = 0.2;
/** Worth of making an object known to a target, for the requests that follow. */
const firstRunWorth = 0.4;
/** A place with less value than this means a late answer, most likely. */
const lateValue = 0.4;

/** Whether a place is worth taking now, or the job had better wait for a better one that is full. */
export function isWorthTaking(choice: Choice, fullGain: number, canWait: boolean, pressure: number): boolean {
    // Without pressure nobody else wants the slot: a poor estimate must not keep requests from it for ever.
    if (pressure > pressedLevel && choice.gain + (choice.isFirst ? firstRunWorth : 0) <= 0) {
        return false;
    }
    return !canWait || choice.gain >= fullGain - worthWaiting;
}

/**
 * Work that can only be late takes no slots from work that could be in time; but an object that no target knows is
 * worth its first slow run, and nobody is turned away twice.
 */
export function isCrowdedOut(job: Job<unknown>, choice: Choice, pressure: number): boolean {
    return choice.value < lateValue && !choice.isFirst && !job.isReturn && pressure > pressedLevel && job.arrivals === 0;
}

/** Until when a job waits that can only be late, on the entry's clock. */
export function waitsUntil(job: Job<unknown>): number {
    const longest = waitShare * (job.giveUpAt - job.request.arrivedAt);
    return job.request.arrivedAt + (job.isReturn ? longest : Math.min(longest, lateWaitShare * job.route.objectiveMs));
}

/** What is known of the queue when a job is to wait in it. */
export interface Outlook {
    readonly now: number;
    /** Jobs that are served before it, among those that can be in time or among those that can't. */
    readonly ahead: number;
    /** Jobs that get a slot in a second, of its kind. */
    readonly perSecond: number;
    /** Last moment at which it may start. */
    readonly until: number;
}

/** Whether a job that waits is likely to get a slot by the moment at which it must start. */
export function isLikelyServed(outlook: Outlook): boolean {
    const waitMs = ((outlook.ahead + 1) / Math.max(leastPerSecond, outlook.perSecond)) * 1_000;
    return outlook.now + hopefulness * waitMs <= outlook.until;
}
