/** Each promise check must fail on a record that violates its promise, and pass on all others. */
import { answerText, type RequestRun } from "@pimentospring/standin/direct/targetStandin";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createPromiseChecks, versionProbePath } from "../promises.js";
import type { AttemptOutcome, FaultSpan, SoakRecord } from "../records.js";

const slack = 5;
const outcome = (request: string, fields: Partial<AttemptOutcome> = {}): AttemptOutcome => ({
    request,
    path: "/order/1",
    isIdempotent: false,
    daemon: "one",
    daemonRun: 0,
    sentAt: 10_000,
    endedAt: 10_050,
    status: 200,
    text: answerText("t1", request),
    isSigned: true,
    retryAfterMs: undefined,
    isAbandoned: false,
    begunAt: undefined,
    isCut: false,
    timeoutMs: 1_000,
    ...fields,
});
const run = (request: string, fields: Partial<RequestRun> = {}): RequestRun => ({
    request,
    path: "/order/1",
    target: "t1",
    service: "s",
    at: 10_010,
    ...fields,
});
const services = { "/order/": ["s"], "/version-4/": ["s"], "/version-5/": ["s"] };
const record = (fields: Partial<SoakRecord>): SoakRecord => ({
    outcomes: [],
    runs: [],
    versions: [{ version: 5, writtenAt: 0, services }],
    leavings: [],
    notices: [],
    crashes: [],
    turnedAway: [],
    disturbances: [],
    stops: [],
    calmFrom: 20_000,
    endedAt: 30_000,
    ...fields,
});
const servedAfterFaults = outcome("calm", { sentAt: 25_000, endedAt: 25_020 });
const createOutcomes = (count: number, make: (index: number) => AttemptOutcome): AttemptOutcome[] =>
    Array.from({ length: count }, (_, index) => make(index));
const findBrokenPromises = (fields: Partial<SoakRecord>): string[] => {
    const outcomes = [servedAfterFaults, ...(fields.outcomes ?? [])];
    const runs = [run("calm", { at: 25_010 }), ...(fields.runs ?? [])];
    const completeRecord = record({ ...fields, outcomes, runs });
    return Object.entries(createPromiseChecks(slack)).filter(([, check]) => check(completeRecord).length > 0).map(([name]) =>
        name
    );
};

test("a record without faults keeps every promise", () => {
    assert.deepEqual(findBrokenPromises({ outcomes: [outcome("a")], runs: [run("a")] }), []);
});

const violatingRecords: Readonly<Record<string, Partial<SoakRecord>>> = {
    once: { outcomes: [outcome("a")], runs: [run("a"), run("a", { at: 10_030 })] },
    refusedIsNotRun: { outcomes: [outcome("a", { status: 503, retryAfterMs: 20 })], runs: [run("a")] },
    refusalsSayWhen: { outcomes: [outcome("a", { status: 503 })] },
    ownAnswers: { outcomes: [outcome("a", { text: answerText("t1", "b") })], runs: [run("a")] },
    asked: { runs: [run("nobody")] },
    routed: { outcomes: [outcome("a")], runs: [run("a", { service: "t" })] },
    drained: { outcomes: [outcome("a")], runs: [run("a")], leavings: [{ target: "t1", at: 7_000 }] },
    applied: { outcomes: [outcome("a", { path: versionProbePath(5), status: 404 })] },
    forward: {
        outcomes: [
            outcome("a", { path: versionProbePath(5), sentAt: 9_000, endedAt: 9_050 }),
            outcome("b", { path: versionProbePath(5), status: 404 }),
        ],
        runs: [run("a", { path: versionProbePath(5) })],
        disturbances: [{ daemon: "*", kind: "storeSilent", from: 9_500, to: 9_900 }],
    },
    answeredInTime: {
        outcomes: createOutcomes(9, index => outcome(`a${index}`, { status: 504, endedAt: 12_000 })),
    },
    whole: { outcomes: [outcome("a", { status: undefined, isCut: true })] },
    answered: { outcomes: [outcome("a", { status: undefined, endedAt: 12_000 })] },
    withinBudget: {
        outcomes: [outcome("a", { isIdempotent: true })],
        runs: Array.from({ length: 8 }, (_, index) => run("a", { at: 10_010 + index })),
    },
    stoppedCleanly: {
        outcomes: [outcome("a", { status: undefined })],
        runs: [run("a")],
        stops: [{ daemon: "one", run: 0, at: 10_020 }],
    },
    forgotten: {
        outcomes: createOutcomes(4, index => outcome(`a${index}`, { status: undefined, isAbandoned: true })),
        runs: Array.from({ length: 4 }, (_, index) => run(`a${index}`, { at: 10_700 })),
    },
    recovered: {
        outcomes: createOutcomes(
            5,
            index => outcome(`a${index}`, { status: 503, retryAfterMs: 20, sentAt: 25_000, endedAt: 25_001 }),
        ),
    },
};

