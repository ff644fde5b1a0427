/** Requests that a caller sends ahead: bounded, started in order, and not behind a response that closes the connection. */
import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import type { CallerResponder } from "../callerResponder.js";
import type { CallerServer } from "../callerServer.js";
import { bodyOf, startCallerServer } from "./startedServer.js";

interface Started {
    readonly path: string;
    readonly responder: CallerResponder;
}

interface Fixture {
    readonly callers: CallerServer;
    readonly started: Started[];
    readonly connectCaller: () => { readonly socket: Socket; readonly received: () => string; };
}

async function startServer(context: TestContext, onStarted: (started: Started) => void = () => {}): Promise<Fixture> {
    const started: Started[] = [];
    const { callers, port } = await startCallerServer(context, {
        onRequest: ({ path }, responder) => {
            started.push({ path, responder });
            onStarted({ path, responder });
            return () => {};
        },
    });
    const connectCaller = (): ReturnType<Fixture["connectCaller"]> => {
        const socket = connect(port, "127.0.0.1").on("error", () => {});
        context.after(() => socket.destroy());
        let received = "";
        socket.on("data", chunk => {
            received += chunk.toString("latin1");
        });
        return { socket, received: () => received };
    };
    return { callers, started, connectCaller };
}

const get = (path: string | number, ...fields: readonly string[]): string =>
    [`GET /${path} HTTP/1.1`, "Host: a.example", ...fields, "", ""].join("\r\n");
const answer = ({ path, responder }: Started, body: Buffer | string = path): void =>
    responder.respond({ status: 200, statusText: "OK", rawHeaders: [], body: bodyOf(body) }, path);

async function until(condition: () => boolean): Promise<void> {
    for (let attempt = 0; attempt < 500 && !condition(); attempt++) {
        await delay(10);
    }
    assert.ok(condition(), condition.toString());
}

// Guards against callers with one request that got no response behind thousands of another one.
test("of many requests sent ahead, few are read and fewer started, and all are answered in order", async context => {
    const { callers, started, connectCaller } = await startServer(context);
    const { socket, received } = connectCaller();
    const paths = Array.from({ length: 2_000 }, (_, index) => `/r${index}.`);
    socket.write(paths.map(path => get(path.slice(1))).join(""));
    await until(() => started.length === 32);
    await delay(100);
    assert.equal(started.length, 32);
    // Those of a piece of a read, at most, beyond the bound.
    assert.ok(callers.openRequestCount() < 400, `${callers.openRequestCount()}`);
    connectCaller().socket.write(get("other"));
    await until(() => started.some(({ path }) => path === "/other"));
    for (let answered = 0; answered < paths.length + 1; answered++) {
        await until(() => started.length > answered);
        answer(started[answered]!);
    }
    await until(() => received().endsWith(paths.at(-1)!));
    assert.deepEqual(received().match(/\/r\d+\./g), paths);
});

test("tens of requests sent ahead, with bodies, are all started at once", async context => {
    const { started, connectCaller } = await startServer(context);
    const body = "x".repeat(3_000);
    const requests = Array.from(
        { length: 30 },
        (_, index) => get(index, `Content-Length: ${body.length}`).replace("GET", "POST") + body,
    );
    connectCaller().socket.write(requests.join(""));
    await until(() => started.length === 30);
});

// Guards against a body that was no longer read as its connection had as many requests as are allowed.
test("the last request of as many as are read gets its body read, and does not wait for the others", async context => {
    const { callers, connectCaller } = await startServer(context);
    const { socket } = connectCaller();
    socket.write(Array.from({ length: 127 }, (_, index) => get(index)).join(""));
    await until(() => callers.openRequestCount() === 127);
    const bodyBytes = 600_000;
    socket.write(
        get("body", `Content-Length: ${bodyBytes}`).replace("GET", "POST") + "x".repeat(bodyBytes) + get("next").repeat(2_000),
    );
    await until(() => callers.bodyBytes() >= bodyBytes);
    await delay(50);
    // Those of a piece of a read, at most, beyond the bound.
    assert.ok(callers.openRequestCount() < 528, `${callers.openRequestCount()}`);
});

test("no request is started while its caller leaves many bytes of responses unread", async context => {
    const { started, connectCaller } = await startServer(context, each => answer(each, Buffer.alloc(8_000_000)));
    const { socket } = connectCaller();
    socket.pause();
    socket.write(Array.from({ length: 30 }, (_, index) => get(index)).join(""));
    await delay(500);
    assert.ok(started.length < 10, `${started.length}`);
    socket.resume();
    await until(() => started.length === 30);
});

test("requests behind one that closes the connection are not started", async context => {
    const { started, connectCaller } = await startServer(context, answer);
    const { socket, received } = connectCaller();
    const closed = new Promise(resolve => socket.once("close", resolve));
    socket.write(get("first") + get("last", "Connection: close") + get("behind"));
    await closed;
    assert.deepEqual(started.map(({ path }) => path), ["/first", "/last"]);
    assert.equal(received().match(/HTTP\/1\.1 200/g)?.length, 2);
});

test("requests that wait when a stop begins are not started behind the response that closes the connection", async context => {
    const { callers, started, connectCaller } = await startServer(context);
    const { socket } = connectCaller();
    const closed = new Promise(resolve => socket.once("close", resolve));
    socket.write(Array.from({ length: 60 }, (_, index) => get(index)).join(""));
    await until(() => started.length === 32);
    callers.disableKeepAlive();
    answer(started[0]!);
    await closed;
    await delay(50);
    assert.equal(started.length, 32);
});

// Guards against connections that were held for as long as their callers wished.
test("trailers that do not end, and too much framing, are refused as not run", async context => {
    const { callers, started, connectCaller } = await startServer(context);
    callers.setLimits({ maxHeaderBytes: 16_384, maxBodyBytes: 1_000_000, headerTimeoutMs: 300, idleTimeoutMs: 15_000 });
    const head = get("chunked", "Transfer-Encoding: chunked").replace("GET", "POST");
    const trailers = connectCaller();
    trailers.socket.write(`${head}1\r\nx\r\n0\r\n`);
    const extensions = connectCaller();
    extensions.socket.write(head);
    const pieces = setInterval(() => {
        trailers.socket.write("a: b\r\n");
        extensions.socket.write(`1;${"e".repeat(10_000)}\r\nx\r\n`);
    }, 5);
    context.after(() => clearInterval(pieces));
    await until(() => trailers.received() !== "" && extensions.received() !== "");
    assert.match(trailers.received(), /^HTTP\/1\.1 408 [^]*X-Pimento-Result: 4012/);
    assert.match(extensions.received(), /^HTTP\/1\.1 400 [^]*X-Pimento-Result: 4017/);
    await until(() => trailers.socket.destroyed && extensions.socket.destroyed);
    assert.equal(started.length, 0);
    assert.equal(callers.bodyBytes(), 0);
});

test("a body in 1-byte chunks that pauses now and then, with a short trailer, is accepted", async context => {
    const { callers, started, connectCaller } = await startServer(context);
    callers.setLimits({ maxHeaderBytes: 16_384, maxBodyBytes: 1_000_000, headerTimeoutMs: 300, idleTimeoutMs: 15_000 });
    const { socket } = connectCaller();
    socket.write(get("chunked", "Transfer-Encoding: chunked").replace("GET", "POST"));
    for (let part = 0; part < 4; part++) {
        socket.write("1\r\nx\r\n".repeat(20_000));
        await delay(700);
    }
    socket.write("0\r\na: b\r\n\r\n");
    await until(() => started.length === 1);
});
