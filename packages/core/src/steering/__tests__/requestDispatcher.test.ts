/** Life of a request: one final response, one target at a time, and "not run" only where it is proved. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { type Fingerprint, toDataCentreId, toRegionId } from "../../ids.js";
import type { FinalResponse } from "../job.js";
import { maxBodyBytesPerTarget } from "../target.js";
import { createTestBench, healthyResponse, noHealthResponse, record, route, type TestBench } from "./fixture.js";

const codeOf = (response: FinalResponse<string> | undefined): number | string | undefined =>
    response?.kind === "refusal" ? response.result.code : response?.answer;
const atMostOnceRoute = route({ isIdempotent: false });

test("a response is delivered and frees the slot", () => {
    const bench = createTestBench();
    bench.submit("a");
    bench.respond(bench.sent[0]!);
    assert.equal(codeOf(bench.finalResponses.get("a")), "answer to a");
    assert.equal(bench.sent[0]!.target.inFlight, 0);
});

test("a request without a matching route is refused", () => {
    const bench = createTestBench();
    bench.submit("a", { path: "/other/1" });
    assert.equal(codeOf(bench.finalResponses.get("a")), 4014);
});

test("a target's slots are never exceeded: further requests are queued", () => {
    const bench = createTestBench({ routes: [route({ objectiveMs: 600 })] });
    for (let index = 0; index < 7; index++) {
        bench.submit(`r${index}`);
    }
    assert.equal(bench.sent.length, 4);
    bench.respond(bench.sent[0]!);
    assert.equal(bench.sent.length, 5);
});

// Guards against a process that has no descriptor left, as each request at a target takes one.
test("no more requests are at targets than there may be connections, and the next one follows when one ends", () => {
    const bench = createTestBench({ routes: [route({ objectiveMs: 600 })], maxAttempts: 2 });
    for (let index = 0; index < 4; index++) {
        bench.submit(`r${index}`);
    }
    assert.equal(bench.sent.length, 2);
    bench.respond(bench.sent[0]!);
    assert.equal(bench.sent.length, 3);
});

// Guards against CRASH: large bodies filled the memory of a target whose slots were free.
test("a target gets no more bytes of bodies than it may hold, but any single body", () => {
    const bench = createTestBench({ routes: [route({ objectiveMs: 600 })] });
    const sizes = [2 * maxBodyBytesPerTarget, maxBodyBytesPerTarget / 2, maxBodyBytesPerTarget / 2, 1, 0];
    sizes.forEach((bodyBytes, index) => bench.submit(`r${index}`, { bodyBytes }));
    const targets = new Set(bench.sent.map(({ target }) => target));
    assert.equal(targets.size, 2);
    // The body of one byte finds no room, the request without a body does.
    assert.deepEqual(bench.sent.map(({ job }) => job.request.id), ["r0", "r1", "r2", "r4"]);
    bench.respond(bench.sent[0]!);
    assert.equal(bench.sent.length, 5);
    bench.sent.slice(1).forEach(attempt => bench.respond(attempt));
    assert.ok([...targets].every(({ bodyBytesInFlight }) => bodyBytesInFlight === 0));
});

test("an at-most-once request that may have run is neither retried nor reported as not run", () => {
    const bench = createTestBench({ routes: [atMostOnceRoute] });
    bench.submit("a");
    bench.dispatcher.recordWritten(bench.sent[0]!);
    bench.dispatcher.handleConnectionFailure(bench.sent[0]!, "reset");
    assert.equal(bench.sent.length, 1);
    assert.equal(codeOf(bench.finalResponses.get("a")), 3001);
});

test("an at-most-once request whose connection failed before any write is sent to another target", () => {
    const bench = createTestBench({ routes: [atMostOnceRoute] });
    bench.submit("a");
    bench.dispatcher.handleConnectionFailure(bench.sent[0]!, "refused");
    assert.equal(bench.sent.length, 2);
    assert.notEqual(bench.sent[1]!.target, bench.sent[0]!.target);
});

test("an at-most-once request that a target did not run is sent to another target", () => {
    const bench = createTestBench({ routes: [atMostOnceRoute] });
    bench.submit("a");
    bench.respond(bench.sent[0]!, { status: 503, isNotRun: true });
    assert.equal(bench.sent.length, 2);
    bench.respond(bench.sent[1]!, { status: 503, isNotRun: true });
    const response = bench.finalResponses.get("a");
    assert.equal(codeOf(response), 2007);
    assert.ok(response?.kind === "refusal" && response.retryAfterMs! > 0);
});

test("a target that refuses although it has free slots is tried again, and the caller may return at once", () => {
    const bench = createTestBench({ routes: [atMostOnceRoute], targets: [record("one")] });
    const load = { running: 1, waiting: 0, slots: 4, slowness: 1 };
    bench.submit("a");
    bench.respond(bench.sent[0]!, { status: 503, isNotRun: true, load });
    assert.equal(bench.sent.length, 2);
    bench.respond(bench.sent[1]!, { status: 503, isNotRun: true, load });
    const response = bench.finalResponses.get("a");
    assert.ok(response?.kind === "refusal" && response.retryAfterMs! < 100);
});

test("an idempotent request that may have run is retried, and is never reported as not run afterwards", () => {
    const bench = createTestBench({ targets: [record("one"), record("three"), record("fives")] });
    bench.submit("a");
    bench.dispatcher.recordWritten(bench.sent[0]!);
    bench.dispatcher.handleConnectionFailure(bench.sent[0]!, "reset");
    bench.targetHealth.recordHealthCheck(bench.checks[0]!, healthyResponse);
    bench.respond(bench.sent[1]!, { status: 503, isNotRun: true });
    assert.equal(bench.sent.length, 2);
    assert.equal(codeOf(bench.finalResponses.get("a")), 3001);
});

test("a successful response without the target's signature is not delivered", () => {
    const bench = createTestBench({ routes: [atMostOnceRoute] });
    bench.submit("a");
    bench.respond(bench.sent[0]!, { isSigned: false });
    assert.equal(codeOf(bench.finalResponses.get("a")), 3001);
});

test("retries stop when the retry budget is used up", () => {
    const bench = createTestBench({ retrySlack: 0 });
    bench.submit("a");
    bench.respond(bench.sent[0]!, { status: 500 });
    assert.equal(bench.sent.length, 1);
    assert.equal(codeOf(bench.finalResponses.get("a")), "answer to a");
});

test("at the route's timeout the caller gets a final response and the attempt is cancelled", () => {
    const bench = createTestBench();
    bench.submit("a", { deadlineAt: 60_000 });
    bench.dispatcher.recordWritten(bench.sent[0]!);
    bench.timer.advance(1_201);
    assert.equal(codeOf(bench.finalResponses.get("a")), 3002);
    assert.equal(bench.cancelled.length, 1);
});

test("when a caller disconnects, its request ends and the attempt is cancelled", () => {
    const bench = createTestBench();
    const disconnect = bench.submit("a");
    disconnect();
    assert.equal(bench.cancelled.length, 1);
    assert.equal(bench.dispatcher.inFlightCount(), 0);
});

test("a request that can't be served is refused long before its deadline, with a retry time", () => {
    const bench = createTestBench({ targets: [] });
    bench.submit("a", { deadlineAt: 2_000 });
    bench.timer.advance(700);
    const response = bench.finalResponses.get("a");
    assert.equal(codeOf(response), 2001);
    assert.ok(response?.kind === "refusal" && response.retryAfterMs! <= 667);
});

test("work that runs at a target goes on, and is started nowhere else, while the target is silent, leaving or gone", () => {
    const changes: readonly ((bench: TestBench) => void)[] = [
        bench => bench.targetHealth.recordHealthCheck(bench.sent[0]!.target, noHealthResponse),
        bench => bench.registry.put(record("one", { isDraining: true })),
        bench => bench.registry.remove(bench.sent[0]!.target.record.id),
    ];
    for (const isIdempotent of [true, false]) {
        for (const change of changes) {
            const bench = createTestBench({ routes: [route({ isIdempotent })], targets: [record("one")] });
            bench.submit("a");
            bench.dispatcher.recordWritten(bench.sent[0]!);
            bench.registry.put(record("three"));
            change(bench);
            bench.timer.advance(900);
            assert.deepEqual([bench.sent.length, bench.cancelled.length], [1, 0]);
            bench.respond(bench.sent[0]!);
            assert.equal(codeOf(bench.finalResponses.get("a")), "answer to a");
        }
    }
});

test("a response after the request has ended is ignored", () => {
    const bench = createTestBench();
    bench.submit("a");
    bench.dispatcher.recordWritten(bench.sent[0]!);
    bench.timer.advance(1_300);
    bench.respond(bench.sent[0]!);
    assert.equal(codeOf(bench.finalResponses.get("a")), 3002);
});

test("a target whose address now belongs to another target gets no more requests", () => {
    const bench = createTestBench({ targets: [record("one")] });
    bench.submit("a");
    bench.respond(bench.sent[0]!, { status: 421, isMisdirected: true });
    bench.submit("b");
    assert.equal(bench.sent.length, 1);
});

test("a request is not sent to a third target after two died while running it", () => {
    const bench = createTestBench({ targets: [record("one"), record("three"), record("fives")] });
    for (const id of ["a", "b"]) {
        bench.submit(id, { fingerprint: () => "same" as Fingerprint });
        const attempt = bench.sent.at(-1)!;
        bench.dispatcher.recordWritten(attempt);
        bench.dispatcher.handleConnectionFailure(attempt, "reset");
        bench.sent.at(-1)!.job.cancelTimeout();
        bench.targetHealth.recordHealthCheck(attempt.target, noHealthResponse);
    }
    const before = bench.sent.length;
    bench.submit("c", { fingerprint: () => "same" as Fingerprint });
    assert.equal(bench.sent.length, before);
    assert.equal(codeOf(bench.finalResponses.get("c")), 2011);
});

test("a cold target gets no more requests than its rate limit in any second", () => {
    const cold = record("one", { coldMs: 60_000, slots: 100 });
    const bench = createTestBench({ targets: [cold], coldRateLimit: 3 });
    for (let step = 0; step < 30; step++) {
        bench.submit(`r${step}`);
        bench.sent.filter(attempt => attempt.job.state === "sent").forEach(attempt => bench.respond(attempt));
        bench.timer.advance(100);
    }
    for (let from = 0; from < bench.sent.length; from++) {
        const start = bench.sent[from]!.sentAt;
        assert.ok(bench.sent.filter(attempt => attempt.sentAt >= start && attempt.sentAt < start + 1_000).length <= 3);
    }
});

test("a target stays in use after a request timed out, until a health check fails too", () => {
    const bench = createTestBench({ targets: [record("one", { slots: 4 })] });
    bench.submit("slow");
    bench.dispatcher.recordWritten(bench.sent[0]!);
    bench.timer.advance(1_300);
    assert.equal(codeOf(bench.finalResponses.get("slow")), 3002);
    assert.deepEqual(bench.checks.map(target => target.record.id), ["one"]);
    bench.submit("next");
    assert.equal(bench.sent.length, 2);
    bench.targetHealth.recordHealthCheck(bench.checks[0]!, noHealthResponse);
    bench.submit("later");
    assert.equal(bench.sent.length, 2);
});

test("if the local region has no target left, all requests leave it at once, within the slot allowance", () => {
    const otherRegion = { dataCentre: toDataCentreId("dbn-a"), region: toRegionId("dbn"), slots: 8 };
    const bench = createTestBench({ targets: [record("far", otherRegion), record("farther", otherRegion)] });
    for (let index = 0; index < 12; index++) {
        bench.submit(`r${index}`, { deadlineAt: bench.timer.now() + 4_000 });
        bench.timer.advance(40);
        bench.sent.slice(-1).filter(attempt => attempt.job.state === "sent").forEach(attempt => bench.respond(attempt));
    }
    assert.equal([...bench.finalResponses.values()].filter(response => response.kind === "answer").length, 12);
});

/** Sends `copies` of the same request at once and makes the target die while running them. */
function crashWhileRunning(bench: TestBench, target: string, copies: number): void {
    for (let copy = 0; copy < copies; copy++) {
        bench.submit(`${target}-${copy}`, { fingerprint: () => "popular" as Fingerprint });
    }
    const attempts = bench.sent.filter(attempt => attempt.target.record.id === target && attempt.job.attempt === attempt);
    attempts.forEach(attempt => {
        bench.dispatcher.recordWritten(attempt);
        bench.dispatcher.handleConnectionFailure(attempt, "reset");
    });
    bench.targetHealth.recordHealthCheck(attempts[0]!.target, noHealthResponse);
}

