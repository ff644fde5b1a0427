/** Callers of a platform's or an operator's interface that hold connections, or send many requests ahead. */
import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { createClockTimer } from "../../time/clockTimer.js";
import { boundConnections } from "../boundedConnections.js";
import { closeServer, createRouter, listen, readBody } from "../jsonServer.js";

const request = "GET /works HTTP/1.1\r\nHost: a\r\n\r\n";

async function startRouter(context: TestContext): Promise<() => Socket> {
    const server = createRouter({
        "GET /works": (_request, response) => void response.end("fine"),
        "GET /waits": () => {},
    }, () => {});
    boundConnections({ server, timer: createClockTimer(), maxConnections: 10, maxBodyBytes: 0 });
    const { port } = await listen(server, "127.0.0.1", 0);
    context.after(() => closeServer(server));
    return () => connect(port, "127.0.0.1").on("error", () => {});
}

// Guards against probes of the platform that got no connection, or no descriptor, while others held theirs open.
test("connections on which blank lines arrive make room for others", async context => {
    const connectCaller = await startRouter(context);
    const held = Array.from({ length: 20 }, () => connectCaller());
    held.forEach(socket => socket.write(request));
    const lines = setInterval(() => held.forEach(socket => socket.write("\r\n")), 20);
    context.after(() => {
        clearInterval(lines);
        held.forEach(socket => socket.destroy());
    });
    await delay(200);
    for (let attempt = 0; attempt < 5; attempt++) {
        const caller = connectCaller();
        caller.write(request);
        const text = await Promise.race([once(caller, "data").then(String), once(caller, "close").then(() => "")]);
        caller.destroy();
        if (text.startsWith("HTTP/1.1 200")) {
            return;
        }
    }
    assert.fail("no caller was served");
});

// Guards against thousands of large responses made from one read.
test("a connection that sends many requests ahead is closed", async context => {
    const connectCaller = await startRouter(context);
    const socket = connectCaller();
    socket.write(request.replace("works", "waits").repeat(100));
    await once(socket, "close");
});

// Guards against seconds of parsing for bodies that nobody reads.
test("a request with a body that the server has no use for is answered, and nothing more of it is read", async context => {
    const connectCaller = await startRouter(context);
    const socket = connectCaller();
    let received = "";
    socket.on("data", chunk => {
        received += String(chunk);
    });
    socket.write("GET /works HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
    const chunks = setInterval(() => socket.write("1\r\nx\r\n".repeat(100)), 5);
    context.after(() => clearInterval(chunks));
    await once(socket, "close");
    assert.match(received, /^HTTP\/1\.1 200 [^]*fine$/);
});

// Guards against FAULT: each chunk was kept as a buffer of its own.
test("a body of many small chunks is read whole in little memory", async () => {
    const count = 2_000_000;
    let largestHeap = 0;
    const heapBefore = process.memoryUsage().heapUsed;
    async function* chunks(): AsyncGenerator<Buffer> {
        for (let index = 0; index < count; index++) {
            if (index % 100_000 === 0) {
                largestHeap = Math.max(largestHeap, process.memoryUsage().heapUsed);
                await delay(0);
            }
            yield Buffer.from([index % 251]);
        }
    }
    const body = await readBody(chunks(), count);
    assert.ok(body.every((value, index) => value === index % 251) && body.length === count);
    assert.ok(largestHeap - heapBefore < 80_000_000, `${largestHeap - heapBefore}`);
});
