/** How a request that may crash targets is handled, and what counts as its doing. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { type Fingerprint, toTargetId } from "../../ids.js";
import type { FinalResponse } from "../job.js";
import { createTestBench, head, healthyResponse, noHealthResponse, record, route, type TestBench } from "./fixture.js";

const fingerprint = (): Fingerprint => "killer" as Fingerprint;
const submit = (bench: TestBench, id: string): () => void => bench.submit(id, { fingerprint });
const codeOf = (response: FinalResponse<string> | undefined): number | string | undefined =>
    response?.kind === "refusal" ? response.result.code : response?.answer;
const poisonCode = 2011;
const unknownCode = 3001;

/** The connection of the attempt breaks after the request was written. */
function breakConnection(bench: TestBench, index: number): void {
    bench.dispatcher.recordWritten(bench.sent[index]!);
    bench.dispatcher.handleConnectionFailure(bench.sent[index]!, "reset");
}

/** The target of the attempt dies while it runs the request. */
function crash(bench: TestBench, index: number): void {
    breakConnection(bench, index);
    bench.targetHealth.recordHealthCheck(bench.sent[index]!.target, noHealthResponse);
}

const manyTargets = ["one", "three", "fives", "sevens1", "nine-nine"].map(id => record(id, { slots: 1 }));

test("a request whose connection broke is not sent on before a health check shows whether its target died", () => {
    const bench = createTestBench({ targets: manyTargets });
    submit(bench, "a");
    breakConnection(bench, 0);
    assert.equal(bench.sent.length, 1);
    bench.targetHealth.recordHealthCheck(bench.sent[0]!.target, healthyResponse);
    assert.equal(bench.sent.length, 2);
});

test("a slow health check holds a request back for a quarter of a second at most", () => {
    const bench = createTestBench({ targets: manyTargets });
    submit(bench, "a");
    breakConnection(bench, 0);
    bench.timer.advance(250);
    assert.equal(bench.sent.length, 2);
});

test("a request under which a target died runs at one target at a time", () => {
    const bench = createTestBench({ targets: manyTargets, routes: [route({ isIdempotent: false })] });
    submit(bench, "a");
    crash(bench, 0);
    submit(bench, "b");
    submit(bench, "c");
    assert.equal(bench.sent.length, 2);
    bench.submit("innocent");
    assert.equal(bench.sent.length, 3);
    bench.respond(bench.sent[1]!);
    assert.deepEqual(bench.sent.map(({ job }) => job.request.id), ["a", "b", "innocent", "c"]);
});

test("waiting copies and further attempts are refused once the request is known to crash targets, with a true status", () => {
    const bench = createTestBench({ targets: manyTargets });
    submit(bench, "a");
    crash(bench, 0);
    submit(bench, "b");
    assert.deepEqual(bench.sent.map(({ job }) => job.request.id), ["a", "a"]);
    crash(bench, 1);
    bench.timer.advance(100);
    assert.equal(bench.sent.length, 2);
    assert.equal(codeOf(bench.finalResponses.get("a")), unknownCode);
    assert.equal(codeOf(bench.finalResponses.get("b")), poisonCode);
    submit(bench, "late");
    const refusal = bench.finalResponses.get("late");
    assert.equal(codeOf(refusal), poisonCode);
    assert.ok(refusal?.kind === "refusal" && refusal.retryAfterMs! >= 10_000);
});

test("runs of a request that has become known to crash targets are ended before they crash more", () => {
    const bench = createTestBench({ targets: manyTargets });
    for (const id of ["a", "b", "c"]) {
        submit(bench, id);
    }
    bench.dispatcher.recordWritten(bench.sent[2]!);
    bench.submit("innocent");
    crash(bench, 0);
    crash(bench, 1);
    bench.dispatcher.stopPoisonRequests();
    assert.deepEqual(bench.cancelled, [bench.sent[2]]);
    assert.equal(codeOf(bench.finalResponses.get("c")), unknownCode);
    assert.equal(bench.finalResponses.get("innocent"), undefined);
});

/** The attempts of `ids` run when the first one's target dies; the target of the second is found dead, its request still open. */
function dieTwice(bench: TestBench, ids: readonly string[]): void {
    ids.forEach(id => submit(bench, id));
    bench.sent.forEach(bench.dispatcher.recordWritten);
    crash(bench, 0);
    bench.targetHealth.recordHealthCheck(bench.sent[1]!.target, noHealthResponse);
}

// The end of an attempt may itself show that its request crashes targets, while the job has no attempt any more.
test("a request whose broken connection shows that it crashes targets is answered, and so are its copies", () => {
    const bench = createTestBench({ targets: manyTargets });
    dieTwice(bench, ["a", "b", "c"]);
    breakConnection(bench, 1);
    assert.deepEqual(["a", "b", "c"].map(id => codeOf(bench.finalResponses.get(id))), [unknownCode, unknownCode, unknownCode]);
});

