/**
 * Guards against a fleet that stays cold: with hundreds of entries, each of them sees too few requests to know alone what the
 * targets have cached, and each data centre makes its own copy of every object.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { fleetSimulation } from "../loadPatterns.js";
import { createSteeringSimulation } from "../steeringSimulation.js";

/** Requests per second in each data centre on a quiet day. */
const quietPerSecond = 118;
const warmUpMs = 4_000;
const loadDurationMs = 8_000;
/** Fraction of the requests that are to meet their objective once the warm-up is over. */
const minInTimeRatio = 0.7;

test("four seconds after a start of all targets, most requests of a quiet day meet their objective", () => {
    for (const seed of [1, 2]) {
        const options = fleetSimulation(seed, quietPerSecond, ["jhb"]);
        const simulation = createSteeringSimulation({ ...options, countedFromMs: warmUpMs });
        simulation.run(loadDurationMs);
        const outcomes = options.classes.map(({ name }) => simulation.classOutcome(name));
        const requests = outcomes.reduce((sum, outcome) => sum + outcome.requests, 0);
        const inTime = outcomes.reduce((sum, outcome) => sum + outcome.inTime, 0);
        assert.ok(inTime / requests >= minInTimeRatio, `seed ${seed}: ${(inTime / requests).toFixed(3)}`);
    }
});
