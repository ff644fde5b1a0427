import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { karoo } from "../deployments.js";
import { type Fault, toScheduledAction } from "../faults.js";
import { findViolations } from "../invariants.js";
import { runScenario } from "../scenario.js";

const at = fc.integer({ min: 0, max: 8_000 });
const lasts = fc.integer({ min: 200, max: 6_000 });
const number = fc.nat({ max: 20 });

const fault: fc.Arbitrary<Fault> = fc.oneof(
    fc.record({ kind: fc.constant("kill" as const), at, entry: number, restartAfter: fc.integer({ min: 0, max: 5_000 }) }),
    fc.record({ kind: fc.constant("freeze" as const), at, entry: number, lasts }),
    fc.record({ kind: fc.constant("cutPair" as const), at, entry: number, other: number, lasts }),
    fc.record({ kind: fc.constant("cutRegion" as const), at, region: number, lasts }),
    fc.record({ kind: fc.constant("storeOutage" as const), at, lasts }),
    fc.record({ kind: fc.constant("drain" as const), at, target: number }),
    fc.record({ kind: fc.constant("slow" as const), at, target: number, factor: fc.constantFrom(3, 10), lasts }),
    fc.record({ kind: fc.constant("targetDies" as const), at, target: number }),
    fc.record({ kind: fc.constant("poison" as const), at, caller: number }),
    fc.record({ kind: fc.constant("leave" as const), at, entry: number }),
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

/** Schedules that once broke a promise. */
const found: Readonly<Record<string, { readonly seed: number; readonly faults: readonly Fault[]; }>> = {
    "an entry that wakes from a pause sends to a target drained meanwhile": {
        seed: 0,
        faults: [
            { kind: "drain", at: 0, target: 1 },
            { kind: "freeze", at: 0, entry: 11, lasts: 3_000 },
            { kind: "leave", at: 0, entry: 0 },
        ],
    },
    "a store that dies a moment after it took a drain": {
        seed: 0,
        faults: [
            { kind: "storeOutage", at: 3_554, lasts: 2_747 },
            { kind: "drain", at: 3_301, target: 1 },
            { kind: "drain", at: 0, target: 0 },
        ],
    },
};

for (const [name, { seed, faults }] of Object.entries(found)) {
    test(`kept schedule: ${name}`, () => {
        assert.deepEqual(violationsOf(seed, faults, 0.05), []);
    });
}

test("no schedule of faults breaks a promise", () => {
    fc.assert(
        fc.property(fc.nat({ max: 1000 }), fc.array(fault, { minLength: 1, maxLength: 6 }), (seed, faults) => {
            assert.deepEqual(violationsOf(seed, faults, 0.05), []);
        }),
        { seed: 20261204, numRuns: Number(process.env["PIMENTO_SCHEDULES"] ?? 12), endOnFailure: false },
    );
});
