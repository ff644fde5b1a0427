/** Entries that share targets must not fill them twice when their work takes longer than reports are remembered. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { scaleDurations, trailsSimulation } from "../loadPatterns.js";
import { createSteeringSimulation, type SteeringSimulation } from "../steeringSimulation.js";

/** Requests a second and data centre on Karoo's busiest standard day. */
const busiestPerSecond = 49.6;
/** Share of the worth owed that the users ask for each class on that day. */
const classFloor = 0.19;
const spanMs = 20_000;
/** A third of the work, a third of the time: nothing else differs. */
const shortWork = 1 / 3;
/** What waits in targets may differ by this factor, since distances between data centres stay as they are. */
const mostMoreWaiting = 1.5;

/** Trails with ten of their fourteen targets. */
function runWithLostTargets(seed: number, factor: number): SteeringSimulation {
    const world = createSteeringSimulation(scaleDurations(trailsSimulation(seed, busiestPerSecond), factor));
    for (const dataCentre of ["jhb-a", "jhb-b", "dbn-a", "dbn-b"]) {
        world.crashTargets("trails", dataCentre, 1);
    }
    world.run(factor * spanMs);
    return world;
}

test("trail-status earns its floor with ten of fourteen targets under the highest load", () => {
    for (const seed of [1, 2]) {
        const earned = runWithLostTargets(seed, 1).earnedValueRatio("trail-status");
        assert.ok(earned >= classFloor, `seed ${seed}: ${earned.toFixed(3)}`);
    }
});

test("long work waits in targets no more than short work under the same load", () => {
    const short = runWithLostTargets(1, shortWork).serviceOutcome("trails").meanQueued;
    const long = runWithLostTargets(1, 1).serviceOutcome("trails").meanQueued;
    assert.ok(long <= mostMoreWaiting * short, `${long.toFixed(1)} and ${short.toFixed(1)} requests`);
});
