/** Options and results of the steering simulation. */
import type { TargetModel } from "./sharedTarget.js";

/** One class of requests in the simulated load. */
export interface TrafficClass {
    readonly name: string;
    readonly service: string;
    /** Arrivals per second at each data centre. */
    readonly arrivalsPerSecond: number;
    /** Mean service time for an object that is not in the target's cache, stragglers aside. */
    readonly workMs: number;
    readonly objectiveMs: number;
    readonly timeoutMs: number;
    readonly deadlineMs: number;
    readonly priority: number;
    readonly isIdempotent: boolean;
    /** Number of distinct objects requested by the callers of a region. */
    readonly objectCount: number;
    /** Exponent with which an object's share of the requests falls with its rank; 0, the default, makes all equal. */
    readonly skew?: number;
    /** Whether callers ask for a region's objects one after the other, so that chance does not decide how often each is asked for. */
    readonly areObjectsCyclic?: boolean;
    /** Share of the requests that ask for one object, whichever region they come from. */
    readonly popularFraction?: number;
}

export interface SimulatedService {
    readonly name: string;
    /** Number of targets in each data centre at the start. */
    readonly targetCounts: Readonly<Record<string, number>>;
    readonly targetModel: TargetModel;
}

export interface SteeringSimulationOptions {
    readonly seed: number;
    /** Number of entries in each data centre; data centres are named `REGION-LETTER`. */
    readonly entryCounts: Readonly<Record<string, number>>;
    readonly services: readonly SimulatedService[];
    readonly classes: readonly TrafficClass[];
    /** Whether entries read what targets say of their own availability; by default they do. */
    readonly areNoticesRead?: boolean;
    /** Outcomes are counted for requests sent from this time on; by default for all. */
    readonly countedFromMs?: number;
    /** Changes the arrival rates over time; by default they are constant. */
    readonly waves?: Waves;
}

/** Demand that swings around its mean, in each region at another time. */
export interface Waves {
    readonly periodMs: number;
    /** Largest deviation, as a fraction of the mean. */
    readonly swing: number;
    /** Part of a period by which each region follows the one before it. */
    readonly phaseStep: number;
}

/** Results of one traffic class as seen by callers. */
export interface ClassOutcome {
    requests: number;
    inTime: number;
    late: number;
    /** Requests whose last attempt was refused without having run. */
    refused: number;
    failed: number;
}

/** Load on the targets of a service. */
export interface ServiceOutcome {
    sent: number;
    /** Requests that arrived at a target whose slots were all taken. */
    sentToFullTargets: number;
    /** Requests that arrived at a paused target over half a second after it had turned their entry away. */
    sentToPausedTargets: number;
    /** Requests that arrived at a leaving target longer than the drain time after it had told their entry. */
    sentToLeavingTargets: number;
    /** Mean number of requests that were queued, and that were running, in all targets of the service. */
    meanQueued: number;
    meanRunning: number;
    /** Runs that a target started, and how many of them on an object that it had cached. */
    runs: number;
    warmRuns: number;
    /** Busiest target's arrivals as a multiple of the mean over the service's targets. */
    hottestTargetRatio: number;
}
