/** The experiment tool: same seeds, same result; every request ends in exactly one way. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { runExperiment } from "../experiment.js";
import { valueRatio } from "../valueRatio.js";

test("an experiment depends on nothing but its pattern, rate and seeds, and accounts for every request", () => {
    const seen: number[] = [];
    const options = { pattern: "small", seeds: [3, 4], perSecond: 20, onProgress: (seed: number) => seen.push(seed) };
    const result = runExperiment(options);
    assert.deepEqual(runExperiment(options), result);
    assert.deepEqual(seen, [3, 4, 3, 4]);
    for (const outcome of Object.values(result.classes)) {
        assert.equal(outcome.inTime + outcome.late + outcome.refused + outcome.failed, outcome.requests);
        assert.ok(valueRatio(outcome) > 0 && valueRatio(outcome) <= 1);
    }
});

test("an unknown load pattern is refused by name", () => {
    assert.throws(
        () => runExperiment({ pattern: "none", seeds: [1], perSecond: undefined, onProgress: () => {} }),
        /expected one of quiet/,
    );
});