test("the death of a target counts once for a request, however many copies of it were running", () => {
    const bench = createTestBench({ routes: [atMostOnceRoute], targets: [record("one", { slots: 4 })] });
    crashWhileRunning(bench, "one", 3);
    bench.submit("again", { fingerprint: () => "popular" as Fingerprint });
    assert.notEqual(codeOf(bench.finalResponses.get("again")), 2011);
});

test("a request that succeeds is cleared of earlier target deaths", () => {
    const bench = createTestBench({ routes: [atMostOnceRoute], targets: [record("one", { slots: 4 })] });
    const submitAgain = (id: string): void => void bench.submit(id, { fingerprint: () => "popular" as Fingerprint });
    let born = 1;
    const restart = (): void => bench.registry.put(record("one", { slots: 4, startedAt: ++born }));
    crashWhileRunning(bench, "one", 1);
    restart();
    submitAgain("served");
    bench.respond(bench.sent.at(-1)!);
    crashWhileRunning(bench, "one", 1);
    restart();
    submitAgain("later");
    assert.notEqual(codeOf(bench.finalResponses.get("later")), 2011);
    bench.dispatcher.recordWritten(bench.sent.at(-1)!);
    bench.dispatcher.handleConnectionFailure(bench.sent.at(-1)!, "reset");
    bench.targetHealth.recordHealthCheck(bench.sent.at(-1)!.target, noHealthResponse);
    submitAgain("third");
    assert.equal(codeOf(bench.finalResponses.get("third")), 2011);
});

