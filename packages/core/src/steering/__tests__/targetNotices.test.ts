/** What targets say of their own availability in responses: that they leave, or that they want no requests for a while. */
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { toTargetId } from "../../ids.js";
import { noNotice, targetIncarnationOf } from "../targetRecord.js";
import { createTestBench, record, route, type TestBench } from "./fixture.js";

const leaving = { isLeaving: true, pauseMs: undefined };
const pauseOf = (pauseMs: number): { readonly isLeaving: boolean; readonly pauseMs: number; } => ({ isLeaving: false, pauseMs });
const refusal = { status: 503, isNotRun: true, isSigned: false };

const sentTo = (bench: TestBench): string[] => bench.sent.map(({ target }) => target.record.id);
const submitMany = (bench: TestBench, count: number): void => {
    for (let index = 0; index < count; index++) {
        bench.submit(`later-${index}-${bench.timer.now()}`);
    }
};

test("a target that says it leaves gets nothing more, whether its response succeeds, fails, refuses or comes too late", () => {
    const endings: readonly ((bench: TestBench) => void)[] = [
        bench => bench.respond(bench.sent[0]!, { notice: leaving }),
        bench => bench.respond(bench.sent[0]!, { status: 500, notice: leaving }),
        bench => bench.respond(bench.sent[0]!, { ...refusal, notice: leaving }),
        bench => {
            bench.dispatcher.recordWritten(bench.sent[0]!);
            bench.timer.advance(1_300);
            bench.respond(bench.sent[0]!, { notice: leaving });
        },
        bench => {
            const { target } = bench.sent[0]!;
            const check = { isReached: true, isExpectedTarget: true, isHealthy: false, coldMs: undefined, load: undefined };
            bench.targetHealth.recordHealthCheck(target, { ...check, notice: leaving });
            bench.respond(bench.sent[0]!);
        },
    ];
    for (const end of endings) {
        const bench = createTestBench({ targets: [record("one", { slots: 8 })] });
        bench.submit("first");
        bench.registry.put(record("three", { slots: 8 }));
        end(bench);
        const before = bench.sent.length;
        submitMany(bench, 6);
        assert.ok(bench.sent.length > before);
        assert.ok(!sentTo(bench).slice(before).includes("one"));
    }
});

test("an older record, a removal or a copy of the record doesn't take a leaving target into use; a later start does", () => {
    const bench = createTestBench({ targets: [record("one")] });
    bench.submit("first");
    bench.respond(bench.sent[0]!, { notice: leaving });
    bench.registry.put(record("one"));
    bench.registry.remove(toTargetId("one"));
    bench.registry.put(record("one"));
    submitMany(bench, 2);
    assert.equal(bench.sent.length, 1);
    bench.registry.put(record("one", { startedAt: 2 }));
    submitMany(bench, 1);
    assert.equal(bench.sent.length, 2);
});

test("a response of another target at the address says nothing of the target that was meant", () => {
    const bench = createTestBench({ targets: [record("one")] });
    bench.submit("first");
    bench.respond(bench.sent[0]!, { status: 421, isMisdirected: true, notice: leaving });
    assert.equal(bench.sent[0]!.target.isLeaving, false);
});

test("a target that asks for a pause gets no request and no health check until its end, and counts as no fault", () => {
    const bench = createTestBench({ targets: [record("one")] });
    bench.submit("first");
    bench.respond(bench.sent[0]!, { ...refusal, notice: pauseOf(700) });
    const { target } = bench.sent[0]!;
    assert.equal(target.failureRate, 0);
    bench.targetHealth.recordConnectionFailure(target, undefined);
    bench.submit("second", { deadlineAt: 10_000 });
    bench.timer.advance(690);
    assert.deepEqual([bench.sent.length, bench.checks.length], [1, 0]);
    bench.timer.advance(110);
    assert.equal(bench.checks.length, 1);
});

test("waiting requests are sent when a pause ends", () => {
    const bench = createTestBench({ routes: [route({ objectiveMs: 1_000, timeoutMs: 4_000 })], targets: [record("one")] });
    bench.submit("first");
    bench.respond(bench.sent[0]!, { ...refusal, notice: pauseOf(300) });
    bench.timer.advance(1);
    bench.submit("second", { deadlineAt: 8_000 });
    bench.timer.advance(400);
    assert.equal(bench.finalResponses.has("second") || bench.sent.some(({ job }) => job.request.id === "second"), true);
});

