/** What becomes of a request: one final answer, one target at a time, and "not run" only where it is proved. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { type Fingerprint, toDataCentreId, toRegionId } from "../../ids.js";
import type { FinalResponse } from "../job.js";
import { createTestBench, record, route, type TestBench } from "./fixture.js";

const codeOf = (ending: FinalResponse<string> | undefined): number | string | undefined =>
    ending?.kind === "refusal" ? ending.result.code : ending?.answer;
const unsafe = route({ isIdempotent: false });

test("an answer is handed on, and the slot is free again", () => {
    const bench = createTestBench();
    bench.submit("a");
    bench.answer(bench.sent[0]!);
    assert.equal(codeOf(bench.endings.get("a")), "answer to a");
    assert.equal(bench.sent[0]!.target.inFlight, 0);
});

test("an unknown route is not found", () => {
    const bench = createTestBench();
    bench.submit("a", { path: "/other/1" });
    assert.equal(codeOf(bench.endings.get("a")), 4014);
});

test("slots are never exceeded: what does not fit waits here", () => {
    const bench = createTestBench({ routes: [route({ objectiveMs: 600 })] });
    for (let index = 0; index < 7; index++) {
        bench.submit(`r${index}`);
    }
    assert.equal(bench.sent.length, 4);
    bench.answer(bench.sent[0]!);
    assert.equal(bench.sent.length, 5);
});

test("at-most-once work that may have run is neither repeated nor called not run", () => {
    const bench = createTestBench({ routes: [unsafe] });
    bench.submit("a");
    bench.steerer.recordWritten(bench.sent[0]!);
    bench.steerer.handleConnectionFailure(bench.sent[0]!, "reset");
    assert.equal(bench.sent.length, 1);
    assert.equal(codeOf(bench.endings.get("a")), 3001);
});

test("at-most-once work whose connection failed before it was written goes to another target", () => {
    const bench = createTestBench({ routes: [unsafe] });
    bench.submit("a");
    bench.steerer.handleConnectionFailure(bench.sent[0]!, "refused");
    assert.equal(bench.sent.length, 2);
    assert.notEqual(bench.sent[1]!.target, bench.sent[0]!.target);
});

test("at-most-once work that a target did not run goes to another one", () => {
    const bench = createTestBench({ routes: [unsafe] });
    bench.submit("a");
    bench.answer(bench.sent[0]!, { status: 503, isNotRun: true });
    assert.equal(bench.sent.length, 2);
    bench.answer(bench.sent[1]!, { status: 503, isNotRun: true });
    const ending = bench.endings.get("a");
    assert.equal(codeOf(ending), 2007);
    assert.ok(ending?.kind === "refusal" && ending.retryAfterMs! > 0);
});

test("idempotent work that may have run is repeated, and then never called not run", () => {
    const bench = createTestBench({ targets: [record("one"), record("three"), record("fives")] });
    bench.submit("a");
    bench.steerer.recordWritten(bench.sent[0]!);
    bench.steerer.handleConnectionFailure(bench.sent[0]!, "reset");
    bench.answer(bench.sent[1]!, { status: 503, isNotRun: true });
    assert.equal(bench.sent.length, 2);
    assert.equal(codeOf(bench.endings.get("a")), 3001);
});

test("a success without the target's signature is not handed on", () => {
    const bench = createTestBench({ routes: [unsafe] });
    bench.submit("a");
    bench.answer(bench.sent[0]!, { isSigned: false });
    assert.equal(codeOf(bench.endings.get("a")), 3001);
});

test("repeats stop when the budget is used up", () => {
    const bench = createTestBench({ retrySlack: 0 });
    bench.submit("a");
    bench.answer(bench.sent[0]!, { status: 500 });
    assert.equal(bench.sent.length, 1);
    assert.equal(codeOf(bench.endings.get("a")), "answer to a");
});

test("at the route's timeout the caller has its answer and the target is told to stop", () => {
    const bench = createTestBench();
    bench.submit("a", { deadlineAt: 60_000 });
    bench.steerer.recordWritten(bench.sent[0]!);
    bench.timer.advance(1_201);
    assert.equal(codeOf(bench.endings.get("a")), 3002);
    assert.equal(bench.cancelled.length, 1);
});

test("a caller that leaves is dropped, and its target is told to stop", () => {
    const bench = createTestBench();
    const left = bench.submit("a");
    left();
    assert.equal(bench.cancelled.length, 1);
    assert.equal(bench.steerer.inFlightCount(), 0);
});

test("a request that can't be served is refused long before its deadline, and told when to come back", () => {
    const bench = createTestBench({ targets: [] });
    bench.submit("a", { deadlineAt: 2_000 });
    bench.timer.advance(700);
    const ending = bench.endings.get("a");
    assert.equal(codeOf(ending), 2001);
    assert.ok(ending?.kind === "refusal" && ending.retryAfterMs! <= 667);
});

test("a late answer after the end is nobody's", () => {
    const bench = createTestBench();
    bench.submit("a");
    bench.steerer.recordWritten(bench.sent[0]!);
    bench.timer.advance(1_300);
    bench.answer(bench.sent[0]!);
    assert.equal(codeOf(bench.endings.get("a")), 3002);
});

test("a target at whose address another one lives gets nothing more", () => {
    const bench = createTestBench({ targets: [record("one")] });
    bench.submit("a");
    bench.answer(bench.sent[0]!, { status: 421, isMisdirected: true });
    bench.submit("b");
    assert.equal(bench.sent.length, 1);
});

test("the same request is not given to a third target after two died under it", () => {
    const bench = createTestBench({ targets: [record("one"), record("three"), record("fives")] });
    for (const id of ["a", "b"]) {
        bench.submit(id, { fingerprint: () => "same" as Fingerprint });
        const attempt = bench.sent.at(-1)!;
        bench.steerer.recordWritten(attempt);
        bench.steerer.handleConnectionFailure(attempt, "reset");
        bench.sent.at(-1)!.job.cancelTimeout();
        const dead = { isReached: false, isExpectedTarget: false, isHealthy: false, coldMs: undefined, load: undefined };
        bench.targetHealth.recordHealthCheck(attempt.target, dead);
    }
    const before = bench.sent.length;
    bench.submit("c", { fingerprint: () => "same" as Fingerprint });
    assert.equal(bench.sent.length, before);
    assert.equal(codeOf(bench.endings.get("c")), 2011);
});

test("cold targets get no more than their share in any second", () => {
    const cold = record("one", { coldMs: 60_000, slots: 100 });
    const bench = createTestBench({ targets: [cold], coldRateLimit: 3 });
    for (let step = 0; step < 30; step++) {
        bench.submit(`r${step}`);
        bench.sent.filter(attempt => attempt.job.state === "sent").forEach(attempt => bench.answer(attempt));
        bench.timer.advance(100);
    }
    for (let from = 0; from < bench.sent.length; from++) {
        const start = bench.sent[from]!.sentAt;
        assert.ok(bench.sent.filter(attempt => attempt.sentAt >= start && attempt.sentAt < start + 1_000).length <= 3);
    }
});

test("a target stays in use while a request there has no answer, until a health check has none either", () => {
    const bench = createTestBench({ targets: [record("one", { slots: 4 })] });
    bench.submit("slow");
    bench.steerer.recordWritten(bench.sent[0]!);
    bench.timer.advance(1_300);
    assert.equal(codeOf(bench.endings.get("slow")), 3002);
    assert.deepEqual(bench.checks.map(target => target.record.id), ["one"]);
    bench.submit("next");
    assert.equal(bench.sent.length, 2);
    const unreached = { isReached: false, isExpectedTarget: false, isHealthy: false, coldMs: undefined, load: undefined };
    bench.targetHealth.recordHealthCheck(bench.checks[0]!, unreached);
    bench.submit("later");
    assert.equal(bench.sent.length, 2);
});

test("where the own region has no target left, everything leaves at once, within what is agreed", () => {
    const elsewhere = { dataCentre: toDataCentreId("dbn-a"), region: toRegionId("dbn"), slots: 8 };
    const bench = createTestBench({ targets: [record("far", elsewhere), record("farther", elsewhere)] });
    for (let index = 0; index < 12; index++) {
        bench.submit(`r${index}`, { deadlineAt: bench.timer.now() + 4_000 });
        bench.timer.advance(40);
        bench.sent.slice(-1).filter(attempt => attempt.job.state === "sent").forEach(attempt => bench.answer(attempt));
    }
    assert.equal([...bench.endings.values()].filter(ending => ending.kind === "answer").length, 12);
});

const unreachedAnswer = { isReached: false, isExpectedTarget: false, isHealthy: false, coldMs: undefined, load: undefined };
/** Sends the same request this many times at once, and lets the target die under them. */
function dieUnder(bench: TestBench, target: string, copies: number): void {
    for (let copy = 0; copy < copies; copy++) {
        bench.submit(`${target}-${copy}`, { fingerprint: () => "popular" as Fingerprint });
    }
    const attempts = bench.sent.filter(attempt => attempt.target.record.id === target && attempt.job.attempt === attempt);
    attempts.forEach(attempt => {
        bench.steerer.recordWritten(attempt);
        bench.steerer.handleConnectionFailure(attempt, "reset");
    });
    bench.targetHealth.recordHealthCheck(attempts[0]!.target, unreachedAnswer);
}

