/**
 * Guards against callers of a region with few targets who are served worse than others: what leaves their region changes
 * slowly, so that it has to begin near what the known slots allow.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { fleetSimulation } from "../loadPatterns.js";
import { createSteeringSimulation, type SteeringSimulation } from "../steeringSimulation.js";

/** Requests per second in each data centre on a busy day. */
const busyPerSecond = 203;
const loadDurationMs = 7_000;
/** By how much the fraction in time may be lower than in the region with the most targets. */
const maxDifference = 0.1;

const inTimeRatio = (simulation: SteeringSimulation, region: string): number => {
    const { requests, inTime } = simulation.regionOutcome(region);
    return inTime / requests;
};

test("from the first request, callers of the region with the fewest targets are served about as well as others", () => {
    const simulation = createSteeringSimulation(fleetSimulation(1, busyPerSecond, ["cpt", "dbn"]));
    simulation.run(loadDurationMs);
    const [scarce, rich] = [inTimeRatio(simulation, "cpt"), inTimeRatio(simulation, "dbn")];
    assert.ok(scarce >= rich - maxDifference, `${scarce.toFixed(3)} and ${rich.toFixed(3)}`);
});
