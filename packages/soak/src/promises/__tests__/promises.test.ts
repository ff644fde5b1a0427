/** Each promise check must fail on a record that violates its promise, and pass on all others. */
import { answerText, type RequestRun } from "@pimentospring/standin/direct/targetStandin";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createPromiseChecks, versionProbePath } from "../promises.js";
import type { AttemptOutcome, SoakRecord } from "../records.js";

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
