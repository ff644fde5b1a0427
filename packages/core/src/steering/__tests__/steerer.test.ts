/** What becomes of a request: one final answer, one target at a time, and "not run" only where it is proved. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { type Fingerprint, toDataCentreId, toRegionId } from "../../ids.js";
import type { Ending } from "../job.js";
import { type Bench, createBench, record, route } from "./fixture.js";

const codeOf = (ending: Ending<string> | undefined): number | string | undefined =>
    ending?.kind === "refusal" ? ending.result.code : ending?.answer;
const unsafe = route({ isIdempotent: false });

test("an answer is handed on, and the slot is free again", () => {
    const bench = createBench();
    bench.arrive("a");
    bench.answer(bench.sent[0]!);
    assert.equal(codeOf(bench.endings.get("a")), "answer to a");
    assert.equal(bench.sent[0]!.target.inFlight, 0);
});

test("an unknown route is not found", () => {
    const bench = createBench();
    bench.arrive("a", { path: "/other/1" });
    assert.equal(codeOf(bench.endings.get("a")), 4014);
});

test("slots are never exceeded: what does not fit waits here", () => {
    const bench = createBench({ routes: [route({ objectiveMs: 600 })] });
    for (let index = 0; index < 7; index++) {
        bench.arrive(`r${index}`);
    }
    assert.equal(bench.sent.length, 4);
    bench.answer(bench.sent[0]!);
    assert.equal(bench.sent.length, 5);
});

test("at-most-once work that may have run is neither repeated nor called not run", () => {
    const bench = createBench({ routes: [unsafe] });
    bench.arrive("a");
    bench.steerer.written(bench.sent[0]!);
    bench.steerer.broken(bench.sent[0]!, "reset");
    assert.equal(bench.sent.length, 1);
    assert.equal(codeOf(bench.endings.get("a")), 3001);
});

test("at-most-once work whose connection failed before it was written goes to another target", () => {
    const bench = createBench({ routes: [unsafe] });
    bench.arrive("a");
    bench.steerer.broken(bench.sent[0]!, "refused");
    assert.equal(bench.sent.length, 2);
    assert.notEqual(bench.sent[1]!.target, bench.sent[0]!.target);
});

test("at-most-once work that a target did not run goes to another one", () => {
    const bench = createBench({ routes: [unsafe] });
    bench.arrive("a");
    bench.answer(bench.sent[0]!, { status: 503, isNotRun: true });
    assert.equal(bench.sent.length, 2);
    bench.answer(bench.sent[1]!, { status: 503, isNotRun: true });
    const ending = bench.endings.get("a");
    assert.equal(codeOf(ending), 2007);
    assert.ok(ending?.kind === "refusal" && ending.retryAfterMs! > 0);
});

test("idempotent work that may have run is repeated, and then never called not run", () => {
    const bench = createBench({ targets: [record("one"), record("three"), record("fives")] });
    bench.arrive("a");
    bench.steerer.written(bench.sent[0]!);
    bench.steerer.broken(bench.sent[0]!, "reset");
    bench.answer(bench.sent[1]!, { status: 503, isNotRun: true });
    assert.equal(bench.sent.length, 2);
    assert.equal(codeOf(bench.endings.get("a")), 3001);
});

test("a success without the target's signature is not handed on", () => {
    const bench = createBench({ routes: [unsafe] });
    bench.arrive("a");
    bench.answer(bench.sent[0]!, { isSigned: false });
    assert.equal(codeOf(bench.endings.get("a")), 3001);
});

test("repeats stop when the budget is used up", () => {
    const bench = createBench({ retrySlack: 0 });
    bench.arrive("a");
    bench.answer(bench.sent[0]!, { status: 500 });
    assert.equal(bench.sent.length, 1);
    assert.equal(codeOf(bench.endings.get("a")), "answer to a");
});

test("at the route's timeout the caller has its answer and the target is told to stop", () => {
    const bench = createBench();
    bench.arrive("a", { deadlineAt: 60_000 });
    bench.steerer.written(bench.sent[0]!);
    bench.timer.advance(1_201);
    assert.equal(codeOf(bench.endings.get("a")), 3002);
    assert.equal(bench.cancelled.length, 1);
});

test("a caller that leaves is dropped, and its target is told to stop", () => {
    const bench = createBench();
    const left = bench.arrive("a");
    left();
    assert.equal(bench.cancelled.length, 1);
    assert.equal(bench.steerer.inFlight(), 0);
});

test("a request that can't be served is refused long before its deadline, and told when to come back", () => {
    const bench = createBench({ targets: [] });
    bench.arrive("a", { deadlineAt: 2_000 });
    bench.timer.advance(700);
    const ending = bench.endings.get("a");
    assert.equal(codeOf(ending), 2001);
    assert.ok(ending?.kind === "refusal" && ending.retryAfterMs! <= 667);
});

test("a late answer after the end is nobody's", () => {
    const bench = createBench();
    bench.arrive("a");
    bench.steerer.written(bench.sent[0]!);
    bench.timer.advance(1_300);
    bench.answer(bench.sent[0]!);
    assert.equal(codeOf(bench.endings.get("a")), 3002);
});

test("a target at whose address another one lives gets nothing more", () => {
    const bench = createBench({ targets: [record("one")] });
    bench.arrive("a");
    bench.answer(bench.sent[0]!, { status: 421, isMisdirected: true });
    bench.arrive("b");
    assert.equal(bench.sent.length, 1);
});

test("the same request is not given to a third target after two died under it", () => {
    const bench = createBench({ targets: [record("one"), record("three"), record("fives")] });
    for (const id of ["a", "b"]) {
        bench.arrive(id, { fingerprint: () => "same" as Fingerprint });
        const attempt = bench.sent.at(-1)!;
        bench.steerer.written(attempt);
        bench.steerer.broken(attempt, "reset");
        bench.sent.at(-1)!.job.cancelTimeout();
        const dead = { isReached: false, isExpected: false, isHealthy: false, coldMs: undefined, load: undefined };
        bench.health.checked(attempt.target, dead);
    }
    const before = bench.sent.length;
    bench.arrive("c", { fingerprint: () => "same" as Fingerprint });
    assert.equal(bench.sent.length, before);
    assert.equal(codeOf(bench.endings.get("c")), 2011);
});

test("cold targets get no more than their share in any second", () => {
    const cold = record("one", { coldMs: 60_000, slots: 100 });
    const bench = createBench({ targets: [cold], coldShare: 3 });
    for (let step = 0; step < 30; step++) {
        bench.arrive(`r${step}`);
        bench.sent.filter(attempt => attempt.job.state === "sent").forEach(attempt => bench.answer(attempt));
        bench.timer.advance(100);
    }
    for (let from = 0; from < bench.sent.length; from++) {
        const start = bench.sent[from]!.sentAt;
        assert.ok(bench.sent.filter(attempt => attempt.sentAt >= start && attempt.sentAt < start + 1_000).length <= 3);
    }
});

test("a target stays in use while a request there has no answer, until a health check has none either", () => {
    const bench = createBench({ targets: [record("one", { slots: 4 })] });
    bench.arrive("slow");
    bench.steerer.written(bench.sent[0]!);
    bench.timer.advance(1_300);
    assert.equal(codeOf(bench.endings.get("slow")), 3002);
    assert.deepEqual(bench.checks.map(target => target.record.id), ["one"]);
    bench.arrive("next");
    assert.equal(bench.sent.length, 2);
    const unreached = { isReached: false, isExpected: false, isHealthy: false, coldMs: undefined, load: undefined };
    bench.health.checked(bench.checks[0]!, unreached);
    bench.arrive("later");
    assert.equal(bench.sent.length, 2);
});

test("where the own region has no target left, everything leaves at once, within what is agreed", () => {
    const elsewhere = { dataCentre: toDataCentreId("dbn-a"), region: toRegionId("dbn"), slots: 8 };
    const bench = createBench({ targets: [record("far", elsewhere), record("farther", elsewhere)] });
    for (let index = 0; index < 12; index++) {
        bench.arrive(`r${index}`, { deadlineAt: bench.timer.now() + 4_000 });
        bench.timer.advance(40);
        bench.sent.slice(-1).filter(attempt => attempt.job.state === "sent").forEach(attempt => bench.answer(attempt));
    }
    assert.equal([...bench.endings.values()].filter(ending => ending.kind === "answer").length, 12);
});

const unreachedAnswer = { isReached: false, isExpected: false, isHealthy: false, coldMs: undefined, load: undefined };
/** Sends the same request this many times at once, and lets the target die under them. */
function dieUnder(bench: Bench, target: string, copies: number): void {
    for (let copy = 0; copy < copies; copy++) {
        bench.arrive(`${target}-${copy}`, { fingerprint: () => "popular" as Fingerprint });
    }
    const attempts = bench.sent.filter(attempt => attempt.target.record.id === target && attempt.job.attempt === attempt);
    attempts.forEach(attempt => {
        bench.steerer.written(attempt);
        bench.steerer.broken(attempt, "reset");
    });
    bench.health.checked(attempts[0]!.target, unreachedAnswer);
}

