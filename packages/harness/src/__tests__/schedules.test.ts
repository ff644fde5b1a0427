import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { karoo } from "../deployments.js";
import { type Fault, toScheduledAction } from "../faults.js";
import { findViolations } from "../invariants.js";
import { runScenario } from "../scenario.js";

const at = fc.integer({ min: 0, max: 8_000 });
const lasts = fc.integer({ min: 200, max: 6_000 });
const index = fc.nat({ max: 20 });

const fault: fc.Arbitrary<Fault> = fc.oneof(
    fc.record({ kind: fc.constant("kill" as const), at, entry: index, restartAfter: fc.integer({ min: 0, max: 5_000 }) }),
    fc.record({ kind: fc.constant("freeze" as const), at, entry: index, lasts }),
    fc.record({ kind: fc.constant("cutPair" as const), at, entry: index, other: index, lasts }),
    fc.record({ kind: fc.constant("cutRegion" as const), at, region: index, lasts }),
    fc.record({ kind: fc.constant("storeOutage" as const), at, lasts }),
    fc.record({ kind: fc.constant("drain" as const), at, target: index }),
    fc.record({ kind: fc.constant("slow" as const), at, target: index, factor: fc.constantFrom(3, 10), lasts }),
    fc.record({ kind: fc.constant("targetDies" as const), at, target: index }),
    fc.record({ kind: fc.constant("poison" as const), at, caller: index }),
    fc.record({ kind: fc.constant("leave" as const), at, entry: index }),
);

function violationsOf(seed: number, faults: readonly Fault[], load: number) {
    const result = runScenario({
        deployment: karoo(),
        seed,
        loadRatio: load,
        durationMs: 9_000,
        cooldownMs: 12_000,
        scheduledActions: faults.map(toScheduledAction),
    });
    return findViolations(result.simulation.log);
}

/** Schedules that once violated an invariant. */
const regressionSchedules: Readonly<Record<string, { readonly seed: number; readonly faults: readonly Fault[]; }>> = {
    "an entry resumes after a pause and sends to a target that was drained meanwhile": {
        seed: 0,
        faults: [
            { kind: "drain", at: 0, target: 1 },
            { kind: "freeze", at: 0, entry: 11, lasts: 3_000 },
            { kind: "leave", at: 0, entry: 0 },
        ],
    },
    "the store fails just after it accepted a drain": {
        seed: 0,
        faults: [
            { kind: "storeOutage", at: 3_554, lasts: 2_747 },
            { kind: "drain", at: 3_301, target: 1 },
            { kind: "drain", at: 0, target: 0 },
        ],
    },
};

for (const [name, { seed, faults }] of Object.entries(regressionSchedules)) {
    test(`regression schedule: ${name}`, () => {
        assert.deepEqual(violationsOf(seed, faults, 0.05), []);
    });
}

test("no fault schedule violates an invariant", () => {
    fc.assert(
        fc.property(fc.nat({ max: 1000 }), fc.array(fault, { minLength: 1, maxLength: 6 }), (seed, faults) => {
            assert.deepEqual(violationsOf(seed, faults, 0.05), []);
        }),
        { seed: 20261204, numRuns: Number(process.env["PIMENTO_SCHEDULES"] ?? 12), endOnFailure: false },
    );
});