test("a request whose every target is closed for longer than it can wait is refused at once, with the time of the first opening", () => {
    const bench = createTestBench({ targets: [record("one")] });
    bench.submit("first");
    bench.respond(bench.sent[0]!, { ...refusal, notice: pauseOf(5_000) });
    bench.submit("second");
    const response = bench.finalResponses.get("second");
    assert.ok(response?.kind === "refusal" && response.result.code === 2001 && response.retryAfterMs! >= 5_000);
});

test("a request whose every target leaves is refused at once", () => {
    const bench = createTestBench({ targets: [record("one")] });
    bench.submit("first");
    bench.respond(bench.sent[0]!, { notice: leaving });
    bench.submit("second");
    const response = bench.finalResponses.get("second");
    assert.ok(response?.kind === "refusal" && response.result.code === 2001);
});

test("a target that asks for an endless pause is tried again after a minute", () => {
    const bench = createTestBench({ targets: [record("one")] });
    bench.submit("first");
    bench.respond(bench.sent[0]!, { ...refusal, notice: pauseOf(1e12) });
    bench.timer.advance(59_000);
    submitMany(bench, 1);
    assert.equal(bench.sent.length, 1);
    bench.timer.advance(1_500);
    submitMany(bench, 1);
    assert.equal(bench.sent.length, 2);
});

const names = ["one", "three", "fives"];
const step = fc.oneof(
    fc.record({ kind: fc.constant("submit" as const) }),
    fc.record({
        kind: fc.constant("respond" as const),
        nth: fc.nat(9),
        isRefusal: fc.boolean(),
        notice: fc.constantFrom(noNotice, noNotice, leaving, pauseOf(400), pauseOf(1_500)),
    }),
    fc.record({
        kind: fc.constant("put" as const),
        name: fc.nat(2),
        startedAt: fc.integer({ min: 1, max: 3 }),
        isDraining: fc.boolean(),
    }),
    fc.record({ kind: fc.constant("remove" as const), name: fc.nat(2) }),
    fc.record({ kind: fc.constant("advance" as const), ms: fc.integer({ min: 1, max: 900 }) }),
);

test("no schedule of responses, records and time sends a request to a target that leaves or is paused", () => {
    fc.assert(
        fc.property(fc.array(step, { maxLength: 40 }), steps => {
            const bench = createTestBench({ targets: names.map(name => record(name, { slots: 3 })), retrySlack: 1_000 });
            const leavingIncarnations = new Set<string>();
            const pausedUntil = new Map<string, number>();
            let checked = 0;
            const checkSent = (): void => {
                for (const { target, sentAt } of bench.sent.slice(checked)) {
                    assert.ok(!leavingIncarnations.has(targetIncarnationOf(target.record)));
                    assert.ok(sentAt >= (pausedUntil.get(targetIncarnationOf(target.record)) ?? 0));
                }
                checked = bench.sent.length;
            };
            for (const [index, action] of steps.entries()) {
                switch (action.kind) {
                    case "submit":
                        bench.submit(`request-${index}`);
                        break;
                    case "respond": {
                        const attempt = bench.sent[action.nth];
                        if (attempt !== undefined && attempt.job.attempt === attempt) {
                            const incarnation = targetIncarnationOf(attempt.target.record);
                            const { isLeaving, pauseMs } = action.notice;
                            if (isLeaving) {
                                leavingIncarnations.add(incarnation);
                            }
                            if (pauseMs !== undefined) {
                                const until = bench.timer.now() + pauseMs;
                                pausedUntil.set(incarnation, Math.max(until, pausedUntil.get(incarnation) ?? 0));
                            }
                            bench.respond(attempt, { ...(action.isRefusal ? refusal : {}), notice: action.notice });
                        }
                        break;
                    }
                    case "put":
                        bench.registry.put(record(names[action.name]!, { ...action, slots: 3 }));
                        bench.dispatcher.dispatchQueued();
                        break;
                    case "remove":
                        bench.registry.remove(toTargetId(names[action.name]!));
                        break;
                    case "advance":
                        bench.timer.advance(action.ms);
                        break;
                }
                checkSent();
            }
        }),
        { numRuns: Number(process.env["PIMENTO_SCHEDULES"] ?? 2_000), seed: 27 },
    );
});
