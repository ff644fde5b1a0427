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
import { bodyOf } from "./startedServer.js";

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
        maxUnparsedBytes: 20_000_000,
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
    const received = await exchange(
        request,
        responder => responder.respond({ status: 200, statusText: "OK", rawHeaders, body: bodyOf(body) }, "id"),
    );
    assert.match(received, /Content-Length: 5/);
    assert.match(received, /Connection: keep-alive/);
});

// Guards against MIXED: the end of a connection passed for the end of such a response, whatever had brought it about.
test("a response that a target sent without a length is passed on with one, so that its caller sees if it is cut", async () => {
    for (const framing of [["Connection", "close"], ["Transfer-Encoding", "chunked"]]) {
        const rawHeaders = ["X-Server-Stamp", "s", ...framing];
        const received = await exchange(
            request,
            responder => responder.respond({ status: 200, statusText: "OK", rawHeaders, body: bodyOf(body) }, "id"),
        );
        assert.match(received, /Content-Length: 5\r\n/);
        assert.doesNotMatch(received, /Transfer-Encoding/i);
        assert.match(received, /Connection: keep-alive/);
        assert.match(received, /\r\n\r\nbytes$/);
    }
});

test("an empty response without a length is passed on with the length 0", async () => {
    const received = await exchange(
        request,
        responder => responder.respond({ status: 404, statusText: "", rawHeaders: [], body: bodyOf("") }, "id"),
    );
    assert.match(received, /Content-Length: 0\r\n/);
    assert.match(received, /Connection: keep-alive/);
    assert.match(received, /\r\n\r\n$/);
});

test("a caller of HTTP/1.0 gets the length of a response that has none, and keeps its connection if it asks to", async () => {
    const oldRequest = request.replace("HTTP/1.1", "HTTP/1.0");
    const keptRequest = oldRequest.replace("\r\n\r\n", "\r\nConnection: keep-alive\r\n\r\n");
    for (const [bytes, connection] of [[oldRequest, "close"], [keptRequest, "keep-alive"]] as const) {
        const received = await exchange(
            bytes,
            responder => responder.respond({ status: 200, statusText: "OK", rawHeaders: [], body: bodyOf(body) }, "id"),
        );
        assert.match(received, /Content-Length: 5\r\n/);
        assert.match(received, new RegExp(`Connection: ${connection}\r\n`));
        assert.match(received, /\r\n\r\nbytes$/);
    }
});

test("responses that never have a body get no length of ours, and keep their connection", async () => {
    const headRequest = request.replace("GET", "HEAD");
    for (const [bytes, status] of [[headRequest, 200], [request, 204], [request, 304]] as const) {
        const received = await exchange(
            bytes,
            responder =>
                responder.respond({ status, statusText: "", rawHeaders: ["X-Server-Stamp", "s"], body: bodyOf("") }, "id"),
        );
        assert.match(received, new RegExp(`^HTTP/1\\.1 ${status} `));
        assert.doesNotMatch(received, /Content-Length|Transfer-Encoding/i);
        assert.match(received, /Connection: keep-alive/);
        assert.match(received, /\r\n\r\n$/);
    }
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
        responder => responder.respond({ status: 200, statusText: "OK", rawHeaders, body: bodyOf(body) }, "id"),
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
        maxUnparsedBytes: 20_000_000,
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
        const received = await exchange(
            request,
            responder => responder.respond({ status, statusText, rawHeaders, body: bodyOf(body) }, "id"),
        );
        assert.equal(received.split("\r\n")[0], `HTTP/1.1 ${expected}`);
        assert.match(received, /\r\n\r\nbytes$/);
    }
});

test("a refusal reaches the caller after a response that could not be written", async () => {
    const rawHeaders = ["X-Odd", "a\x0b", "Content-Length", "5"];
    const received = await exchange(request, responder => {
        assert.throws(() => responder.respond({ status: 200, statusText: "Odd", rawHeaders, body: bodyOf(body) }, "id"));
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