test("a free slot without competing requests is used, however long the work is expected to take", () => {
    const slow = route({ objectiveMs: 300, timeoutMs: 5_000 });
    const bench = createTestBench({ routes: [slow], targets: [record("one", { slots: 4 })] });
    for (let index = 0; index < 40; index++) {
        bench.submit(`slow${index}`, { deadlineAt: bench.timer.now() + 6_000 });
        bench.timer.advance(2_000);
        bench.sent.filter(attempt => attempt.job.attempt === attempt).forEach(attempt => bench.respond(attempt));
    }
    assert.equal([...bench.finalResponses.values()].filter(response => response.kind === "answer").length, 40);
});

test("no request is sent to a full target of another region", () => {
    const otherRegion = { dataCentre: toDataCentreId("dbn-a"), region: toRegionId("dbn") };
    const bench = createTestBench({
        targets: [record("far", { ...otherRegion, slots: 1 }), record("farther", { ...otherRegion, slots: 0 })],
    });
    for (let index = 0; index < 4; index++) {
        bench.submit(`r${index}`, { deadlineAt: bench.timer.now() + 4_000 });
    }
    assert.equal(bench.sent.length, 1);
});

const fail = (): never => {
    throw new Error("the log is broken");
};

// Guards against CONFIG: the job was over before its response, so that an error on the way left its caller without any.
test("an error in the log of a request that has ended does not keep the response from its caller", () => {
    const bench = createTestBench({ events: { onEnded: fail } });
    bench.submit("a");
    assert.throws(() => bench.respond(bench.sent[0]!), /the log is broken/);
    assert.equal(codeOf(bench.finalResponses.get("a")), "answer to a");
    bench.submit("b", { path: "/other/1" });
    assert.equal(codeOf(bench.finalResponses.get("b")), 4014);
});

