/**
 * Guards against overfilled targets: while requests take longer than load reports are kept, entries that share a target
 * may each fill the same slots.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { scaleDurations, trailsSimulation } from "../loadPatterns.js";
import { createSteeringSimulation, type SteeringSimulation } from "../steeringSimulation.js";

/** Requests per second in each data centre on Karoo's busiest standard day. */
const peakPerSecond = 49.6;
/** Value ratio that the users require for each class on that day. */
const minValueRatio = 0.19;
const loadDurationMs = 20_000;
/** Scales all durations to a third; the utilization stays the same. */
const shortWorkFactor = 1 / 3;
/** Tolerance for the mean queue length: the delays between data centres are not scaled with the work. */
const maxQueueRatio = 1.5;

/** Runs the trails service with ten of its fourteen targets. */
function runWithLostTargets(seed: number, factor: number): SteeringSimulation {
    const simulation = createSteeringSimulation(scaleDurations(trailsSimulation(seed, peakPerSecond), factor));
    for (const dataCentre of ["jhb-a", "jhb-b", "dbn-a", "dbn-b"]) {
        simulation.crashTargets("trails", dataCentre, 1);
    }
    simulation.run(factor * loadDurationMs);
    return simulation;
}

test("trail-status reaches its value ratio at peak load with ten of fourteen targets", () => {
    for (const seed of [1, 2]) {
        const valueRatio = runWithLostTargets(seed, 1).earnedValueRatio("trail-status");
        assert.ok(valueRatio >= minValueRatio, `seed ${seed}: ${valueRatio.toFixed(3)}`);
    }
});

test("the queues in targets are no longer with long work than with short work at the same utilization", () => {
    const short = runWithLostTargets(1, shortWorkFactor).serviceOutcome("trails").meanQueued;
    const long = runWithLostTargets(1, 1).serviceOutcome("trails").meanQueued;
    assert.ok(long <= maxQueueRatio * short, `${long.toFixed(1)} and ${short.toFixed(1)} requests`);
});