test("one death of a target counts once, however many copies of a request it had", () => {
    const bench = createTestBench({ routes: [unsafe], targets: [record("one", { slots: 4 })] });
    dieUnder(bench, "one", 3);
    bench.submit("again", { fingerprint: () => "popular" as Fingerprint });
    assert.notEqual(codeOf(bench.endings.get("again")), 2011);
});

test("a request that succeeds is not to blame for targets that died before", () => {
    const bench = createTestBench({ routes: [unsafe], targets: [record("one", { slots: 4 })] });
    const again = (id: string): void => void bench.submit(id, { fingerprint: () => "popular" as Fingerprint });
    let born = 1;
    const revive = (): void => bench.registry.put(record("one", { slots: 4, startedAt: ++born }));
    dieUnder(bench, "one", 1);
    revive();
    again("served");
    bench.answer(bench.sent.at(-1)!);
    dieUnder(bench, "one", 1);
    revive();
    again("later");
    assert.notEqual(codeOf(bench.endings.get("later")), 2011);
    bench.steerer.recordWritten(bench.sent.at(-1)!);
    bench.steerer.handleConnectionFailure(bench.sent.at(-1)!, "reset");
    bench.targetHealth.recordHealthCheck(bench.sent.at(-1)!.target, unreachedAnswer);
    again("third");
    assert.equal(codeOf(bench.endings.get("third")), 2011);
});

test("a free slot that nobody else wants is taken, however long the work is expected to take", () => {
    const slow = route({ objectiveMs: 300, timeoutMs: 5_000 });
    const bench = createTestBench({ routes: [slow], targets: [record("one", { slots: 4 })] });
    for (let index = 0; index < 40; index++) {
        bench.submit(`slow${index}`, { deadlineAt: bench.timer.now() + 6_000 });
        bench.timer.advance(2_000);
        bench.sent.filter(attempt => attempt.job.attempt === attempt).forEach(attempt => bench.answer(attempt));
    }
    assert.equal([...bench.endings.values()].filter(ending => ending.kind === "answer").length, 40);
});

test("no request is sent to a full target of another region to wait there", () => {
    const elsewhere = { dataCentre: toDataCentreId("dbn-a"), region: toRegionId("dbn") };
    const bench = createTestBench({
        targets: [record("far", { ...elsewhere, slots: 1 }), record("farther", { ...elsewhere, slots: 0 })],
    });
    for (let index = 0; index < 4; index++) {
        bench.submit(`r${index}`, { deadlineAt: bench.timer.now() + 4_000 });
    }
    assert.equal(bench.sent.length, 1);
});
