/** What a world of several entries is made of, and what it tells of a run. */
import type { TargetTraits } from "./sharedTarget.js";

/** Requests of one kind. */
export interface WorldClass {
    readonly name: string;
    readonly service: string;
    /** Arrivals a second at each data centre. */
    readonly perSecond: number;
    /** Usual work on an object that a target does not remember, in milliseconds. */
    readonly workMs: number;
    readonly objectiveMs: number;
    readonly timeoutMs: number;
    readonly deadlineMs: number;
    readonly priority: number;
    readonly isIdempotent: boolean;
    /** Objects that the callers of a region ask for. */
    readonly objects: number;
}

export interface WorldService {
    readonly name: string;
    /** Targets in each data centre at the start. */
    readonly targets: Readonly<Record<string, number>>;
    readonly traits: TargetTraits;
}

export interface WorldOptions {
    readonly seed: number;
    /** Data centres `REGION-LETTER` and the entries in each. */
    readonly entries: Readonly<Record<string, number>>;
    readonly services: readonly WorldService[];
    readonly classes: readonly WorldClass[];
}

/** What callers of a class got. */
export interface ClassOutcome {
    asked: number;
    inTime: number;
    late: number;
    /** Requests whose last answer was a refusal. */
    refused: number;
    failed: number;
}

/** What a service's targets got. */
export interface ServiceOutcome {
    sent: number;
    /** Sent to a target whose slots were all taken, as they were when it arrived. */
    sentToFull: number;
    /** Mean number of requests that waited in a target, and that ran there. */
    meanWaiting: number;
    meanRunning: number;
}
