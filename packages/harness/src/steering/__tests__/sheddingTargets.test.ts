/**
 * Guards against making a refusal worse: while all targets of a service refuse half of the requests at random, although
 * they have free slots, requests keep to the targets that have their object cached.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { fleetSimulation } from "../loadPatterns.js";
import { createSteeringSimulation } from "../steeringSimulation.js";

/** Requests per second in each data centre on a busy day. */
const busyPerSecond = 203;
const warmUpMs = 6_000;
const sheddingMs = 6_000;
const shedFraction = 0.55;
/** A request gets two tries without any retry of an entry: its first one, and the caller's retry. */
const minInTimeRatio = 1 - shedFraction ** 2;

test("while targets with free slots refuse half of the requests, as many are in time as two tries each allow", () => {
    const options = fleetSimulation(1, busyPerSecond, ["jhb"]);
    const simulation = createSteeringSimulation({ ...options, countedFromMs: warmUpMs });
    simulation.timer.after(warmUpMs, () => simulation.setShedFraction("tokens", shedFraction));
    simulation.run(warmUpMs + sheddingMs);
    for (const { name } of options.classes.filter(({ service }) => service === "tokens")) {
        const { requests, inTime } = simulation.classOutcome(name);
        assert.ok(inTime / requests >= minInTimeRatio, `${name}: ${(inTime / requests).toFixed(3)}`);
    }
});
