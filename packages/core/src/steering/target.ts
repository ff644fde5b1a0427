/** One target as this entry sees it: what it announced, what it reported lately, and what this entry has there. */
import { hashText } from "../hash/hash.js";
import type { Timer } from "../time/timer.js";
import { createSlidingWindowCounter, type SlidingWindowCounter } from "./slidingWindowCounter.js";
import type { Route } from "./steeringDocument.js";
import { createTargetCacheModel, type TargetCacheModel } from "./targetCacheModel.js";
import type { LoadReport, TargetRecord } from "./targetRecord.js";

/** Others' requests are forgotten with a time constant of this many usual stays when nothing is heard of them. */
const othersDecayWorkTimes = 3;
/** Time constant with which a reported slowness fades towards the usual. */
const slownessDecayMs = 350;
/** Factor on work at a target whose moment is unknown. */
const defaultSlowness = 1.15;
/** Weight of the newest report in the average of others' requests. */
const reportSmoothingFactor = 0.3;
/** Weight of the newest outcome in the failure rate. */
const failureSmoothingFactor = 0.15;

export interface Target {
    readonly record: TargetRecord;
    /** Hash of its id, for rendezvous hashing. */
    readonly hashSeed: number;
    /** Until when it is cold, on the entry's clock. */
    coldUntil: number;
    /** Requests that this entry has there. */
    inFlight: number;
    /** Set while it may be dead: nothing is sent until a health answer clears it. */
    isSuspect: boolean;
    /** No requests before this time, on the entry's clock, because it failed too many of them. */
    ejectedUntil: number;
    /** Recent share of requests that it failed or shed. */
    failureRate: number;
    /** Connections to it broke or answered wrongly lately: at-most-once work goes over new connections until then. */
    noConnectionReuseUntil: number;
    /** Requests sent to it in the last second, for the bound on cold targets. */
    readonly recentArrivals: SlidingWindowCounter;
    isRemoved: boolean;
    report: { readonly load: LoadReport; readonly receivedAt: number; readonly ownInFlight: number; } | undefined;
    meanOthersInFlight: number;
    /** What it likely remembers. */
    readonly cache: TargetCacheModel;
    /** It joined while its service had others, and was not given a request since. */
    isUntried: boolean;
}

export function createTarget(record: TargetRecord, timer: Timer, isUntried = false): Target {
    return {
        record,
        hashSeed: hashText(record.id),
        coldUntil: timer.now() + record.coldMs,
        inFlight: 0,
        isSuspect: false,
        ejectedUntil: -Infinity,
        failureRate: 0,
        noConnectionReuseUntil: -Infinity,
        recentArrivals: createSlidingWindowCounter(timer, 1_000, 10),
        isRemoved: false,
        report: undefined,
        meanOthersInFlight: 0,
        cache: createTargetCacheModel(),
        isUntried,
    };
}

/** Notes a load report that came with an answer; the request that it answers still counts as in flight. */
export function recordLoadReport(target: Target, load: LoadReport, now: number): void {
    const others = Math.max(0, load.running + load.waiting - target.inFlight);
    target.meanOthersInFlight += reportSmoothingFactor * (others - target.meanOthersInFlight);
    target.report = { load, receivedAt: now, ownInFlight: target.inFlight };
}

/** Notes whether a request ended as it should. */
export function recordRequestOutcome(target: Target, isFailure: boolean): void {
    target.failureRate += failureSmoothingFactor * ((isFailure ? 1 : 0) - target.failureRate);
}

/** Routes give objects of different kinds the same names. */
export const objectKey = (route: Route, object: string): string => `${route.prefix}${object}`;

/**
 * Slots that are free as far as is known; may be a fraction, or below 0 where others fill the queue. `stayMs` is how long
 * a request usually stays at such a target.
 */
export function freeSlots(target: Target, now: number, stayMs: number): number {
    const slots = target.report?.load.slots ?? target.record.slots;
    return slots - target.inFlight - othersInFlight(target, now, stayMs);
}

/** What others had there leaves as their work ends, and others come in its place. */
function othersInFlight(target: Target, now: number, stayMs: number): number {
    const report = target.report;
    if (report === undefined) {
        return 0;
    }
    const stays = (now - report.receivedAt) / stayMs;
    const reported = Math.max(0, report.load.running + report.load.waiting - report.ownInFlight);
    const stillThere = Math.exp(-stays);
    const expected = stillThere * reported + (1 - stillThere) * target.meanOthersInFlight;
    // Without news the others are taken to leave: else an entry that others once pushed out would never try again.
    return expected * Math.exp(-stays / othersDecayWorkTimes);
}

/** Factor by which work is expected to take longer than usual there. */
export function expectedSlowness(target: Target, now: number): number {
    const report = target.report;
    if (report === undefined) {
        return defaultSlowness;
    }
    const weight = Math.exp(-(now - report.receivedAt) / slownessDecayMs);
    return weight * report.load.slowness + (1 - weight) * defaultSlowness;
}

export const isCold = (target: Target, now: number): boolean => target.coldUntil > now;
