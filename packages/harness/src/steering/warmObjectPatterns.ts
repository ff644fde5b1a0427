/**
 * Load patterns in which demand exceeds the slots unless most work is on objects that its target has cached. All start with
 * nothing cached and nothing known, at three sizes; the regions have unequal shares of the slots and equal shares of the
 * callers.
 */
import type { LoadPattern } from "./experiment.js";
import type { SimulatedService, SteeringSimulationOptions, TrafficClass, Waves } from "./simulationOptions.js";
import type { SteeringSimulation } from "./steeringSimulation.js";

/** A service and the class of requests that its callers send. */
interface ServiceLoad {
    readonly name: string;
    /** Targets in each of a region's two data centres. */
    readonly targetCounts: Readonly<Record<string, number>>;
    readonly workMs: number;
    readonly objectCount: number;
    readonly maxCachedObjects: number;
}

interface Deployment {
    readonly entryCounts: Readonly<Record<string, number>>;
    readonly services: readonly ServiceLoad[];
}

const slotsPerTarget = 3;
const maxQueuedPerTarget = 6;
/** Mean demand as a multiple of the slots, counted with work on objects that are not cached. */
const demandRatio = 1.2;
const objectiveWorkRatio = 0.8;
const deadlineObjectiveRatio = 5;
const skew = 0.35;
const popularFraction = 0.1;
/** Rate of the callers that ask for new objects only, as a fraction of the usual one. */
const newObjectRatio = 0.1;
const waves: Waves = { periodMs: 36_000, swing: 0.55, phaseStep: 1 / 3 };
const replacementIntervalMs = 500;
const storeDelayMs = 500;
const successorDelayMs = 1_000;
const durationMs = 18_000;

const dataCentreLetters = ["a", "b"];

const perDataCentre = (countByRegion: Readonly<Record<string, number>>): Readonly<Record<string, number>> =>
    Object.fromEntries(
        Object.entries(countByRegion).flatMap(([region, count]) =>
            dataCentreLetters.map(letter => [`${region}-${letter}`, count])
        ),
    );

/** By number of entries. */
const deployments: Readonly<Record<string, Deployment>> = {
    8: {
        entryCounts: { "cpt-a": 2, "cpt-b": 1, "jhb-a": 2, "jhb-b": 1, "dbn-a": 1, "dbn-b": 1 },
        services: [
            { name: "tokens", targetCounts: { cpt: 1, jhb: 4, dbn: 5 }, workMs: 250, objectCount: 50, maxCachedObjects: 13 },
            { name: "trails", targetCounts: { cpt: 1, jhb: 2, dbn: 3 }, workMs: 500, objectCount: 25, maxCachedObjects: 10 },
        ],
    },
    70: {
        entryCounts: { "cpt-a": 12, "cpt-b": 12, "jhb-a": 12, "jhb-b": 12, "dbn-a": 11, "dbn-b": 11 },
        services: [
            { name: "tokens", targetCounts: { cpt: 3, jhb: 12, dbn: 15 }, workMs: 250, objectCount: 170, maxCachedObjects: 13 },
            { name: "trails", targetCounts: { cpt: 2, jhb: 8, dbn: 10 }, workMs: 500, objectCount: 100, maxCachedObjects: 10 },
            { name: "reports", targetCounts: { cpt: 1, jhb: 4, dbn: 5 }, workMs: 400, objectCount: 25, maxCachedObjects: 17 },
        ],
    },
    195: {
        entryCounts: { "cpt-a": 33, "cpt-b": 33, "jhb-a": 33, "jhb-b": 32, "dbn-a": 32, "dbn-b": 32 },
        services: [
            { name: "tokens", targetCounts: { cpt: 8, jhb: 33, dbn: 41 }, workMs: 250, objectCount: 250, maxCachedObjects: 10 },
            { name: "trails", targetCounts: { cpt: 6, jhb: 22, dbn: 28 }, workMs: 500, objectCount: 100, maxCachedObjects: 10 },
            { name: "reports", targetCounts: { cpt: 3, jhb: 11, dbn: 14 }, workMs: 400, objectCount: 25, maxCachedObjects: 17 },
        ],
    },
};
/** Targets that keep more objects, of a service with more of them. */
const largeCache = { objectCount: 250, maxCachedObjects: 25 };

const regionCount = 3;