for (const [name, fields] of Object.entries(violatingRecords)) {
    test(`a record that breaks "${name}" fails that check and no other`, () => {
        assert.deepEqual(findBrokenPromises(fields), [name]);
    });
}

test("an answer that a slow caller reads counts as given when it begins", () => {
    const late = (begunAt: number): AttemptOutcome[] =>
        createOutcomes(9, index => outcome(`a${index}`, { status: 504, begunAt, endedAt: 12_000 }));
    assert.deepEqual(findBrokenPromises({ outcomes: late(11_600) }), ["answeredInTime"]);
    assert.deepEqual(findBrokenPromises({ outcomes: late(10_900) }), []);
});

test("a request that a disturbed daemon leaves unanswered, or whose connection breaks, breaks no promise", () => {
    const silent = outcome("a", { status: undefined, endedAt: 12_000 });
    const disturbances = [{ daemon: "one", kind: "daemonPause", from: 11_000, to: 13_000 }];
    assert.deepEqual(findBrokenPromises({ outcomes: [silent], disturbances }), []);
    assert.deepEqual(findBrokenPromises({ outcomes: [{ ...silent, endedAt: 11_200 }] }), []);
});

test("a daemon that uses a target after passing on that it leaves breaks its promise, another daemon or an earlier request does not", () => {
    const notices = [{ kind: "leaving" as const, target: "t9", at: 9_000, until: Infinity }];
    const first = outcome("a", { text: answerText("t9", "a") });
    const later = outcome("b", { sentAt: 10_700, endedAt: 10_750, text: answerText("t9", "b") });
    const runs = [run("a", { target: "t9" }), run("b", { target: "t9", at: 10_710 })];
    const findWith = (second: AttemptOutcome): string[] => findBrokenPromises({ notices, runs, outcomes: [first, second] });
    assert.deepEqual(findWith(later), ["told"]);
    assert.deepEqual(findWith({ ...later, daemon: "two" }), []);
    assert.deepEqual(findWith({ ...later, daemonRun: 1 }), []);
    assert.deepEqual(findWith({ ...later, sentAt: 10_400 }), []);
});

test("a daemon that comes back three times in a target's pause breaks its promise", () => {
    const notices = [{ kind: "pause" as const, target: "t1", at: 9_000, until: 12_000 }];
    const ids = ["a", "b", "c", "d"];
    const outcomes = ids.map(id => outcome(id));
    const turnedAway = ids.map((request, index) => ({ request, target: "t1", at: 9_100 + index * 700 }));
    const runs = ids.map(id => run(id, { target: "t2" }));
    const served = outcomes.map(({ request }) => outcome(request, { text: answerText("t2", request) }));
    assert.deepEqual(findBrokenPromises({ notices, turnedAway, runs, outcomes: served }), ["pauseKept"]);
    assert.deepEqual(findBrokenPromises({ notices, turnedAway: turnedAway.slice(0, 3), runs, outcomes: served }), []);
});

test("a daemon that lacks a version 2.5 s after the store's return breaks its promise; during the outage, or with a fault of its own, not", () => {
    const probe = outcome("p", { path: versionProbePath(5), isIdempotent: true, status: 404, sentAt: 13_000, endedAt: 13_020 });
    const outage = { daemon: "*", kind: "storeSilent", from: 8_000, to: 10_000 };
    const versions = [{ version: 5, writtenAt: 9_900, services }];
    const findWith = (...disturbances: readonly FaultSpan[]): string[] =>
        findBrokenPromises({ outcomes: [probe], versions, disturbances });
    assert.deepEqual(findWith(outage), ["appliedAfterReturn"]);
    assert.deepEqual(findWith({ ...outage, to: 10_600 }), []);
    assert.deepEqual(findWith({ ...outage, to: 13_500 }), []);
    assert.deepEqual(findWith(outage, { daemon: "one", kind: "daemonPause", from: 7_000, to: 8_000 }), []);
    assert.deepEqual(findWith(outage, { daemon: "two", kind: "daemonPause", from: 7_000, to: 8_000 }), ["appliedAfterReturn"]);
});

test("a request that crashed three targets and runs four times long after breaks the promise; soon after, or from disturbed daemons, not", () => {
    const path = "/order/poison";
    const ids = ["a", "b", "c", "d"];
    const crashes = [1_000, 2_000, 3_000];
    const runs = ids.map(id => run(id, { path, at: 10_010 }));
    const outcomes = ids.map(id => outcome(id, { path, status: 502, isSigned: false, text: "" }));
    assert.deepEqual(findBrokenPromises({ crashes, runs, outcomes }), ["crashesEnd"]);
    assert.deepEqual(findBrokenPromises({ crashes, runs: runs.slice(1), outcomes }), []);
    assert.deepEqual(findBrokenPromises({ crashes: [1_000, 2_000, 6_500], runs, outcomes }), []);
    const disturbances = [{ daemon: "one", kind: "daemonKill", from: 9_000, to: 9_500 }];
    assert.deepEqual(findBrokenPromises({ crashes, runs, outcomes, disturbances }), []);
});
