/** Responses of a target that are truncated, unsolicited, split or unbounded. */
import { createClockTimer } from "@pimentospring/runtime/time/clockTimer";
import assert from "node:assert/strict";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { test } from "node:test";
import { createResponseBuffers } from "../responseBuffers.js";
import { createTargetConnections, type TargetConnections } from "../targetConnections.js";
import type { TargetResponse } from "../targetResponse.js";

type Outcome = { readonly kind: "response"; readonly response: TargetResponse; } | {
    readonly kind: "failure";
    readonly reason: string;
};

/** Starts a target that runs `script` whenever a request arrives on a connection. */
async function startTarget(
    script: (socket: Socket, turn: number) => void,
): Promise<{ readonly server: Server; readonly address: string; }> {
    const server = createServer(socket => {
        let turn = 0;
        socket.on("data", () => script(socket, turn++));
        socket.on("error", () => {
            // The daemon closes connections after invalid responses.
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return { server, address: `127.0.0.1:${(server.address() as AddressInfo).port}` };
}

function get(connections: TargetConnections, address: string): Promise<Outcome> {
    return new Promise(resolve => {
        connections.send(
            address,
            { id: undefined, method: "GET", path: "/", headers: ["Host", "a"], body: undefined },
            false,
            500,
            {
                onWriteStart: () => {},
                isExpected: () => true,
                namedRequestId: () => undefined,
                onResponse: response => resolve({ kind: "response", response }),
                onFailure: reason => resolve({ kind: "failure", reason }),
            },
        );
    });
}

async function withTarget(
    script: (socket: Socket, turn: number) => void,
    check: (connections: TargetConnections, address: string) => Promise<void>,
): Promise<void> {
    const { server, address } = await startTarget(script);
    const connections = createTargetConnections({
        timer: createClockTimer(),
        maxResponseBytes: 1_000_000,
        buffers: createResponseBuffers(3_000_000),
        onResponseEnded: () => {},
    });
    try {
        await check(connections, address);
    }
    finally {
        connections.close();
        server.close();
    }
}

const pause = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

// Guards against idle connections that take the descriptors of those in use.
test("beyond the bound on connections, an idle one is closed for each that is opened", async context => {
    const answer = (socket: Socket): void => void socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    const targets = await Promise.all([startTarget(answer), startTarget(answer), startTarget(answer)]);
    const connections = createTargetConnections({
        timer: createClockTimer(),
        maxResponseBytes: 1_000_000,
        maxConnections: 2,
        buffers: createResponseBuffers(3_000_000),
        onResponseEnded: () => {},
    });
    context.after(() => {
        connections.close();
        targets.forEach(({ server }) => server.close());
    });
    for (const { address } of targets) {
        assert.equal((await get(connections, address)).kind, "response");
    }
    assert.equal(connections.openCount(), 2);
});

test("a response without a length is complete when its connection ends", () =>
    withTarget(
        socket => socket.end("HTTP/1.1 200 OK\r\n\r\nwhole"),
        async (connections, address) => {
            const outcome = await get(connections, address);
            assert.equal(outcome.kind === "response" ? outcome.response.body.join().toString() : outcome.reason, "whole");
        },
    ));

test("a response without a length is incomplete when its connection is reset", () =>
    withTarget(
        socket => {
            socket.write("HTTP/1.1 200 OK\r\n\r\npart");
            void pause(30).then(() => socket.resetAndDestroy());
        },
        async (connections, address) => assert.equal((await get(connections, address)).kind, "failure"),
    ));

test("a response shorter than its declared length fails", () =>
    withTarget(
        socket => socket.end("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart"),
        async (connections, address) => assert.equal((await get(connections, address)).kind, "failure"),
    ));

test("bytes after a complete response are not taken for the next response", () =>
    withTarget(
        (socket, turn) => {
            const extra = turn === 0 ? "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra" : "";
            socket.write(`HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood${extra}`);
        },
        async (connections, address) => {
            await get(connections, address);
            const second = await get(connections, address);
            assert.equal(second.kind === "response" ? second.response.body.join().toString() : second.reason, "good");
        },
    ));

test("a refused connection reports no written request", async () => {
    const connections = createTargetConnections({
        timer: createClockTimer(),
        maxResponseBytes: 1_000,
        buffers: createResponseBuffers(3_000),
        onResponseEnded: () => {},
    });
    let isWritten = false;
    const reason = await new Promise<string>(resolve =>
        connections.send(
            "127.0.0.1:1",
            { id: undefined, method: "GET", path: "/", headers: ["Host", "a"], body: undefined },
            false,
            500,
            {
                onWriteStart: () => {
                    isWritten = true;
                },
                isExpected: () => true,
                namedRequestId: () => undefined,
                onResponse: () => {},
                onFailure: resolve,
            },
        )
    );
    assert.match(reason, /ECONNREFUSED/);
    assert.equal(isWritten, false);
});

/** Writes the same bytes repeatedly until the peer closes the connection. */
function writeWithoutEnd(socket: Socket, head: string, piece: string): void {
    const bytes = Buffer.from(piece);
    const writeMore = (): void => {
        while (!socket.destroyed && socket.write(bytes)) {
            // Writes until the send buffer is full.
        }
    };
    socket.on("drain", writeMore);
    socket.write(head);
    writeMore();
}

const closed = (socket: Socket): Promise<void> => new Promise(resolve => socket.once("close", () => resolve()));

const endlessResponses = {
    "bytes that are no HTTP response": ["", "\0garbage\0".repeat(1_000)],
    "a head": ["HTTP/1.1 200 OK\r\n", "X-More: and more\r\n".repeat(500)],
    "one header": ["HTTP/1.1 200 OK\r\nX-Long: ", "a".repeat(10_000)],
    "interim responses": ["", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n".repeat(100)],
    "a body without a length": ["HTTP/1.1 200 OK\r\n\r\n", "a".repeat(10_000)],
    "a body in chunks": [
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        `${(10_000).toString(16)}\r\n${"a".repeat(10_000)}\r\n`,
    ],
    "a body in 1-byte chunks": ["HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n".repeat(5_000)],
    "trailers": ["HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n", "X-More: and more\r\n".repeat(500)],
} as const;

for (const [what, [head, piece]] of Object.entries(endlessResponses)) {
    test(`a target that sends ${what} without end is disconnected, and the request fails`, { timeout: 10_000 }, async () => {
        let socketClosed: Promise<void> | undefined;
        await withTarget(
            socket => {
                socketClosed = closed(socket);
                writeWithoutEnd(socket, head, piece);
            },
            async (connections, address) => {
                assert.equal((await get(connections, address)).kind, "failure");
                await socketClosed;
                assert.equal(connections.openCount(), 0);
            },
        );
    });
}

test(
    "endless responses stay within the total memory limit, and complete responses still pass",
    { timeout: 20_000 },
    async () => {
        let turn = 0;
        const endlessHead = "HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n";
        await withTarget(
            socket => {
                if (turn++ < 12) {
                    // Each stays below the limit for one response and never ends.
                    socket.write(endlessHead + "a".repeat(850_000));
                }
                else {
                    socket.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole");
                }
            },
            async (connections, address) => {
                const outcomes: Outcome[] = [];
                for (let index = 0; index < 12; index++) {
                    void get(connections, address).then(outcome => outcomes.push(outcome));
                }
                await pause(1_000);
                // Three of 850,000 bytes fit into 3,000,000.
                assert.equal(outcomes.filter(outcome => outcome.kind === "failure").length, 9);
                const outcome = await get(connections, address);
                assert.equal(outcome.kind === "response" ? outcome.response.body.join().toString() : outcome.reason, "whole");
            },
        );
    },
);

const invalidStatusLines = {
    "a control character in the reason phrase": "HTTP/1.1 200 O\x0b",
    "a zero byte in the reason phrase": "HTTP/1.1 200 O\x00K",
    "a status under 100": "HTTP/1.1 099 OK",
    "a switch of protocols that nobody asked for": "HTTP/1.1 101 OK",
    "a status of two digits": "HTTP/1.1 20 OK",
};

for (const [what, line] of Object.entries(invalidStatusLines)) {
    // Guards against CONFIG: such a line was passed on, and the caller's server could not write it.
    test(`a response whose status line has ${what} fails and closes its connection`, () =>
        withTarget(
            socket => socket.write(Buffer.from(`${line}\r\nContent-Length: 2\r\n\r\nok`, "latin1")),
            async (connections, address) => {
                assert.equal((await get(connections, address)).kind, "failure");
                assert.equal(connections.openCount(), 0);
            },
        ));
}

// Guards against healthy targets that were taken out of use, and requests that were suspected, for the entry's own lack of memory.
test("a response for which there is no memory is not a failure of its target, and counts no longer", () =>
    withTarget(
        socket => socket.write(`HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n${"x".repeat(800_000)}`),
        async (_connections, address) => {
            const buffers = createResponseBuffers(1_000_000);
            const connections = createTargetConnections({
                timer: createClockTimer(),
                maxResponseBytes: 1_000_000,
                buffers,
                onResponseEnded: () => {},
            });
            const outcomes: string[] = [];
            const outgoing = { id: undefined, method: "GET", path: "/", headers: ["Host", "a"], body: undefined };
            for (let count = 0; count < 3; count++) {
                connections.send(address, outgoing, true, 500, {
                    onWriteStart: () => {},
                    isExpected: () => true,
                    namedRequestId: () => undefined,
                    onResponse: () => outcomes.push("response"),
                    onFailure: reason => outcomes.push(reason),
                    onNoMemory: () => outcomes.push("no memory"),
                });
            }
            await pause(400);
            assert.deepEqual(outcomes, ["no memory", "no memory"]);
            assert.equal(buffers.receivedBytes(), 800_000);
            connections.close();
            await pause(50);
            assert.equal(buffers.receivedBytes(), 0);
        },
    ));
