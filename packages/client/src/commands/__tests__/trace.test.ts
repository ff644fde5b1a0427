/** A trace combines a request's attempts with the events that its own entry logged, from the logs of several processes. */
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
