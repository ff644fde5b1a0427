import { toInstanceId, toTargetId } from "@pimentospring/core/ids";
import { defaultPolicy } from "@pimentospring/core/policy/policy";
import assert from "node:assert/strict";
import { test } from "node:test";
import { karoo } from "../deployments.js";
import {
    answersMatchRequests,
    atMostOnce,
    drainedTargetsGetNoWork,
    type Invariant,
    notRunNeverStarted,
    poisonCrashesAtMostTwoTargets,
    revisionsNeverRevert,
    slotsNeverExceeded,
} from "../invariants.js";
import { createRunLog, type RunEvent } from "../runLog.js";
import { runScenario } from "../scenario.js";

const target = toTargetId("tokens-1");
const entry = toInstanceId("10.0.0.1:7000/1");
const started = (at: number, work: string, inFlight = 1): RunEvent => ({
    kind: "workStarted",
    at,
    workId: work,
    isAtMostOnce: true,
    target,
    entry,
    inFlight,
    slots: 4,
});
const told = (work: string, outcome: "ran" | "notRun", answerOf?: string): RunEvent => ({
    kind: "callerTold",
    at: 9,
    workId: work,
    code: 0,
    outcome,
    answeredWorkId: answerOf,
    callerAttempts: 1,
    latencyMs: 1,
});

/** For each checker a log that breaks its promise. */
const broken: readonly (readonly [string, Invariant, readonly RunEvent[]])[] = [
    ["slots", slotsNeverExceeded, [started(1, "a", 5)]],
    ["at most once", atMostOnce, [started(1, "a"), started(2, "a")]],
    ["not run", notRunNeverStarted, [started(1, "a"), told("a", "notRun")]],
    ["own answer", answersMatchRequests, [told("a", "ran", "b")]],
    ["never reverts", revisionsNeverRevert, [
        { kind: "inForce", at: 1, entry, revision: 2 },
        { kind: "inForce", at: 2, entry, revision: 1 },
    ]],
    ["drain", drainedTargetsGetNoWork, [{ kind: "drainOrdered", at: 0, target }, started(3_001, "a")]],
    ["poison", poisonCrashesAtMostTwoTargets, [1, 2, 3].map(at => ({ kind: "targetDied" as const, at, target, workId: "p" }))],
];

for (const [promise, invariant, rows] of broken) {
    test(`the checker of "${promise}" finds a broken log and passes one cut before the break`, () => {
        const log = createRunLog();
        rows.slice(0, -1).forEach(log.append);
        assert.deepEqual(invariant(log), []);
        log.append(rows.at(-1)!);
        assert.equal(invariant(log).length, 1);
    });
}

test("a policy that lets every entry fill all slots is found out", () => {
    const policy = { ...defaultPolicy, overrideAllowance: (_safe: number, slots: number) => slots };
    const result = runScenario({ deployment: karoo(), seed: 1, loadRatio: 0.9, durationMs: 2_000, cooldownMs: 4_000, policy });
    assert.notEqual(slotsNeverExceeded(result.simulation.log).length, 0);
    const ours = runScenario({ deployment: karoo(), seed: 1, loadRatio: 0.9, durationMs: 2_000, cooldownMs: 4_000 });
    assert.deepEqual(slotsNeverExceeded(ours.simulation.log), []);
});
