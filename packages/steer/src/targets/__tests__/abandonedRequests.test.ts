/** Requests that were given up while their bytes still waited to be sent, at targets that read them later. */
import { createClockTimer } from "@pimentospring/runtime/time/clockTimer";
import assert from "node:assert/strict";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { createResponseBuffers } from "../responseBuffers.js";
import { createTargetConnections, type TargetConnections } from "../targetConnections.js";

/** More than a socket takes from a peer that reads nothing, and less than the system buffers on both sides together. */
const bodyBytes = 400_000;
const body = Buffer.alloc(bodyBytes, "a");
/** Time in which the system has taken the request from this process. */
const bufferingMs = 200;
const pause = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

interface PausedTarget {
    readonly address: string;
    /** Reads what arrived on the first connection until its end. */
    readAll(): Promise<{ readonly bytes: number; readonly isReset: boolean; }>;
}

/** Starts a target that accepts connections and reads nothing before it is told to. */
async function startPausedTarget(context: TestContext): Promise<PausedTarget> {
    let accept: (socket: Socket) => void = () => {};
    const accepted = new Promise<Socket>(resolve => accept = resolve);
    const server = createServer({ pauseOnConnect: true }, socket => accept(socket));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    context.after(() => void server.close());
    return {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        readAll: async () => {
            const socket = await accepted;
            let bytes = 0;
            let isReset = false;
            socket.on("data", chunk => bytes += chunk.length);
            socket.on("error", () => isReset = true);
            const closed = new Promise(resolve => socket.once("close", resolve));
            socket.resume();
            await closed;
            return { bytes, isReset };
        },
    };
}

function createConnections(context: TestContext): TargetConnections {
    const connections = createTargetConnections({
        timer: createClockTimer(),
        maxResponseBytes: 1_000,
        buffers: createResponseBuffers(3_000),
        onResponseEnded: () => {},
    });
    context.after(connections.close);
    return connections;
}

async function sendBody(connections: TargetConnections, address: string): Promise<() => void> {
    let isWritten = false;
    const headers = ["Host", "a", "Content-Length", String(bodyBytes)];
    const cancel = connections.send(address, { id: "r1", method: "PUT", path: "/", headers, body }, true, 500, {
        onWriteStart: () => isWritten = true,
        isExpected: () => true,
        namedRequestId: () => undefined,
        onResponse: () => {},
        onFailure: () => {},
    });
    await pause(bufferingMs);
    assert.ok(isWritten);
    return cancel;
}

test("a target that reads again does not get a request that was cancelled meanwhile", { timeout: 10_000 }, async context => {
    const target = await startPausedTarget(context);
    const cancel = await sendBody(createConnections(context), target.address);
    cancel();
    await pause(bufferingMs);
    assert.ok((await target.readAll()).bytes < bodyBytes);
});

test("a target that reads again does not get a request of a daemon that has stopped", { timeout: 10_000 }, async context => {
    const target = await startPausedTarget(context);
    const connections = createConnections(context);
    await sendBody(connections, target.address);
    connections.close();
    await pause(bufferingMs);
    assert.ok((await target.readAll()).bytes < bodyBytes);
});

test("an idle connection is closed in order", { timeout: 10_000 }, async context => {
    let isReset = false;
    let ended: () => void = () => {};
    const end = new Promise<void>(resolve => ended = resolve);
    const server = createServer(socket => {
        socket.on("data", () => socket.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
        socket.on("error", () => isReset = true);
        socket.on("close", () => ended());
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    context.after(() => void server.close());
    const connections = createConnections(context);
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const cancel = await new Promise<() => void>(resolve => {
        const cancelSent = connections.send(
            address,
            { id: undefined, method: "GET", path: "/", headers: [], body: undefined },
            true,
            500,
            {
                onWriteStart: () => {},
                isExpected: () => true,
                namedRequestId: () => undefined,
                onResponse: () => resolve(cancelSent),
                onFailure: reason => assert.fail(reason),
            },
        );
    });
    // A cancellation that comes after the response concerns nothing any more.
    cancel();
    assert.equal(connections.openCount(), 1);
    connections.closeIdle(address);
    await end;
    assert.equal(isReset, false);
});
