/**
 * Targets that turn requests away for some time, by turns or all at once, and a release whose targets leave before the
 * store says so, under the load of a busy day.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { karooSimulation } from "../loadPatterns.js";
import type { ServiceOutcome } from "../simulationOptions.js";
import { createSteeringSimulation, type SteeringSimulation } from "../steeringSimulation.js";

const busyPerSecond = 10;
const warmUpMs = 5_000;
const disturbedMs = 10_000;
/** The classes of the service whose targets are disturbed. */
const classNames = ["token-check", "token-redeem"];
const seeds = Array.from({ length: 18 }, (_, index) => index + 1);

interface Outcome {
    /** Value earned of what was owed, mean of the classes. */
    readonly served: number;
    readonly tokens: ServiceOutcome;
}

function play(seed: number, areNoticesRead: boolean, disturb: (simulation: SteeringSimulation) => void): Outcome {
    const simulation = createSteeringSimulation({
        ...karooSimulation(seed, busyPerSecond),
        areNoticesRead,
        countedFromMs: warmUpMs,
    });
    simulation.timer.after(warmUpMs, () => disturb(simulation));
    simulation.run(warmUpMs + disturbedMs);
    const served = classNames.reduce((sum, name) => sum + simulation.earnedValueRatio(name), 0) / classNames.length;
    return { served, tokens: simulation.serviceOutcome("tokens") };
}

const meanServed = (outcomes: readonly Outcome[]): number =>
    outcomes.reduce((sum, { served }) => sum + served, 0) / outcomes.length;

const byTurns = (simulation: SteeringSimulation): void => {
    let next = 0;
    simulation.timer.subscribe(500, () => simulation.pauseTargets("tokens", [next++, next++], 500 + (next % 6) * 500));
};
const allAtOnce = (simulation: SteeringSimulation): void =>
    simulation.pauseTargets("tokens", Array.from({ length: 12 }, (_, index) => index), 3_000);
const release = (simulation: SteeringSimulation): void => {
    let next = 0;
    simulation.timer.subscribe(1_500, () => simulation.leaveTarget("tokens", next++, 4_000));
};

for (const [name, disturb] of [["by turns", byTurns], ["all at once", allAtOnce]] as const) {
    test(`targets that ask for pauses ${name} get nothing in them, and more is served than without heeding them`, () => {
        const heeded = seeds.map(seed => play(seed, true, disturb));
        const ignored = seeds.map(seed => play(seed, false, disturb));
        assert.deepEqual(heeded.map(({ tokens }) => tokens.sentToPausedTargets), seeds.map(() => 0));
        assert.ok(ignored.every(({ tokens }) => tokens.sentToPausedTargets > 0));
        const [withNotices, without] = [heeded, ignored].map(meanServed) as [number, number];
        assert.ok(withNotices > without, `${withNotices.toFixed(3)}, ignored ${without.toFixed(3)}`);
    });
}

test("targets of a release get nothing after they have said that they leave, though the store says so four seconds later", () => {
    for (const seed of [1, 2]) {
        assert.equal(play(seed, true, release).tokens.sentToLeavingTargets, 0);
        assert.ok(play(seed, false, release).tokens.sentToLeavingTargets > 0);
    }
});
