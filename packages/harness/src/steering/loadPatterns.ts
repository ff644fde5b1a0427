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
