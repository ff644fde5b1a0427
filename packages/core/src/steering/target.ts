/** This entry's view of one target: its registration, its last load report, and this entry's requests there. */
import { hashText } from "../hash/hash.js";
import { createSlidingWindowCounter, type SlidingWindowCounter } from "../time/slidingWindowCounter.js";
import type { Timer } from "../time/timer.js";
import { type CacheCapacity, createCacheCapacity } from "./cacheCapacity.js";
import type { ObjectHolders } from "./objectHolders.js";
import type { Route } from "./steeringDocument.js";
import { createTargetCacheModel, type TargetCacheModel } from "./targetCacheModel.js";
import type { LoadReport, TargetRecord } from "./targetRecord.js";

/** Time constant of the decay of other entries' requests without new reports, as a multiple of the mean work time. */
const othersDecayWorkTimes = 3;
/** Time constant with which a reported slowness decays towards the default. */
const slownessDecayMs = 350;
/** Slowness assumed for a target without a recent report. */
const defaultSlowness = 1.15;
/** Weight of the latest report in the moving average of other entries' requests. */
const reportSmoothingFactor = 0.3;
/** Weight of the latest outcome in the failure rate. */
const failureSmoothingFactor = 0.15;

export interface Target {
    readonly record: TargetRecord;
    /** Hash of its id, for rendezvous hashing. */
    readonly hashSeed: number;
    /** End of its cold start, on the entry's clock. */
    coldUntil: number;
    /** Requests of this entry in flight at the target. */
    inFlight: number;
    /** Bytes of these requests' bodies. */
    bodyBytesInFlight: number;
    /** Requests that other entries of the data centre have told of. */
    peersInFlight: number;
    /** Whether it may be dead: nothing is sent to it until a health check succeeds. */
    isSuspect: boolean;
    /** End of its ejection for too many failed requests, on the entry's clock. */
    ejectedUntil: number;
    /** Until this time it wants no requests, on the entry's clock. */
    pausedUntil: number;
    /** Whether it has said itself that it leaves; a later record of the same incarnation does not change that. */
    isLeaving: boolean;
    /** Recent fraction of requests that it failed or shed. */
    failureRate: number;
    /**
     * Until this time at-most-once requests use new connections, because connections to the target failed or returned
     * wrong responses recently.
     */
    noConnectionReuseUntil: number;
    /** Requests sent to it in the last second, for the rate limit on cold targets. */
    readonly recentArrivals: SlidingWindowCounter;
    isRemoved: boolean;
    /** The latest load report, and the requests in it that neither this entry nor its peers had told of. */
    report: { readonly load: LoadReport; readonly receivedAt: number; readonly othersInFlight: number; } | undefined;
    meanOthersInFlight: number;
    /** Estimate of the objects that it has cached. */
    readonly cache: TargetCacheModel;
    /** Whether it joined a service that already had targets and has not received a request since. */
    isUntried: boolean;
}

export function createTarget(
    record: TargetRecord,
    timer: Timer,
    isUntried = false,
    capacity: CacheCapacity = createCacheCapacity(),
    holders?: ObjectHolders,
): Target {
    const target: Target = {
        record,
        hashSeed: hashText(record.id),
        coldUntil: timer.now() + record.coldMs,
        inFlight: 0,
        bodyBytesInFlight: 0,
        peersInFlight: 0,
        isSuspect: false,
        ejectedUntil: -Infinity,
        pausedUntil: -Infinity,
        isLeaving: false,
        failureRate: 0,
        noConnectionReuseUntil: -Infinity,
        recentArrivals: createSlidingWindowCounter(timer, 1_000, 10),
        isRemoved: false,
        report: undefined,
        meanOthersInFlight: 0,
        cache: createTargetCacheModel({
            capacity,
            onAdded: object => holders?.add(object, target),
            onDropped: object => holders?.remove(object, target),
        }),
        isUntried,
    };
    return target;
}

/** Records a load report that came with a response; the request of that response still counts as in flight. */
export function recordLoadReport(target: Target, load: LoadReport, now: number): void {
    const othersInFlight = Math.max(0, load.running + load.waiting - target.inFlight - target.peersInFlight);
    target.meanOthersInFlight += reportSmoothingFactor * (othersInFlight - target.meanOthersInFlight);
    target.report = { load, receivedAt: now, othersInFlight };
}

/** Records whether a request failed. */
export function recordRequestOutcome(target: Target, isFailure: boolean): void {
    target.failureRate += failureSmoothingFactor * ((isFailure ? 1 : 0) - target.failureRate);
}

/** Bodies that this entry has in flight at a target together: a target ends when what it holds exceeds its memory. */
export const maxBodyBytesPerTarget = 16 * 1_024 * 1_024;

/** Whether the target may hold a body of that size besides those it has. One that is larger than the limit has it alone. */
export const hasRoomForBody = ({ bodyBytesInFlight }: Target, bodyBytes: number): boolean =>
    bodyBytes === 0 || bodyBytesInFlight === 0 || bodyBytesInFlight + bodyBytes <= maxBodyBytesPerTarget;

/** Hash that identifies an object; object ids are unique only within a route's prefix. */
export const objectKey = (route: Route, object: string): number => hashText(`${route.prefix}${object}`);

/**
 * Estimated number of free slots; may be a fraction, or negative when other entries fill the queue. `meanWorkMs` is the
 * mean time of a request at such a target.
 */
export function freeSlots(target: Target, now: number, meanWorkMs: number): number {
    const slots = target.report?.load.slots ?? target.record.slots;
    return slots - target.inFlight - target.peersInFlight - othersInFlight(target, now, meanWorkMs);
}

/**
 * Estimated requests of entries that tell nothing of them: those of the last report complete over time, and the average
 * number takes their place.
 */
function othersInFlight(target: Target, now: number, meanWorkMs: number): number {
    const report = target.report;
    if (report === undefined) {
        return 0;
    }
    const elapsedWorkTimes = (now - report.receivedAt) / meanWorkMs;
    const remainingFraction = Math.exp(-elapsedWorkTimes);
    const expected = remainingFraction * report.othersInFlight + (1 - remainingFraction) * target.meanOthersInFlight;
    // Without new reports the estimate decays to zero; otherwise an entry that others crowded out once would never try
    // the target again.
    return expected * Math.exp(-elapsedWorkTimes / othersDecayWorkTimes);
}

/** Factor by which work at the target is expected to take longer than usual. */
export function expectedSlowness(target: Target, now: number): number {
    const report = target.report;
    if (report === undefined) {
        return defaultSlowness;
    }
    const weight = Math.exp(-(now - report.receivedAt) / slownessDecayMs);
    return weight * report.load.slowness + (1 - weight) * defaultSlowness;
}

export const isCold = (target: Target, now: number): boolean => target.coldUntil > now;
