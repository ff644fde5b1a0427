/** A trace combines a request's attempts with the events that its own entry logged, from the logs of several processes. */
import { idWord } from "@pimentospring/runtime/logs/idWord";
import assert from "node:assert/strict";
import { test } from "node:test";
import { parseLogLines, traceRequest } from "../traceCommand.js";

const line = (seconds: number, instance: string, fields: object): string =>
    JSON.stringify({ time: `2026-01-01T00:00:${String(seconds).padStart(2, "0")}.000Z`, program: "p", instance, ...fields });

const logs = [
    line(10, "a", { event: 711, name: "targetJudged", target: "t1", change: "suspect" }),
    line(10, "b", { event: 711, name: "targetJudged", target: "t1", change: "suspect" }),
    line(11, "a", { event: 711, name: "targetJudged", target: "t9", change: "suspect" }),
    `  12.5 a ${line(12, "a", { event: 700, name: "requestEnded", request: "r1", status: 502, trail: ["0ms sent to t1 at x"] })}`,
    line(12, "a", { event: 700, name: "requestEnded", request: "r2", status: 200, trail: [] }),
    "{\"time\": cut off",
].join("\n");

test("a trace lists the request's attempts and the events that its own entry logged on their targets", () => {
    const traced = traceRequest(parseLogLines(logs), "r1");
    assert.equal(traced.length, 3);
    assert.match(traced[0]!, / a 711 targetJudged target=t1 change=suspect$/);
    assert.match(traced[1]!, / a 700 requestEnded request=r1 status=502$/);
    assert.equal(traced[2], "    0ms sent to t1 at x");
});

test("the trace of a request that is in no log is empty", () => {
    assert.deepEqual(traceRequest(parseLogLines(logs), "r3"), []);
});

test("the trace of a request that was refused as one that crashes targets lists the deaths under it, at all entries", () => {
    const refusal = { event: 403, name: "poisonRefused", request: "r4", fingerprint: "f1", deaths: 2 };
    const text = [
        line(1, "a", { event: 401, name: "poison", request: "r5", fingerprint: "f1", deaths: 1, target: "t1" }),
        line(2, "b", { event: 401, name: "poison", request: "r6", fingerprint: "f1", deaths: 2, target: "t2" }),
        line(3, "b", { event: 401, name: "poison", request: "r7", fingerprint: "f2", deaths: 1, target: "t2" }),
        line(30, "a", refusal),
    ].join("\n");
    const traced = traceRequest(parseLogLines(text), "r4");
    assert.deepEqual(traced.map(step => / (\d{3}) /.exec(step)![1]), ["401", "401", "403"]);
    assert.match(traced[1]!, / b 401 poison .*target=t2$/);
});

// Guards against an operator who can't find why a workspace's caller was refused.
test("the trace of a request refused for its workspace has its refusal, and what its entry learned of the configuration", () => {
    const refused = (request: string): object => ({
        event: 404,
        name: "workspaceRefused",
        request,
        workspace: "w",
        result: 2014,
    });
    const text = [
        line(10, "a", { event: 725, name: "documentFault", resource: "tenants w", reason: "ratePerS: expected number" }),
        line(10, "b", { event: 725, name: "documentFault", resource: "tenants v" }),
        line(11, "a", refused("r2")),
        line(12, "a", refused("r1")),
    ].join("\n");
    const traced = traceRequest(parseLogLines(text), "r1");
    assert.equal(traced.length, 2);
    assert.match(traced[0]!, / a 725 documentFault resource=tenants w /);
    assert.match(traced[1]!, / a 404 workspaceRefused request=r1 workspace=w result=2014$/);
});

test("the trace of an ordinary answered request is what its entry listed of it", () => {
    const text = line(3, "a", { event: 703, name: "requestsAnswered", answers: ["r8 t1 200 400", "r9 t2 404 12"] });
    assert.deepEqual(traceRequest(parseLogLines(text), "r9"), [
        "2026-01-01T00:00:03.000Z a 703 requestsAnswered target=t2 status=404 bytes=12",
    ]);
    assert.deepEqual(traceRequest(parseLogLines(text), "t2"), []);
    const earlierForm = line(3, "a", { event: 703, name: "requestsAnswered", answers: "r8 t1 200 400, r9 t2 404 12" });
    assert.deepEqual(traceRequest(parseLogLines(earlierForm), "r9"), []);
});

// Guards against forged entries, as callers choose the ids.
test("the entry of an id that reads like another request's entry is only its own", () => {
    const forged = "r8, r9 t9 500 0 connectionEnd broken";
    const long = "r".repeat(65);
    const entries = [forged, long].map(id => `${idWord(id)} t1 200 400`);
    const lines = parseLogLines(line(3, "a", { event: 703, name: "requestsAnswered", answers: entries }));
    for (const id of [forged, long]) {
        assert.deepEqual(traceRequest(lines, id), [
            "2026-01-01T00:00:03.000Z a 703 requestsAnswered target=t1 status=200 bytes=400",
        ]);
    }
    for (const id of ["r8", "r8,", "r9", long.slice(1)]) {
        assert.deepEqual(traceRequest(lines, id), []);
    }
});
