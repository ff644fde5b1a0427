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
const reply = (work: string, outcome: "ran" | "notRun", answerOf?: string): RunEvent => ({
    kind: "callerReply",
    at: 9,
    workId: work,
    code: 0,
    outcome,
    answeredWorkId: answerOf,
    callerAttempts: 1,
    latencyMs: 1,
});

/** For each check, an event log whose last event violates the invariant. */
const violatingLogs: readonly (readonly [string, Invariant, readonly RunEvent[]])[] = [
    ["slots", slotsNeverExceeded, [started(1, "a", 5)]],
    ["at most once", atMostOnce, [started(1, "a"), started(2, "a")]],
    ["not run", notRunNeverStarted, [started(1, "a"), reply("a", "notRun")]],
    ["own answer", answersMatchRequests, [reply("a", "ran", "b")]],
    ["never reverts", revisionsNeverRevert, [
        { kind: "inForce", at: 1, entry, revision: 2 },
        { kind: "inForce", at: 2, entry, revision: 1 },
    ]],
    ["drain", drainedTargetsGetNoWork, [{ kind: "drainOrdered", at: 0, target }, started(3_001, "a")]],
    ["poison", poisonCrashesAtMostTwoTargets, [1, 2, 3].map(at => ({ kind: "targetCrashed" as const, at, target, workId: "p" }))],
];

for (const [name, invariant, events] of violatingLogs) {
    test(`the check of "${name}" fails on a violating log and passes without its last event`, () => {
        const log = createRunLog();
        events.slice(0, -1).forEach(log.append);
        assert.deepEqual(invariant(log), []);
        log.append(events.at(-1)!);
        assert.equal(invariant(log).length, 1);
    });
}

test("a policy that lets every entry fill all slots violates the slot limit", () => {
    const policy = { ...defaultPolicy, overrideAllowance: (_safe: number, slots: number) => slots };
    const result = runScenario({ deployment: karoo(), seed: 1, loadRatio: 0.9, durationMs: 2_000, cooldownMs: 4_000, policy });
    assert.notEqual(slotsNeverExceeded(result.simulation.log).length, 0);
    const withDefaultPolicy = runScenario({ deployment: karoo(), seed: 1, loadRatio: 0.9, durationMs: 2_000, cooldownMs: 4_000 });
    assert.deepEqual(slotsNeverExceeded(withDefaultPolicy.simulation.log), []);
});
