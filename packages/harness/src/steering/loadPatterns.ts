/** Load patterns for the steering simulation, at the size of the users' deployments. */
import type { TargetModel } from "./sharedTarget.js";
import type { SimulatedService, SteeringSimulationOptions, TrafficClass } from "./simulationOptions.js";

const defaultTargetModel: TargetModel = {
    slots: 4,
    maxQueued: 12,
    maxCachedObjects: 43,
    cachedWorkRatio: 0.3,
    interference: { fraction: 0.15, factor: 2.5, intervalMs: 600 },
};

const tokens: SimulatedService = {
    name: "tokens",
    targetCounts: { "cpt-a": 1, "cpt-b": 1, "jhb-a": 2, "jhb-b": 2, "dbn-a": 3, "dbn-b": 3 },
    targetModel: { ...defaultTargetModel, maxCachedObjects: 51 },
};
const trails: SimulatedService = {
    name: "trails",
    targetCounts: { "cpt-a": 1, "cpt-b": 1, "jhb-a": 3, "jhb-b": 3, "dbn-a": 3, "dbn-b": 3 },
    targetModel: defaultTargetModel,
};

const idempotent = { priority: 2, isIdempotent: true };
const classes: readonly TrafficClass[] = [
    {
        ...idempotent,
        name: "token-check",
        service: "tokens",
        arrivalsPerSecond: 4.1,
        workMs: 310,
        objectiveMs: 300,
        timeoutMs: 1_200,
        deadlineMs: 2_000,
        objectCount: 25,
    },
    {
        name: "token-redeem",
        service: "tokens",
        arrivalsPerSecond: 1.7,
        workMs: 410,
        objectiveMs: 400,
        timeoutMs: 1_500,
        deadlineMs: 2_500,
        priority: 1,
        isIdempotent: false,
        objectCount: 24,
    },
    {
        ...idempotent,
        name: "trail-status",
        service: "trails",
        arrivalsPerSecond: 2,
        workMs: 750,
        objectiveMs: 600,
        timeoutMs: 2_500,
        deadlineMs: 4_000,
        objectCount: 24,
    },
    {
        ...idempotent,
        name: "trail-report",
        service: "trails",
        arrivalsPerSecond: 0.93,
        workMs: 1_200,
        objectiveMs: 1_000,
        timeoutMs: 4_000,
        deadlineMs: 8_000,
        objectCount: 24,
    },
];
const classesPerSecond = classes.reduce((sum, trafficClass) => sum + trafficClass.arrivalsPerSecond, 0);

/** Karoo's deployment with `perSecond` requests per second in each data centre. */
export function karooSimulation(seed: number, perSecond: number): SteeringSimulationOptions {
    const factor = perSecond / classesPerSecond;
    return {
        seed,
        entryCounts: { "cpt-a": 2, "cpt-b": 1, "jhb-a": 2, "jhb-b": 1, "dbn-a": 1, "dbn-b": 1 },
        services: [tokens, trails],
        classes: classes.map(trafficClass => ({ ...trafficClass, arrivalsPerSecond: factor * trafficClass.arrivalsPerSecond })),
    };
}

/** Karoo's trails service alone. */
export function trailsSimulation(seed: number, perSecond: number): SteeringSimulationOptions {
    const simulation = karooSimulation(seed, perSecond);
    return {
        ...simulation,
        services: [trails],
        classes: simulation.classes.filter(trafficClass => trafficClass.service === "trails"),
    };
}

const fleetRegions = ["cpt", "jhb", "dbn"];
const fleetDataCentreLetters = ["a", "b", "c"];
const fleetEntriesPerDataCentre = 21;

/** The same number in each data centre of a region. */
const countsByRegion = (regions: readonly string[], countOf: (region: string) => number): Readonly<Record<string, number>> =>
    Object.fromEntries(
        regions.flatMap(region => fleetDataCentreLetters.map(letter => [`${region}-${letter}`, countOf(region)])),
    );