/** Requests per second of a service in each data centre at the mean demand. */
const servicePerSecond = ({ targetCounts, workMs }: ServiceLoad): number => {
    const targets = dataCentreLetters.length * Object.values(targetCounts).reduce((sum, count) => sum + count, 0);
    return (demandRatio * slotsPerTarget * targets) / (workMs / 1_000) / (regionCount * dataCentreLetters.length);
};
const totalPerSecond = ({ services }: Deployment): number =>
    services.reduce((sum, service) => sum + servicePerSecond(service), 0);

const createService = ({ name, targetCounts, maxCachedObjects }: ServiceLoad): SimulatedService => ({
    name,
    targetCounts: perDataCentre(targetCounts),
    targetModel: {
        slots: slotsPerTarget,
        maxQueued: maxQueuedPerTarget,
        maxCachedObjects,
        cachedWorkRatio: 0.3,
        interference: { fraction: 0.15, factor: 2.5, intervalMs: 600 },
    },
});

function createClass(service: ServiceLoad, demandFactor: number, popular: number): TrafficClass {
    const objectiveMs = objectiveWorkRatio * service.workMs;
    return {
        name: `${service.name}-read`,
        service: service.name,
        arrivalsPerSecond: demandFactor * servicePerSecond(service),
        workMs: service.workMs,
        objectiveMs,
        timeoutMs: deadlineObjectiveRatio * objectiveMs,
        deadlineMs: deadlineObjectiveRatio * objectiveMs,
        priority: 2,
        isIdempotent: true,
        objectCount: service.objectCount,
        skew,
        popularFraction: popular,
    };
}

function createOptions(deployment: Deployment, popular: number, seed: number, perSecond: number): SteeringSimulationOptions {
    const demandFactor = perSecond / totalPerSecond(deployment);
    return {
        seed,
        entryCounts: deployment.entryCounts,
        services: deployment.services.map(createService),
        classes: deployment.services.map(service => createClass(service, demandFactor, popular)),
        waves,
    };
}

const createPattern = (description: string, deployment: Deployment, popular = 0): LoadPattern => ({
    description,
    perSecond: totalPerSecond(deployment),
    durationMs,
    createOptions: (seed, perSecond) => createOptions(deployment, popular, seed, perSecond),
});

/** Adds callers that never ask for an object twice. */
function addNewObjects(simulation: SteeringSimulationOptions): SteeringSimulationOptions {
    const tokensClass = simulation.classes[0]!;
    const newObjects: TrafficClass = {
        ...tokensClass,
        name: "tokens-new",
        arrivalsPerSecond: newObjectRatio * tokensClass.arrivalsPerSecond,
        objectCount: 2 ** 31 - 1,
        skew: 0,
    };
    return { ...simulation, classes: [...simulation.classes, newObjects] };
}

/** Replaces the targets of each service one after the other by ones with nothing cached. */
function replaceTargets(simulation: SteeringSimulation): void {
    let turn = 0;
    simulation.timer.subscribe(replacementIntervalMs, () => {
        simulation.leaveTarget("tokens", turn, storeDelayMs, successorDelayMs);
        simulation.leaveTarget("trails", turn++, storeDelayMs, successorDelayMs);
    });
}

const [small, fleet, large] = [deployments[8]!, deployments[70]!, deployments[195]!];
const largeCacheFleet: Deployment = {
    ...fleet,
    services: fleet.services.map(service => service.name === "tokens" ? { ...service, ...largeCache } : service),
};

export const warmObjectPatterns: Readonly<Record<string, LoadPattern>> = {
    "warm-8": createPattern("more demand than slots unless objects are warm; 8 entries", small),
    "warm-70": createPattern("the same with 70 entries", fleet),
    "warm-195": createPattern("the same with 195 entries", large),
    "warm-70-large": createPattern("70 entries, targets of tokens that keep 25 objects", largeCacheFleet),
    "warm-70-popular": createPattern("70 entries, a popular object gets a tenth of the requests", fleet, popularFraction),
    "warm-70-new": {
        ...createPattern("70 entries, and callers that ask for new objects of tokens only", fleet),
        createOptions: (seed, perSecond) => addNewObjects(createOptions(fleet, 0, seed, perSecond)),
    },
    "warm-70-replaced": {
        ...createPattern("70 entries, targets are replaced one after the other", fleet),
        prepare: replaceTargets,
    },
};
