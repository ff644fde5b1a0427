/** Large request bodies: the memory that they hold, refusals before a body is complete, and callers that stop halfway. */
import { silentLog } from "@pimentospring/runtime/logs/log";
import { createClockTimer } from "@pimentospring/runtime/time/clockTimer";
import assert from "node:assert/strict";
import { type AddressInfo, connect, type Socket } from "node:net";
import { afterEach, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { createResponseBuffers } from "../../targets/responseBuffers.js";
import type { CallerResponder } from "../callerResponder.js";
import { type CallerRequest, type CallerServer, type CallerServerOptions, createCallerServer } from "../callerServer.js";
import { bodyOf } from "./startedServer.js";

const maxBufferedBytes = 200_000;
const upload = (bytes: number): string => `POST /a/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: ${bytes}\r\n\r\n`;

interface Accepted {
    readonly request: CallerRequest;
    readonly responder: CallerResponder;
}

interface Caller {
    readonly socket: Socket;
    received(): string;
}

let callerServer: CallerServer;
let accepted: Accepted[];
const sockets: Socket[] = [];

async function startServer(options: Partial<CallerServerOptions> = {}): Promise<void> {
    accepted = [];
    callerServer = createCallerServer({
        log: silentLog,
        timer: createClockTimer(),
        maxBufferedBytes,
        maxUnparsedBytes: 20_000_000,
        maxConnections: 1_000,
        isMemoryScarce: () => false,
        responseBuffers: createResponseBuffers(64_000_000),
        onRequest: (request, responder) => {
            accepted.push({ request, responder });
            return () => {};
        },
        ...options,
    });
    await new Promise<void>(resolve => callerServer.server.listen(0, "127.0.0.1", resolve));
}

function call(...parts: readonly (string | Buffer)[]): Caller {
    const socket = connect((callerServer.server.address() as AddressInfo).port, "127.0.0.1");
    sockets.push(socket);
    let received = "";
    socket.on("data", chunk => {
        received += chunk.toString("latin1");
    });
    socket.on("error", () => {
        // Seen by the assertions as a missing response.
    });
    parts.forEach(part => socket.write(part));
    return { socket, received: () => received };
}

async function until(condition: () => boolean): Promise<void> {
    for (let attempt = 0; attempt < 200 && !condition(); attempt++) {
        await delay(10);
    }
    assert.ok(condition(), condition.toString());
}

afterEach(() => {
    sockets.splice(0).forEach(socket => socket.destroy());
    callerServer.server.closeAllConnections();
    callerServer.server.close();
});

test("bodies beyond the memory for all callers are refused with a time to retry, and the others are served", async () => {
    await startServer();
    const holders = [call(upload(150_000), Buffer.alloc(90_000)), call(upload(150_000), Buffer.alloc(90_000))];
    await until(() => callerServer.openRequestCount() === 2);
    await delay(50);
    const refused = call(upload(60_000), Buffer.alloc(60_000));
    await until(() => refused.received().includes("\r\n\r\n"));
    assert.match(refused.received(), /^HTTP\/1\.1 503 [^]*Retry-After: 0\.500/);
    assert.equal(accepted.length, 0);
    const small = call("GET /a/1 HTTP/1.1\r\nHost: a.example\r\n\r\n");
    await until(() => accepted.length === 1);
    accepted[0]!.responder.respond({
        status: 200,
        statusText: "OK",
        rawHeaders: ["Content-Length", "2"],
        body: bodyOf("ok"),
    }, "id");
    await until(() => small.received().endsWith("ok"));
    holders.forEach(({ socket }) => socket.destroy());
});

test("a caller that stops halfway is never routed, and the memory of its body is free again", async () => {
    await startServer();
    for (let round = 0; round < 4; round++) {
        const half = call(upload(180_000), Buffer.alloc(120_000));
        await until(() => callerServer.openRequestCount() === 1);
        await delay(30);
        half.socket.destroy();
        await until(() => callerServer.openRequestCount() === 0);
    }
    call(upload(180_000), Buffer.alloc(180_000));
    await until(() => accepted.length === 1);
    assert.equal(accepted[0]!.request.body.length, 180_000);
});

test("a refusal reaches a caller that goes on sending its body", async () => {
    await startServer();
    callerServer.setLimits({ maxHeaderBytes: 16_384, maxBodyBytes: 1_000, headerTimeoutMs: 3_000, idleTimeoutMs: 3_000 });
    const caller = call(upload(40_000_000), Buffer.alloc(4_000_000));
    for (let part = 0; part < 9; part++) {
        await delay(20);
        caller.socket.write(Buffer.alloc(4_000_000));
    }
    await until(() => caller.received().includes("bodyTooLarge"));
    assert.match(caller.received(), /^HTTP\/1\.1 413 /);
});

test("a request counts as open until its response is sent whole, so that a stop waits for it", async () => {
    await startServer();
    const caller = call("GET /a/1 HTTP/1.1\r\nHost: a.example\r\n\r\n");
    caller.socket.pause();
    await until(() => accepted.length === 1);
    const body = Buffer.alloc(30_000_000, "x");
    const rawHeaders = ["Content-Length", String(body.length)];
    accepted[0]!.responder.respond({ status: 200, statusText: "OK", rawHeaders, body: bodyOf(body) }, "id");
    await delay(100);
    assert.equal(callerServer.openRequestCount(), 1);
    caller.socket.resume();
    await until(() => callerServer.openRequestCount() === 0);
    await until(() => caller.received().length > body.length);
});

// Guards against a request without a body that is refused since others' bodies fill the memory.
test("where memory is scarce, a body that has stalled makes room for the next request", async () => {
    let isScarce = false;
    await startServer({ isMemoryScarce: () => isScarce });
    const stalled = call(upload(150_000), Buffer.alloc(90_000));
    await until(() => callerServer.bodyBytes() > 0);
    await delay(600);
    isScarce = true;
    call("GET /a/1 HTTP/1.1\r\nHost: a.example\r\n\r\n");
    await until(() => accepted.length === 1);
    await until(() => stalled.received().includes("requestTooSlow"));
    assert.match(stalled.received(), /^HTTP\/1\.1 408 /);
    assert.equal(callerServer.bodyBytes(), 0);
    const refused = call("GET /a/2 HTTP/1.1\r\nHost: a.example\r\n\r\n");
    await until(() => refused.received().includes("noMemory"));
    assert.equal(accepted.length, 1);
});

// Guards against a process that parses 1-byte chunks for as long as their callers wish.
test("while the process is behind, bodies in 1-byte chunks are refused as not run, and one of them alone is served", async () => {
    await startServer({ maxBufferedBytes: 20_000_000 });
    callerServer.setLimits({ maxHeaderBytes: 16_384, maxBodyBytes: 1_000_000, headerTimeoutMs: 3_000, idleTimeoutMs: 3_000 });
    const head = "POST /a/1 HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n";
    const chunks = (count: number): Buffer => Buffer.from("1\r\nx\r\n".repeat(count));
    const alone = call(head, chunks(100_000), "0\r\n\r\n");
    await until(() => accepted.length === 1);
    assert.equal(accepted[0]!.request.body.length, 100_000);
    alone.socket.destroy();
    const callers = Array.from({ length: 16 }, () => call(head, chunks(900_000)));
    const isRefused = ({ received }: Caller): boolean => received().includes("tooManyChunks");
    for (let attempt = 0; attempt < 600 && callers.filter(isRefused).length < 12; attempt++) {
        await delay(50);
    }
    const refused = callers.filter(isRefused);
    assert.ok(refused.length >= 12, `${refused.length} refused`);
    assert.match(refused[0]!.received(), /^HTTP\/1\.1 503 [^]*Retry-After: 5\.000/);
    assert.equal(accepted.length, 1);
});
