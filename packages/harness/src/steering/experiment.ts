/** Plays a named load pattern with several seeds and sums the outcomes, so that two versions of the code can be compared. */
import { fleetSimulation, karooSimulation } from "./loadPatterns.js";
import { regionOf } from "./network.js";
import { noticePatterns } from "./noticePatterns.js";
import type { ClassOutcome, ServiceOutcome, SteeringSimulationOptions } from "./simulationOptions.js";
import { createSteeringSimulation, type SteeringSimulation } from "./steeringSimulation.js";
import { warmObjectPatterns } from "./warmObjectPatterns.js";

export interface LoadPattern {
    readonly description: string;
    /** Requests per second in each data centre, unless the caller chooses another rate. */
    readonly perSecond: number;
    readonly durationMs: number;
    readonly createOptions: (seed: number, perSecond: number) => SteeringSimulationOptions;
    /** Schedules what happens besides the load. */
    readonly prepare?: (simulation: SteeringSimulation) => void;
}

const shedding = { fromMs: 6_000, fraction: 0.55 } as const;

export const loadPatterns: Readonly<Record<string, LoadPattern>> = {
    quiet: {
        description: "hundreds of entries, all targets cold at first, a quiet day",
        perSecond: 118,
        durationMs: 12_000,
        createOptions: (seed, perSecond) => fleetSimulation(seed, perSecond, ["jhb"]),
    },
    scarce: {
        description: "a region with a fifth of the other's targets, a busy day",
        perSecond: 203,
        durationMs: 10_000,
        createOptions: (seed, perSecond) => fleetSimulation(seed, perSecond, ["cpt", "dbn"]),
    },
    overload: {
        description: "one region alone, with more load than slots",
        perSecond: 200,
        durationMs: 10_000,
        createOptions: (seed, perSecond) => fleetSimulation(seed, perSecond, ["cpt"]),
    },
    shedding: {
        description: `from second ${
            shedding.fromMs / 1_000
        } on, all targets of tokens refuse ${shedding.fraction} of the requests`,
        perSecond: 203,
        durationMs: 12_000,
        createOptions: (seed, perSecond) => ({ ...fleetSimulation(seed, perSecond, ["jhb"]), countedFromMs: shedding.fromMs }),
        prepare: simulation =>
            simulation.timer.after(shedding.fromMs, () => simulation.setShedFraction("tokens", shedding.fraction)),
    },
    small: {
        description: "eight entries, 26 targets, the busiest day",
        perSecond: 49.6,
        durationMs: 20_000,
        createOptions: karooSimulation,
    },
    ...noticePatterns,
    ...warmObjectPatterns,
};

/** Arrivals and runs at the targets of a service; the ratio is the largest of all seeds. */
export type ServiceArrivals = Pick<
    ServiceOutcome,
    "sent" | "sentToPausedTargets" | "sentToLeavingTargets" | "runs" | "warmRuns" | "hottestTargetRatio"
>;

export interface ExperimentResult {
    readonly pattern: string;
    readonly perSecond: number;
    readonly seeds: readonly number[];
    /** Sums over all seeds, by class. */
    readonly classes: Readonly<Record<string, ClassOutcome>>;
    /** Sums over all seeds, by service. */
    readonly services: Readonly<Record<string, ServiceArrivals>>;
    /** Sums over all seeds, by region of the callers. */
    readonly regions: Readonly<Record<string, ClassOutcome>>;
    /** Sums over all seeds, by second of the first sending. */
    readonly seconds: readonly ClassOutcome[];
}

export interface ExperimentOptions {
    readonly pattern: string;
    readonly seeds: readonly number[];
    /** The pattern's own rate if `undefined`. */
    readonly perSecond: number | undefined;
    /** The pattern's own if `undefined`. */
    readonly durationMs?: number | undefined;
    /** Whether entries read what targets say of their own availability; by default they do. */
    readonly areNoticesRead?: boolean | undefined;
    /** Called before each seed. */
    readonly onProgress: (seed: number) => void;
}

/** Throws if the pattern is unknown. */
export function runExperiment(options: ExperimentOptions): ExperimentResult {
    const pattern = loadPatterns[options.pattern];
    if (pattern === undefined) {
        throw new Error(`unknown load pattern "${options.pattern}"; expected one of ${Object.keys(loadPatterns).join(", ")}`);
    }
    const perSecond = options.perSecond ?? pattern.perSecond;
    const classes: Record<string, ClassOutcome> = {};
    const services: Record<string, ServiceArrivals> = {};
    const regions: Record<string, ClassOutcome> = {};
    const seconds: ClassOutcome[] = [];
    for (const seed of options.seeds) {
        options.onProgress(seed);
        const simulationOptions = pattern.createOptions(seed, perSecond);
        const simulation = createSteeringSimulation({
            ...simulationOptions,
            areNoticesRead: options.areNoticesRead ?? true,
        });
        pattern.prepare?.(simulation);
        simulation.run(options.durationMs ?? pattern.durationMs);
        for (const { name } of simulationOptions.classes) {
            classes[name] = addOutcomes(classes[name], simulation.classOutcome(name));
        }
        for (const { name } of simulationOptions.services) {
            services[name] = addArrivals(services[name], simulation.serviceOutcome(name));
        }
        for (const region of new Set(Object.keys(simulationOptions.entryCounts).map(regionOf))) {
            regions[region] = addOutcomes(regions[region], simulation.regionOutcome(region));
        }
        simulation.secondOutcomes().forEach((outcome, second) => {
            seconds[second] = addOutcomes(seconds[second], outcome);
        });
    }
    return { pattern: options.pattern, perSecond, seeds: options.seeds, classes, services, regions, seconds };
}

function addOutcomes(sum: ClassOutcome | undefined, outcome: ClassOutcome): ClassOutcome {
    return {
        requests: (sum?.requests ?? 0) + outcome.requests,
        inTime: (sum?.inTime ?? 0) + outcome.inTime,
        late: (sum?.late ?? 0) + outcome.late,
        refused: (sum?.refused ?? 0) + outcome.refused,
        failed: (sum?.failed ?? 0) + outcome.failed,
    };
}

function addArrivals(sum: ServiceArrivals | undefined, arrivals: ServiceArrivals): ServiceArrivals {
    return {
        sent: (sum?.sent ?? 0) + arrivals.sent,
        sentToPausedTargets: (sum?.sentToPausedTargets ?? 0) + arrivals.sentToPausedTargets,
        sentToLeavingTargets: (sum?.sentToLeavingTargets ?? 0) + arrivals.sentToLeavingTargets,
        runs: (sum?.runs ?? 0) + arrivals.runs,
        warmRuns: (sum?.warmRuns ?? 0) + arrivals.warmRuns,
        hottestTargetRatio: Math.max(sum?.hottestTargetRatio ?? 0, arrivals.hottestTargetRatio),
    };
}
