/** Each answered request can be found in the log, with what tells whether its answer was whole. */
import type { Job } from "@pimentospring/core/steering/job";
import { emptyWorkspaceDirectory } from "@pimentospring/core/steering/workspaceDirectory";
import { createVirtualTimer } from "@pimentospring/core/time/virtualTimer";
import type { LogFields } from "@pimentospring/runtime/logs/log";
import { logEvents } from "@pimentospring/runtime/logs/logEvents";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createResponseBody } from "../../targets/responseBody.js";
import type { ReceivedResponse } from "../../targets/targetResponse.js";
import { createSteerMetrics } from "../metrics.js";
import { createRequestLog } from "../requestLog.js";
import { createRouteStatistics } from "../routeStatistics.js";
import { createWarmStatistics } from "../warmStatistics.js";
import { createWorkspaceStatistics } from "../workspaceStatistics.js";

interface LoggedRequests {
    readonly end: (id: string, response: ReceivedResponse) => void;
    /** Lines of an event after a second more. */
    readonly linesOf: (event: number) => readonly LogFields[];
    readonly writtenLinesOf: (event: number) => readonly LogFields[];
    readonly writeAnswered: () => void;
}

function startLog(): LoggedRequests {
    const timer = createVirtualTimer();
    const lines: { readonly event: number; readonly fields: LogFields; }[] = [];
    const requestLog = createRequestLog({
        timer,
        log: { write: (event, fields = {}) => lines.push({ event: event.number, fields }) },
        metrics: createSteerMetrics(),
        routeStatistics: createRouteStatistics(timer),
        workspaceStatistics: createWorkspaceStatistics(),
        warmStatistics: createWarmStatistics(),
        describeLentSlots: () => "",
        onPoisonCleared: () => {},
        onPoisonRefused: () => {},
    });
    // Lines are limited to a rate; the first second makes room.
    timer.advance(1_000);
    const writtenLinesOf = (event: number): readonly LogFields[] =>
        lines.filter(line => line.event === event).map(({ fields }) => fields);
    return {
        writeAnswered: requestLog.writeAnswered,
        writtenLinesOf,
        end: (id, answer) => {
            const job = {
                request: { id, arrivedAt: timer.now(), deadlineAt: timer.now() + 1_000 },
                route: { name: "r" },
                terms: { priority: 1, directory: emptyWorkspaceDirectory },
                service: "s",
                objectiveAt: timer.now() + 500,
                writtenAttempts: 1,
            } as unknown as Job<ReceivedResponse>;
            requestLog.onEnded(job, { kind: "answer", answer }, "answered");
        },
        linesOf: event => {
            timer.advance(1_000);
            return writtenLinesOf(event);
        },
    };
}

/** Fails unless the line lists answers. */
function answersOf(line: LogFields | undefined): readonly string[] {
    const answers = line?.["answers"];
    assert.ok(Array.isArray(answers), String(answers));
    return answers as readonly string[];
}

const response = (framing: ReceivedResponse["framing"], body: string, hasOtherHead = false): ReceivedResponse => ({
    status: 200,
    statusText: "OK",
    rawHeaders: [],
    body: createResponseBody([Buffer.from(body)]),
    framing,
    connectionEnd: framing === "connectionEnd" ? "orderly" : "none",
    hasOtherHead,
});

test("an answer that ended with its connection is logged with its framing, bytes and end", () => {
    const { end, linesOf } = startLog();
    end("one", response("connectionEnd", "whole"));
    end("two", response("connectionEnd", "wholeHTTP/1.1 200 OK\r\n\r\nwhole", true));
    const lines = linesOf(logEvents.requestEnded.number);
    assert.deepEqual(
        lines.map(({ request, framing, bytes, connectionEnd, hasOtherHead }) => [
            request,
            framing,
            bytes,
            connectionEnd,
            hasOtherHead,
        ]),
        [["one", "connectionEnd", 5, "orderly", undefined], ["two", "connectionEnd", 29, "orderly", true]],
    );
});

test("each other answered request is in a line of its own or in the list of its second", () => {
    const { end, linesOf } = startLog();
    const ids = Array.from({ length: 150 }, (_, index) => `id-${index}`);
    ids.forEach(id => end(id, response("length", "four")));
    const own = linesOf(logEvents.requestEnded.number).map(({ request }) => request);
    const [list, ...more] = linesOf(logEvents.requestsAnswered.number);
    const listed = answersOf(list);
    assert.ok(listed.every(text => text.endsWith(" none 200 4")));
    assert.deepEqual([...own, ...listed.map(text => text.split(" ")[0])].sort(), ids.sort());
    assert.deepEqual(more, []);
});

test("an answer that ended with its connection is marked in the list if there are too many lines", () => {
    const { end, linesOf } = startLog();
    for (let index = 0; index < 50; index++) {
        end(`id-${index}`, response("connectionEnd", "four"));
    }
    const [list] = linesOf(logEvents.requestsAnswered.number);
    const listed = answersOf(list);
    assert.ok(listed.every(text => text.endsWith(" none 200 4 connectionEnd orderly")));
    assert.equal(listed.length + linesOf(logEvents.requestEnded.number).length, 50);
});

test("the list of a second is bounded, and counts what it leaves out", () => {
    const { end, linesOf } = startLog();
    for (let index = 0; index < 1_000; index++) {
        end("the same".repeat(100), response("length", "four"));
    }
    const [list] = linesOf(logEvents.requestsAnswered.number);
    assert.ok(String(list?.["answers"]).length < 20_000);
    assert.equal(Number(list?.["notListed"]) + answersOf(list).length, 1_000);
});

// Guards against forged entries, as callers choose the ids.
test("an id with blanks, commas or signs of their encoding is one word of one entry", () => {
    const { end, linesOf } = startLog();
    const ids = [
        "x, victim t9 500 0 connectionEnd broken",
        "x\tvictim",
        "x\u00a0victim",
        "x%20victim",
        "v".repeat(64),
        "v".repeat(65),
    ];
    ids.forEach(id => end(id, response("length", "four")));
    const own = linesOf(logEvents.requestEnded.number).map(({ request }) => request);
    const listed = answersOf(linesOf(logEvents.requestsAnswered.number)[0]);
    assert.equal(listed.length + own.length, ids.length);
    assert.ok(listed.every(text => /^\S+ none 200 4$/.test(text)), listed.join("\n"));
    assert.equal(new Set(listed).size, listed.length);
});

test("the list is written at once where the process ends, and only once", () => {
    const { end, writeAnswered, writtenLinesOf, linesOf } = startLog();
    const ids = Array.from({ length: 10 }, (_, index) => `id-${index}`);
    ids.forEach(id => end(id, response("length", "four")));
    writeAnswered();
    const own = writtenLinesOf(logEvents.requestEnded.number);
    const [list] = writtenLinesOf(logEvents.requestsAnswered.number);
    assert.equal(answersOf(list).length + own.length, ids.length);
    writeAnswered();
    assert.equal(linesOf(logEvents.requestsAnswered.number).length, 1);
});
