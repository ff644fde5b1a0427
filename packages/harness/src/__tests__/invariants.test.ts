import { toInstanceId, toTargetId } from "@pimentospring/core/ids";
import { defaultPolicy } from "@pimentospring/core/policy/policy";
import assert from "node:assert/strict";
import { test } from "node:test";
import { karoo } from "../deployments.js";
import {
    atMostOnce,
    drainedTargetsRest,
    type Invariant,
    neverReverts,
    notRunIsTrue,
    ownAnswers,
    poisonIsContained,
    slotsNeverExceeded,
} from "../invariants.js";
import { createRunLog, type LogRow } from "../runLog.js";
import { runScenario } from "../scenario.js";

const target = toTargetId("tokens-1");
const entry = toInstanceId("10.0.0.1:7000/1");
const started = (at: number, work: string, inFlight = 1): LogRow => ({
    kind: "workStarted",
    at,
    work,
    isAtMostOnce: true,
    target,
    entry,
    inFlight,
    slots: 4,
});
const told = (work: string, outcome: "ran" | "notRun", answerOf?: string): LogRow => ({
    kind: "callerTold",
    at: 9,
    work,
    code: 0,
    outcome,
    answerOf,
    callerTries: 1,
    latencyMs: 1,
});

/** For each checker a log that breaks its promise. */
const broken: readonly (readonly [string, Invariant, readonly LogRow[]])[] = [
    ["slots", slotsNeverExceeded, [started(1, "a", 5)]],
    ["at most once", atMostOnce, [started(1, "a"), started(2, "a")]],
    ["not run", notRunIsTrue, [started(1, "a"), told("a", "notRun")]],
    ["own answer", ownAnswers, [told("a", "ran", "b")]],
    ["never reverts", neverReverts, [
        { kind: "inForce", at: 1, entry, revision: 2 },
        { kind: "inForce", at: 2, entry, revision: 1 },
    ]],
    ["drain", drainedTargetsRest, [{ kind: "drainOrdered", at: 0, target }, started(3_001, "a")]],
    ["poison", poisonIsContained, [1, 2, 3].map(at => ({ kind: "targetDied" as const, at, target, work: "p" }))],
];

for (const [promise, invariant, rows] of broken) {
    test(`the checker of "${promise}" finds a broken log and passes one cut before the break`, () => {
        const log = createRunLog();
        rows.slice(0, -1).forEach(log.write);
        assert.deepEqual(invariant(log), []);
        log.write(rows.at(-1)!);
        assert.equal(invariant(log).length, 1);
    });
}

test("a policy that lets every entry fill all slots is found out", () => {
    const policy = { ...defaultPolicy, overrideAllowance: (_safe: number, slots: number) => slots };
    const result = runScenario({ deployment: karoo(), seed: 1, load: 0.9, durationMs: 2_000, quietMs: 4_000, policy });
    assert.notEqual(slotsNeverExceeded(result.world.log).length, 0);
    const ours = runScenario({ deployment: karoo(), seed: 1, load: 0.9, durationMs: 2_000, quietMs: 4_000 });
    assert.deepEqual(slotsNeverExceeded(ours.world.log), []);
});
