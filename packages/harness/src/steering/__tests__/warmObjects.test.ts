/**
 * Guards against instances that spread objects over more targets than can keep them: further copies evict other objects,
 * and work on cold objects exceeds the slots.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { runExperiment } from "../experiment.js";

/** Fraction of the runs that find their object cached, the cold start included. */
const minWarmRatio = 0.88;

test("eight entries keep objects warm that fill two thirds of the caches (load pattern warm-8)", () => {
    const { services } = runExperiment({ pattern: "warm-8", seeds: [1, 2], perSecond: undefined, onProgress: () => {} });
    const runs = Object.values(services).reduce((sum, service) => sum + service.runs, 0);
    const warmRuns = Object.values(services).reduce((sum, service) => sum + service.warmRuns, 0);
    assert.ok(warmRuns / runs >= minWarmRatio, (warmRuns / runs).toFixed(3));
});
