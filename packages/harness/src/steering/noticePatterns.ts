/**
 * Load patterns in which the targets of tokens ask for pauses, by turns or all at once, or leave for a release before the
 * store says so; each at three sizes.
 */
import type { LoadPattern } from "./experiment.js";
import { fleetSimulation, grownSimulation, karooSimulation } from "./loadPatterns.js";
import type { SteeringSimulation } from "./steeringSimulation.js";

interface Disturbance {
    readonly description: string;
    readonly start: (simulation: SteeringSimulation) => void;
}

type Size = Pick<LoadPattern, "perSecond" | "durationMs" | "createOptions">;

const service = "tokens";
const warmUpMs = 5_000;
/** A part of the service's targets is disturbed at a time. */
const turnCount = 12;
const pauseTurnIntervalMs = 500;
const minPauseMs = 500;
const pauseStepMs = 500;
const pauseStepCount = 6;
const sharedPauseMs = 3_000;
const releaseTurnIntervalMs = 2_000;
const storeDelayMs = 4_000;
const successorDelayMs = 5_000;

/** Indices of the targets whose turn it is. */
const indicesOfTurn = (simulation: SteeringSimulation, turn: number): number[] =>
    Array.from({ length: simulation.targetCount(service) }, (_, index) => index)
        .filter(index => index % turnCount === turn % turnCount);

const disturbances: Readonly<Record<string, Disturbance>> = {
    turns: {
        description: "targets of tokens close for 0.5 to 3 s by turns",
        start: simulation => {
            let turn = 0;
            simulation.timer.subscribe(pauseTurnIntervalMs, () => {
                const durationMs = minPauseMs + (turn % pauseStepCount) * pauseStepMs;
                simulation.pauseTargets(service, indicesOfTurn(simulation, turn++), durationMs);
            });
        },
    },
    closed: {
        description: `all targets of tokens close for ${sharedPauseMs / 1_000} s at once`,
        start: simulation => {
            const count = simulation.targetCount(service);
            simulation.pauseTargets(service, Array.from({ length: count }, (_, index) => index), sharedPauseMs);
        },
    },
    release: {
        description: `a release of tokens under full load, whose store news come ${storeDelayMs / 1_000} s late`,
        start: simulation => {
            let turn = 0;
            simulation.timer.subscribe(releaseTurnIntervalMs, () => {
                for (const index of indicesOfTurn(simulation, turn++)) {
                    simulation.leaveTarget(service, index, storeDelayMs, successorDelayMs);
                }
            });
        },
    },
};

/** By number of entries. */
const sizes: Readonly<Record<string, Size>> = {
    8: { perSecond: 49.6, durationMs: 20_000, createOptions: karooSimulation },
    27: { perSecond: 105, durationMs: 20_000, createOptions: grownSimulation },
    189: { perSecond: 203, durationMs: 15_000, createOptions: fleetSimulation },
};

/** Named by disturbance and number of entries. */
export const noticePatterns: Readonly<Record<string, LoadPattern>> = Object.fromEntries(
    Object.entries(disturbances).flatMap(([name, { description, start }]) =>
        Object.entries(sizes).map(([entryCount, size]): [string, LoadPattern] => [`${name}-${entryCount}`, {
            ...size,
            description: `${description}; ${entryCount} entries`,
            createOptions: (seed, perSecond) => ({ ...size.createOptions(seed, perSecond), countedFromMs: warmUpMs }),
            prepare: simulation => simulation.timer.after(warmUpMs, () => start(simulation)),
        }])
    ),
);
