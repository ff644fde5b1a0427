/** Callers that read slowly, or whose requests are on their way, while an entry stops. */
import assert from "node:assert/strict";
import { type AddressInfo, connect, Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { createResponseBuffers, type ResponseBuffers } from "../../targets/responseBuffers.js";
import type { CallerResponder } from "../callerResponder.js";
import type { CallerServer } from "../callerServer.js";
import { bodyOf, startCallerServer } from "./startedServer.js";

const pause = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));
/** More than the buffers of a loopback connection hold. */
const body = Buffer.alloc(24_000_000, "x");
/** Room for one body. */
const maxResponseBytes = body.length;
const request = "GET /a/1 HTTP/1.1\r\nHost: a.example\r\n\r\n";

async function startServer(
    context: TestContext,
): Promise<{ readonly callers: CallerServer; readonly buffers: ResponseBuffers; readonly connectCaller: () => Socket; }> {
    const buffers = createResponseBuffers(maxResponseBytes);
    const { callers, port } = await startCallerServer(context, {
        responseBuffers: buffers,
        onRequest: ({ path }, responder) => {
            const isLong = path.startsWith("/long");
            const rawHeaders = path.endsWith("/unframed") ? [] : ["Content-Length", "0"];
            responder.respond({ status: 200, statusText: "OK", rawHeaders, body: bodyOf(isLong ? body : "ok") }, "id");
            return () => {};
        },
    });
    return { callers, buffers, connectCaller: () => connect(port, "127.0.0.1").on("error", () => {}) };
}

// Guards against LOST: a response that had been ended but not yet written counted as one of an idle connection.
test("a response that waits to be written to a slow caller arrives whole although idle connections are closed", async context => {
    const { callers, connectCaller } = await startServer(context);
    const socket = connectCaller();
    let receivedBytes = 0;
    socket.write(request.replace("/a/", "/long/"));
    await pause(200);
    callers.disableKeepAlive();
    assert.equal(callers.openRequestCount(), 1);
    const checks = setInterval(callers.closeIdleConnections, 10);
    context.after(() => clearInterval(checks));
    await pause(100);
    socket.on("data", chunk => {
        receivedBytes += chunk.length;
        socket.pause();
        setTimeout(() => socket.resume(), 1);
    });
    await new Promise(resolve => socket.once("close", resolve));
    assert.ok(receivedBytes > body.length, `${receivedBytes} bytes`);
});

test("connections without a request are closed, those on which a request has begun to arrive are not", async context => {
    const { callers, connectCaller } = await startServer(context);
    const [unused, used, arriving, next] = [connectCaller(), connectCaller(), connectCaller(), connectCaller()] as const;
    const ended = [unused, used, arriving, next].map(() => false);
    const texts = ended.map(() => "");
    [unused, used, arriving, next].forEach((socket, index) => {
        socket.on("data", chunk => {
            texts[index] += String(chunk);
        });
        socket.once("close", () => {
            ended[index] = true;
        });
    });
    used.write(request);
    arriving.write(request.slice(0, 20));
    next.write(request);
    await pause(100);
    next.write(request.slice(0, 20));
    await pause(500);
    const fresh = connectCaller();
    await pause(50);
    callers.closeIdleConnections();
    await pause(100);
    assert.deepEqual(ended, [true, true, false, false]);
    // Guards against a cut: a connection that had just been opened was closed before its first request was read.
    fresh.write(request);
    assert.match(await new Promise(resolve => fresh.once("data", data => resolve(String(data)))), /^HTTP\/1\.1 200 /);
    arriving.write(request.slice(20));
    next.write(request.slice(20));
    await pause(100);
    assert.deepEqual(texts.map(text => text.split("HTTP/1.1 200").length - 1), [0, 1, 1, 2]);
});

// Guards against FAULT: responses that callers had yet to read were not counted, and the process was killed for its memory.
test("a slow caller's response is cut when memory runs short, and does not look complete without a length either", async context => {
    // Counted at the server: Node's clients report a reset that follows a partial read as an end.
    const resets = context.mock.method(Socket.prototype, "resetAndDestroy");
    const { callers, buffers, connectCaller } = await startServer(context);
    const slow = connectCaller();
    let receivedBytes = 0;
    slow.write("GET /long/unframed HTTP/1.1\r\nHost: a.example\r\n\r\n");
    await pause(200);
    // Responses that are received from targets take the memory but for a small one's.
    buffers.recordBytes(maxResponseBytes - 1_000);
    const other = connectCaller();
    const answer = new Promise(resolve => other.once("data", data => resolve(String(data))));
    other.write(request);
    assert.match(String(await answer), /^HTTP\/1\.1 200 /);
    assert.equal(resets.mock.callCount(), 1);
    slow.on("data", chunk => {
        receivedBytes += chunk.length;
    });
    await new Promise(resolve => slow.once("close", resolve));
    assert.ok(receivedBytes < body.length, `${receivedBytes} bytes`);
    assert.equal(callers.openRequestCount(), 0);
});

// A response that waits behind another one on its connection has no socket of its own yet.
test("a response that is given up for memory behind another one on its connection resets the connection", async context => {
    const started: CallerResponder[] = [];
    const { callers, port } = await startCallerServer(context, {
        responseBuffers: createResponseBuffers(maxResponseBytes),
        onRequest: (_request, responder) => {
            // Both are started before either is answered: behind an unread response of this size none would be.
            if (started.push(responder) === 2) {
                started.forEach(each =>
                    each.respond({ status: 200, statusText: "OK", rawHeaders: [], body: bodyOf(body) }, "id")
                );
            }
            return () => {};
        },
    });
    const socket = connect(port, "127.0.0.1").on("error", () => {});
    const closed = new Promise(resolve => socket.once("close", resolve));
    socket.write(request.replace("/a/", "/long/").repeat(2));
    await Promise.race([closed, pause(5_000)]);
    assert.equal(started.length, 2);
    assert.equal(callers.openConnectionCount(), 0);
});

// Refused for its timeout, it kept its connection, of which there is a limited number.
test("a caller that sends half a request and never closes loses its connection", async context => {
    const { callers } = await startServer(context);
    callers.setLimits({ maxHeaderBytes: 16_384, maxBodyBytes: 1_000_000, headerTimeoutMs: 300, idleTimeoutMs: 15_000 });
    const { port } = callers.server.address() as AddressInfo;
    const socket = connect({ port, host: "127.0.0.1", allowHalfOpen: true }).on("error", () => {});
    context.after(() => socket.destroy());
    socket.write("GET /a/1 HTTP/1.1\r\nHost:");
    await pause(300);
    assert.equal(callers.openConnectionCount(), 1);
    await pause(4_000);
    assert.equal(callers.openConnectionCount(), 0);
});
