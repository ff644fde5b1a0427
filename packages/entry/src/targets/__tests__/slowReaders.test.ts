/** Responses of the own interface that are read slowly, over connections that end or that carry another request. */
import assert from "node:assert/strict";
import { createServer as createHttpServer } from "node:http";
import { type AddressInfo, createServer } from "node:net";
import { test } from "node:test";
import { setImmediate as nextTurn } from "node:timers/promises";
import type { AttemptHandle } from "../../exchange/exchange.js";
import { createTargetClient } from "../targetClient.js";

/** More than the buffers of a loopback connection hold. */
const body = Buffer.alloc(16_000_000, "x");
const chunkPauseMs = 2;
const timeoutMs = 10_000;

// Found by the soak's slow callers: the HTTP client fails where a connection ends while its response is paused.
test("a response that is read slowly ends whole although its target closes the connection behind it", async context => {
    const server = createServer(socket => {
        socket.on("error", () => {});
        socket.once("data", () => socket.end(Buffer.concat([Buffer.from("HTTP/1.1 200 OK\r\n\r\n"), body])));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const client = createTargetClient();
    context.after(async () => {
        server.close();
        await client.close();
    });
    let receivedBytes = 0;
    const outcome = await new Promise<string>(resolve => {
        const timeout = setTimeout(() => resolve("no end"), timeoutMs);
        const end = (text: string): void => {
            clearTimeout(timeout);
            resolve(text);
        };
        const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
        const request = { method: "GET", path: "/", headers: { host: "a" }, body: undefined };
        const handle: AttemptHandle = client.send(address, request, 60_000, {
            onNotice: () => {},
            onHead: () => {},
            onData: chunk => {
                receivedBytes += chunk.length;
                setTimeout(() => handle.resume(), chunkPauseMs);
                return false;
            },
            onEnd: () => end("end"),
            onFailure: ({ kind }) => end(kind),
        });
    });
    assert.equal(outcome, "end");
    assert.equal(receivedBytes, body.length);
});

// A reader that lags at the end of a response must not hold up the next one on the connection.
test("a connection whose last response ended while it was paused carries the next one", async context => {
    const connections = new Set<unknown>();
    const server = createHttpServer((request, response) => {
        connections.add(request.socket);
        response.end("whole");
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const client = createTargetClient();
    context.after(async () => {
        await client.close();
        server.close();
    });
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const exchange = (): Promise<string> =>
        new Promise(resolve => {
            const timeout = setTimeout(() => resolve("no end"), timeoutMs);
            const end = (text: string): void => {
                clearTimeout(timeout);
                resolve(text);
            };
            client.send(address, { method: "GET", path: "/", headers: { host: "a" }, body: undefined }, 60_000, {
                onNotice: () => {},
                onHead: () => {},
                onData: () => false,
                onEnd: () => end("end"),
                onFailure: ({ kind }) => end(kind),
            });
        });
    assert.equal(await exchange(), "end");
    // The client returns the connection to its pool after the handler has run.
    await nextTurn();
    assert.equal(await exchange(), "end");
    assert.equal(connections.size, 1);
});