// Guards against CONFIG and REFUSED: the request was unanswered until its timeout, and then answered as not run.
test("an error while a response is handled ends the request at once, with an unknown outcome, and frees the slot", () => {
    for (const name of ["onWorkCompleted", "onRetry"] as const) {
        const bench = createTestBench({ routes: [atMostOnceRoute], events: { [name]: fail } });
        bench.submit("a");
        const attempt = bench.sent[0]!;
        const fields = name === "onRetry" ? { status: 503, isNotRun: true } : {};
        assert.throws(() => bench.respond(attempt, fields), /the log is broken/);
        assert.equal(codeOf(bench.finalResponses.get("a")), 3007);
        assert.equal(attempt.target.inFlight, 0);
        bench.timer.advance(5_000);
        assert.equal(bench.sent.length, 1);
    }
});

// Guards against an entry that refused everything for good: a negative mean made the estimate of free slots no number.
test("responses that come sooner than the estimated round trip leave the target's free slots a number", () => {
    const bench = createTestBench({ targets: [record("one")], roundTripMs: 73 });
    const load = { running: 2, waiting: 0, slots: 4, slowness: 1 };
    for (let count = 0; count < 30; count++) {
        bench.submit(`r${count}`);
        bench.timer.advance(20);
        bench.respond(bench.sent[count]!, { load });
        bench.timer.advance(2_000);
    }
    assert.equal(bench.sent.length, 30);
});