const grownTokensTargets: Readonly<Record<string, number>> = { cpt: 2, jhb: 5, dbn: 6 };
const grownTrailsTargets: Readonly<Record<string, number>> = { cpt: 2, jhb: 6, dbn: 7 };
const grownEntriesPerDataCentre = 3;
/** Objects of the small deployment's classes, as a multiple. */
const grownObjectFactor = 3;

/** Karoo with 27 entries in nine data centres, and three times as many objects. */
export function grownSimulation(seed: number, perSecond: number): SteeringSimulationOptions {
    const simulation = karooSimulation(seed, perSecond);
    return {
        ...simulation,
        entryCounts: countsByRegion(fleetRegions, () => grownEntriesPerDataCentre),
        services: [
            { ...tokens, targetCounts: countsByRegion(fleetRegions, region => grownTokensTargets[region]!) },
            { ...trails, targetCounts: countsByRegion(fleetRegions, region => grownTrailsTargets[region]!) },
        ],
        classes: simulation.classes.map(trafficClass => ({
            ...trafficClass,
            objectCount: grownObjectFactor * trafficClass.objectCount,
        })),
    };
}

/** Targets of a service in each data centre of a region. */
const fleetTokensTargets: Readonly<Record<string, number>> = { cpt: 11, jhb: 47, dbn: 56 };
const fleetTrailsTargets: Readonly<Record<string, number>> = { cpt: 16, jhb: 64, dbn: 77 };
/** Times of the small deployment's classes, as a multiple. */
const fleetWorkFactor = 2.75;
const fleetObjectCounts: Readonly<Record<string, number>> = {
    "token-check": 258,
    "token-redeem": 107,
    "trail-status": 125,
    "trail-report": 58,
};

/**
 * Karoo with hundreds of entries and targets: each entry sees a small part of the requests for each object and target, and
 * each target caches few objects. `perSecond` is the number of requests per second in each data centre; `regions` are
 * some of Karoo's.
 */
export function fleetSimulation(seed: number, perSecond: number, regions = fleetRegions): SteeringSimulationOptions {
    const factor = perSecond / classesPerSecond;
    const model: TargetModel = { ...defaultTargetModel, slots: 5, maxQueued: 15, cachedWorkRatio: 0.25 };
    return {
        seed,
        entryCounts: countsByRegion(regions, () => fleetEntriesPerDataCentre),
        services: [
            {
                name: "tokens",
                targetCounts: countsByRegion(regions, region => fleetTokensTargets[region]!),
                targetModel: { ...model, maxCachedObjects: 20 },
            },
            {
                name: "trails",
                targetCounts: countsByRegion(regions, region => fleetTrailsTargets[region]!),
                targetModel: { ...model, maxCachedObjects: 8 },
            },
        ],
        classes: classes.map(trafficClass => ({
            ...trafficClass,
            arrivalsPerSecond: factor * trafficClass.arrivalsPerSecond,
            workMs: fleetWorkFactor * trafficClass.workMs,
            objectiveMs: 2 * trafficClass.objectiveMs,
            timeoutMs: 2 * trafficClass.timeoutMs,
            deadlineMs: 2 * trafficClass.deadlineMs,
            objectCount: fleetObjectCounts[trafficClass.name]!,
        })),
    };
}

/** Multiplies all service times, objectives, timeouts, deadlines and gaps between arrivals by `factor`. */
export function scaleDurations(simulation: SteeringSimulationOptions, factor: number): SteeringSimulationOptions {
    const scaleInterference = (service: SimulatedService): TargetModel => ({
        ...service.targetModel,
        interference: { ...service.targetModel.interference, intervalMs: factor * service.targetModel.interference.intervalMs },
    });
    return {
        ...simulation,
        services: simulation.services.map(service => ({ ...service, targetModel: scaleInterference(service) })),
        classes: simulation.classes.map(trafficClass => ({
            ...trafficClass,
            arrivalsPerSecond: trafficClass.arrivalsPerSecond / factor,
            workMs: factor * trafficClass.workMs,
            objectiveMs: factor * trafficClass.objectiveMs,
            timeoutMs: factor * trafficClass.timeoutMs,
            deadlineMs: factor * trafficClass.deadlineMs,
        })),
    };
}
