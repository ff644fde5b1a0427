/** Load patterns at the users' sizes, for the world of several entries. */
import type { TargetTraits } from "./sharedTarget.js";
import type { WorldClass, WorldOptions, WorldService } from "./worldOptions.js";

const traits: TargetTraits = {
    slots: 4,
    queue: 12,
    remembers: 43,
    rememberedShare: 0.3,
    noise: { share: 0.15, factor: 2.5, everyMs: 600 },
};

const tokens: WorldService = {
    name: "tokens",
    targets: { "cpt-a": 1, "cpt-b": 1, "jhb-a": 2, "jhb-b": 2, "dbn-a": 3, "dbn-b": 3 },
    traits: { ...traits, remembers: 51 },
};
const trails: WorldService = {
    name: "trails",
    targets: { "cpt-a": 1, "cpt-b": 1, "jhb-a": 3, "jhb-b": 3, "dbn-a": 3, "dbn-b": 3 },
    traits,
};

const idempotent = { priority: 2, isIdempotent: true };
const classes: readonly WorldClass[] = [
    {
        ...idempotent,
        name: "token-check",
        service: "tokens",
        perSecond: 4.1,
        workMs: 310,
        objectiveMs: 300,
        timeoutMs: 1_200,
        deadlineMs: 2_000,
        objects: 25,
    },
    {
        name: "token-redeem",
        service: "tokens",
        perSecond: 1.7,
        workMs: 410,
        objectiveMs: 400,
        timeoutMs: 1_500,
        deadlineMs: 2_500,
        priority: 1,
        isIdempotent: false,
        objects: 24,
    },
    {
        ...idempotent,
        name: "trail-status",
        service: "trails",
        perSecond: 2,
        workMs: 750,
        objectiveMs: 600,
        timeoutMs: 2_500,
        deadlineMs: 4_000,
        objects: 24,
    },
    {
        ...idempotent,
        name: "trail-report",
        service: "trails",
        perSecond: 0.93,
        workMs: 1_200,
        objectiveMs: 1_000,
        timeoutMs: 4_000,
        deadlineMs: 8_000,
        objects: 24,
    },
];
const classesPerSecond = classes.reduce((sum, kind) => sum + kind.perSecond, 0);

/** Karoo at this many requests a second and data centre. */
export function karooWorld(seed: number, perSecond: number): WorldOptions {
    const factor = perSecond / classesPerSecond;
    return {
        seed,
        entries: { "cpt-a": 2, "cpt-b": 1, "jhb-a": 2, "jhb-b": 1, "dbn-a": 1, "dbn-b": 1 },
        services: [tokens, trails],
        classes: classes.map(kind => ({ ...kind, perSecond: factor * kind.perSecond })),
    };
}

/** Karoo's trails alone. */
export function trailsWorld(seed: number, perSecond: number): WorldOptions {
    const world = karooWorld(seed, perSecond);
    return { ...world, services: [trails], classes: world.classes.filter(kind => kind.service === "trails") };
}

/** The same world with all work, objectives and pauses between arrivals this many times as long. */
export function stretched(world: WorldOptions, factor: number): WorldOptions {
    const noiseOf = (service: WorldService): TargetTraits => ({
        ...service.traits,
        noise: { ...service.traits.noise, everyMs: factor * service.traits.noise.everyMs },
    });
    return {
        ...world,
        services: world.services.map(service => ({ ...service, traits: noiseOf(service) })),
        classes: world.classes.map(kind => ({
            ...kind,
            perSecond: kind.perSecond / factor,
            workMs: factor * kind.workMs,
            objectiveMs: factor * kind.objectiveMs,
            timeoutMs: factor * kind.timeoutMs,
            deadlineMs: factor * kind.deadlineMs,
        })),
    };
}
