/** Raw HTTP that callers receive for responses and refusals. */
import { results } from "@pimentospring/core/results/resultCode";
import { silentLog } from "@pimentospring/runtime/logs/log";
import { createClockTimer } from "@pimentospring/runtime/time/clockTimer";
import assert from "node:assert/strict";
import { type AddressInfo, connect } from "node:net";
import { test } from "node:test";
import { createResponseBuffers } from "../../targets/responseBuffers.js";
import type { CallerResponder } from "../callerResponder.js";
import { createCallerServer } from "../callerServer.js";

/**
 * Sends raw bytes to a server that responds with `respond`. Resolves to all bytes received until the connection closed.
 */
async function exchange(
    bytes: string,
    respond: (responder: CallerResponder) => void,
    onCallerLeft: () => void = () => {},
): Promise<string> {
    const callers = createCallerServer({
        log: silentLog,
        timer: createClockTimer(),
        maxBufferedBytes: 1_000_000,
        maxConnections: 1_000,
        isMemoryScarce: () => false,
        responseBuffers: createResponseBuffers(64_000_000),
        onRequest: (_request, responder) => {
            respond(responder);
            return onCallerLeft;
        },
    });
    await new Promise<void>(resolve => callers.server.listen(0, "127.0.0.1", resolve));
    const socket = connect((callers.server.address() as AddressInfo).port, "127.0.0.1");
    let received = "";
    socket.on("data", chunk => {
        received += chunk.toString("latin1");
    });
    socket.write(bytes);
    await new Promise<void>(resolve => {
        socket.once("close", () => resolve());
        setTimeout(() => socket.end(), 150);
    });
    callers.server.close();
    return received;
}

const request = "GET /a/1 HTTP/1.1\r\nHost: a.example\r\n\r\n";
const body = Buffer.from("bytes");

test("a response with a length keeps its connection open", async () => {
    const rawHeaders = ["X-Server-Stamp", "s", "Content-Length", "5"];
    const received = await exchange(request, responder => responder.respond({ status: 200, statusText: "OK", rawHeaders, body }));
    assert.match(received, /Content-Length: 5/);
    assert.match(received, /Connection: keep-alive/);
});

test("a response without a length is passed on without one and ends with its connection", async () => {
    const rawHeaders = ["X-Server-Stamp", "s", "Connection", "close"];
    const received = await exchange(request, responder => responder.respond({ status: 200, statusText: "OK", rawHeaders, body }));
    assert.doesNotMatch(received, /Content-Length|Transfer-Encoding/i);
    assert.match(received, /Connection: close/);
    assert.match(received, /\r\n\r\nbytes$/);
});

test("a refusal carries Retry-After in seconds", async () => {
    const received = await exchange(request, responder => responder.refuse(results.noRoom, 250));
    assert.match(received, /^HTTP\/1\.1 503 /);
    assert.match(received, /Retry-After: 0\.250/);
});

test("two pipelined requests in one chunk get one response each", async () => {
    const rawHeaders = ["Content-Length", "5"];
    const received = await exchange(
        request + request,
        responder => responder.respond({ status: 200, statusText: "OK", rawHeaders, body }),
    );
    assert.equal(received.split("HTTP/1.1 200").length - 1, 2);
});

test("a request head over the operator's limit is refused before the request is routed", async () => {
    let isHandled = false;
    const oversized = `GET /a/1 HTTP/1.1\r\nHost: a.example\r\nX-Long: ${"x".repeat(17_000)}\r\n\r\n`;
    const received = await exchange(oversized, () => {
        isHandled = true;
    });
    assert.match(received, /^HTTP\/1\.1 431 /);
    assert.equal(isHandled, false);
});

test("the disconnect of a caller is reported", async () => {
    let hasCallerLeft = false;
    await exchange(request, () => {}, () => {
        hasCallerLeft = true;
    });
    await new Promise(resolve => setTimeout(resolve, 50));
    assert.equal(hasCallerLeft, true);
});

test("a request whose caller disconnected while the event loop was blocked is not handled", async () => {
    let isHandled = false;
    const callers = createCallerServer({
        log: silentLog,
        timer: createClockTimer(),
        maxBufferedBytes: 1_000_000,
        maxConnections: 1_000,
        isMemoryScarce: () => false,
        responseBuffers: createResponseBuffers(64_000_000),
        onRequest: () => {
            isHandled = true;
            return () => {};
        },
    });
    await new Promise<void>(resolve => callers.server.listen(0, "127.0.0.1", resolve));
    const socket = connect((callers.server.address() as AddressInfo).port, "127.0.0.1");
    await new Promise<void>(resolve => socket.once("connect", resolve));
    socket.end(request);
    // Blocks the event loop while the request and the FIN arrive.
    const blockedUntil = performance.now() + 100;
    while (performance.now() < blockedUntil) {
        // Busy-wait.
    }
    await new Promise(resolve => setTimeout(resolve, 100));
    callers.server.close();
    assert.equal(isHandled, false);
});

// Guards against CONFIG: a reason phrase that Node's server can't write left the request without a response.
test("a response with any status and reason phrase that a target may send reaches the caller whole", async () => {
    const rawHeaders = ["X-Server-Stamp", "s", "Content-Length", "5"];
    for (
        const [status, statusText, expected] of [
            [200, "", "200 "],
            [200, "Fine\tby me", "200 Fine\tby me"],
            [200, "\u00f3\u0142", "200 OK"],
            [200, "O\x0b", "200 OK"],
            [600, "\u0142", "600 "],
            [999, "Odd", "999 Odd"],
        ] as const
    ) {
        const received = await exchange(request, responder => responder.respond({ status, statusText, rawHeaders, body }));
        assert.equal(received.split("\r\n")[0], `HTTP/1.1 ${expected}`);
        assert.match(received, /\r\n\r\nbytes$/);
    }
});

test("a refusal reaches the caller after a response that could not be written", async () => {
    const rawHeaders = ["X-Odd", "a\x0b", "Content-Length", "5"];
    const received = await exchange(request, responder => {
        assert.throws(() => responder.respond({ status: 200, statusText: "Odd", rawHeaders, body }));
        responder.refuse(results.unexpectedError, undefined);
    });
    assert.match(received, /^HTTP\/1\.1 500 Internal Server Error\r\n/);
    assert.match(received, /"code":3007/);
});

test("an error while a request is taken in is answered", async () => {
    const received = await exchange(request, () => {
        throw new Error("no route table");
    });
    assert.match(received, /^HTTP\/1\.1 500 /);
});