test("a request whose timeout shows that it crashes targets is answered, and so are its copies", () => {
    const bench = createTestBench({ targets: manyTargets });
    dieTwice(bench, ["a", "b", "c"]);
    bench.timer.advance(1_300);
    assert.ok(["a", "b", "c"].every(id => bench.finalResponses.get(id)?.kind === "refusal"));
    assert.equal(bench.dispatcher.inFlightCount(), 0);
});

test("a request that timed out at a target that turns out to be dead counts as a cause of its death", () => {
    const bench = createTestBench({ targets: manyTargets });
    for (let death = 0; death < 2; death++) {
        submit(bench, `r${death}`);
        const attempt = bench.sent.at(-1)!;
        bench.dispatcher.recordWritten(attempt);
        bench.timer.advance(1_300);
        bench.targetHealth.recordHealthCheck(attempt.target, noHealthResponse);
    }
    submit(bench, "again");
    assert.equal(codeOf(bench.finalResponses.get("again")), poisonCode);
});

test("a health check that began before the connection broke does not show that the target survived", () => {
    const bench = createTestBench({ targets: manyTargets });
    submit(bench, "a");
    submit(bench, "b");
    const [first, second] = [bench.sent[0]!, bench.sent[1]!];
    for (const attempt of [first, second]) {
        bench.targetHealth.recordConnectionFailure(attempt.target, undefined);
        bench.timer.advance(1);
        bench.dispatcher.recordWritten(attempt);
        bench.dispatcher.handleConnectionFailure(attempt, "reset");
        const checks = bench.checks.length;
        bench.targetHealth.recordHealthCheck(attempt.target, healthyResponse);
        assert.equal(bench.checks.length, checks + 1);
        bench.targetHealth.recordHealthCheck(attempt.target, noHealthResponse);
    }
    submit(bench, "again");
    assert.equal(codeOf(bench.finalResponses.get("again")), poisonCode);
});

test("a response that was on its way when the target died does not show that it survived", () => {
    const bench = createTestBench({ targets: [record("one"), record("three")] });
    for (const id of ["one", "three"]) {
        const target = bench.registry.find(toTargetId(id))!;
        submit(bench, `killer-${id}`);
        const attempt = bench.sent.at(-1)!;
        bench.submit(`other-${id}`);
        breakConnection(bench, bench.sent.indexOf(attempt));
        bench.targetHealth.recordResponse(target, head(), true);
        bench.targetHealth.recordHealthCheck(attempt.target, noHealthResponse);
    }
    submit(bench, "again");
    assert.equal(codeOf(bench.finalResponses.get("again")), poisonCode);
});

test("requests of a target that leaves are not taken for the cause of its end", () => {
    const bench = createTestBench({ targets: manyTargets, routes: [route({ isIdempotent: false })] });
    for (let index = 0; index < 3; index++) {
        submit(bench, `r${index}`);
        bench.targetHealth.recordNotice(bench.sent[index]!.target, { isLeaving: true, pauseMs: undefined });
        crash(bench, index);
    }
    submit(bench, "again");
    assert.notEqual(codeOf(bench.finalResponses.get("again")), poisonCode);
});

test("a response other than a success does not clear a request of the deaths under it", () => {
    const bench = createTestBench({ targets: manyTargets, routes: [route({ isIdempotent: false })] });
    for (const status of [404, 500, 504]) {
        const before = bench.sent.length;
        submit(bench, `died-${status}`);
        if (bench.sent.length > before) {
            crash(bench, before);
        }
        submit(bench, `answered-${status}`);
        const attempt = bench.sent.at(-1)!;
        if (attempt.job.attempt === attempt) {
            bench.respond(attempt, { status });
        }
    }
    assert.equal(codeOf(bench.finalResponses.get("died-504")), poisonCode);
});

test("a refused request that is tried again runs to its end, whatever else becomes known meanwhile", () => {
    const bench = createTestBench({ targets: manyTargets, routes: [route({ isIdempotent: false })] });
    for (const id of ["a", "b"]) {
        submit(bench, id);
        crash(bench, bench.sent.length - 1);
    }
    submit(bench, "refused");
    assert.equal(codeOf(bench.finalResponses.get("refused")), poisonCode);
    bench.timer.advance(30_000);
    submit(bench, "trial");
    submit(bench, "copy");
    assert.equal(codeOf(bench.finalResponses.get("copy")), poisonCode);
    bench.dispatcher.stopPoisonRequests();
    assert.deepEqual(bench.cancelled, []);
    bench.respond(bench.sent.at(-1)!);
    assert.equal(codeOf(bench.finalResponses.get("trial")), "answer to trial");
    submit(bench, "clean");
    assert.equal(bench.sent.at(-1)!.job.request.id, "clean");
});
