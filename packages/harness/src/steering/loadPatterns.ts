/** Load patterns at the users' sizes, for the world of several entries. */
import type { TargetModel } from "./sharedTarget.js";
import type { SimulatedService, SteeringSimulationOptions, TrafficClass } from "./simulationOptions.js";

const traits: TargetModel = {
    slots: 4,
    maxQueued: 12,
    maxCachedObjects: 43,
    cachedWorkRatio: 0.3,
    interference: { fraction: 0.15, factor: 2.5, intervalMs: 600 },
};

const tokens: SimulatedService = {
    name: "tokens",
    targetCounts: { "cpt-a": 1, "cpt-b": 1, "jhb-a": 2, "jhb-b": 2, "dbn-a": 3, "dbn-b": 3 },
    targetModel: { ...traits, maxCachedObjects: 51 },
};
const trails: SimulatedService = {
    name: "trails",
    targetCounts: { "cpt-a": 1, "cpt-b": 1, "jhb-a": 3, "jhb-b": 3, "dbn-a": 3, "dbn-b": 3 },
    targetModel: traits,
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
const classesPerSecond = classes.reduce((sum, kind) => sum + kind.arrivalsPerSecond, 0);

/** Karoo at this many requests a second and data centre. */
export function karooSimulation(seed: number, perSecond: number): SteeringSimulationOptions {
    const factor = perSecond / classesPerSecond;
    return {
        seed,
        entryCounts: { "cpt-a": 2, "cpt-b": 1, "jhb-a": 2, "jhb-b": 1, "dbn-a": 1, "dbn-b": 1 },
        services: [tokens, trails],
        classes: classes.map(kind => ({ ...kind, arrivalsPerSecond: factor * kind.arrivalsPerSecond })),
    };
}

/** Karoo's trails alone. */
export function trailsSimulation(seed: number, perSecond: number): SteeringSimulationOptions {
    const world = karooSimulation(seed, perSecond);
    return { ...world, services: [trails], classes: world.classes.filter(kind => kind.service === "trails") };
}

/** The same world with all work, objectives and pauses between arrivals this many times as long. */
export function scaleDurations(world: SteeringSimulationOptions, factor: number): SteeringSimulationOptions {
    const noiseOf = (service: SimulatedService): TargetModel => ({
        ...service.targetModel,
        interference: { ...service.targetModel.interference, intervalMs: factor * service.targetModel.interference.intervalMs },
    });
    return {
        ...world,
        services: world.services.map(service => ({ ...service, targetModel: noiseOf(service) })),
        classes: world.classes.map(kind => ({
            ...kind,
            arrivalsPerSecond: kind.arrivalsPerSecond / factor,
            workMs: factor * kind.workMs,
            objectiveMs: factor * kind.objectiveMs,
            timeoutMs: factor * kind.timeoutMs,
            deadlineMs: factor * kind.deadlineMs,
        })),
    };
}
