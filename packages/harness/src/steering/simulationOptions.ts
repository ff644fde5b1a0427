/** What a world of several entries is made of, and what it tells of a run. */
import type { TargetModel } from "./sharedTarget.js";

/** Requests of one kind. */
export interface TrafficClass {
    readonly name: string;
    readonly service: string;
    /** Arrivals a second at each data centre. */
    readonly arrivalsPerSecond: number;
    /** Usual work on an object that a target does not remember, in milliseconds. */
    readonly workMs: number;
    readonly objectiveMs: number;
    readonly timeoutMs: number;
    readonly deadlineMs: number;
    readonly priority: number;
    readonly isIdempotent: boolean;
    /** Objects that the callers of a region ask for. */
    readonly objectCount: number;
}

export interface SimulatedService {
    readonly name: string;
    /** Targets in each data centre at the start. */
    readonly targetCounts: Readonly<Record<string, number>>;
    readonly targetModel: TargetModel;
}

export interface SteeringSimulationOptions {
    readonly seed: number;
    /** Data centres `REGION-LETTER` and the entries in each. */
    readonly entryCounts: Readonly<Record<string, number>>;
    readonly services: readonly SimulatedService[];
    readonly classes: readonly TrafficClass[];
}

/** What callers of a class got. */
export interface ClassOutcome {
    requests: number;
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
    sentToFullTargets: number;
    /** Mean number of requests that waited in a target, and that ran there. */
    meanQueued: number;
    meanRunning: number;
}