test("one death of a target counts once, however many copies of a request it had", () => {
    const bench = createBench({ routes: [unsafe], targets: [record("one", { slots: 4 })] });
    dieUnder(bench, "one", 3);
    bench.arrive("again", { fingerprint: () => "popular" as Fingerprint });
    assert.notEqual(codeOf(bench.endings.get("again")), 2011);
});

test("a request that succeeds is not to blame for targets that died before", () => {
    const bench = createBench({ routes: [unsafe], targets: [record("one", { slots: 4 })] });
    const again = (id: string): void => void bench.arrive(id, { fingerprint: () => "popular" as Fingerprint });
    let born = 1;
    const revive = (): void => bench.registry.put(record("one", { slots: 4, born: ++born }));
    dieUnder(bench, "one", 1);
    revive();
    again("served");
    bench.answer(bench.sent.at(-1)!);
    dieUnder(bench, "one", 1);
    revive();
    again("later");
    assert.notEqual(codeOf(bench.endings.get("later")), 2011);
    bench.steerer.written(bench.sent.at(-1)!);
    bench.steerer.broken(bench.sent.at(-1)!, "reset");
    bench.health.checked(bench.sent.at(-1)!.target, unreachedAnswer);
    again("third");
    assert.equal(codeOf(bench.endings.get("third")), 2011);
});

test("a free slot that nobody else wants is taken, however long the work is expected to take", () => {
    const slow = route({ objectiveMs: 300, timeoutMs: 5_000 });
    const bench = createBench({ routes: [slow], targets: [record("one", { slots: 4 })] });
    for (let index = 0; index < 40; index++) {
        bench.arrive(`slow${index}`, { deadlineAt: bench.timer.now() + 6_000 });
        bench.timer.advance(2_000);
        bench.sent.filter(attempt => attempt.job.attempt === attempt).forEach(attempt => bench.answer(attempt));
    }
    assert.equal([...bench.endings.values()].filter(ending => ending.kind === "answer").length, 40);
});

test("no request is sent to a full target of another region to wait there", () => {
    const elsewhere = { dataCentre: toDataCentreId("dbn-a"), region: toRegionId("dbn") };
    const bench = createBench({
        targets: [record("far", { ...elsewhere, slots: 1 }), record("farther", { ...elsewhere, slots: 0 })],
    });
    for (let index = 0; index < 4; index++) {
        bench.arrive(`r${index}`, { deadlineAt: bench.timer.now() + 4_000 });
    }
    assert.equal(bench.sent.length, 1);
});
