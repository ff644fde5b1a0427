/** Responses of a target that are truncated, unsolicited, split or unbounded. */
import { createClockTimer } from "@pimentospring/runtime/time/clockTimer";
import assert from "node:assert/strict";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { test } from "node:test";
import { createTargetConnections, type TargetConnections } from "../targetConnections.js";
import type { TargetResponse } from "../targetResponse.js";

type Outcome = { readonly kind: "answer"; readonly answer: TargetResponse; } | {
    readonly kind: "broken";
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
        connections.send(address, { method: "GET", path: "/", headers: ["Host", "a"], body: undefined }, false, 500, {
            onWriteStart: () => {},
            isExpected: () => true,
            onResponse: answer => resolve({ kind: "answer", answer }),
            onFailure: reason => resolve({ kind: "broken", reason }),
        });
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
        maxBufferedBytes: 3_000_000,
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

test("an answer without a length that ends with its connection is whole", () =>
    withTarget(
        socket => socket.end("HTTP/1.1 200 OK\r\n\r\nwhole"),
        async (connections, address) => {
            const outcome = await get(connections, address);
            assert.equal(outcome.kind === "answer" ? outcome.answer.body.toString() : outcome.reason, "whole");
        },
    ));

test("an answer without a length whose connection is reset is not whole", () =>
    withTarget(
        socket => {
            socket.write("HTTP/1.1 200 OK\r\n\r\npart");
            void pause(30).then(() => socket.resetAndDestroy());
        },
        async (connections, address) => assert.equal((await get(connections, address)).kind, "broken"),
    ));

test("an answer that ends before its declared length is broken", () =>
    withTarget(
        socket => socket.end("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart"),
        async (connections, address) => assert.equal((await get(connections, address)).kind, "broken"),
    ));

test("bytes after a whole answer are not taken for the next one", () =>
    withTarget(
        (socket, turn) => {
            const extra = turn === 0 ? "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra" : "";
            socket.write(`HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood${extra}`);
        },
        async (connections, address) => {
            await get(connections, address);
            const second = await get(connections, address);
            assert.equal(second.kind === "answer" ? second.answer.body.toString() : second.reason, "good");
        },
    ));

test("nothing is said to be written when the connection is refused", async () => {
    const connections = createTargetConnections({ timer: createClockTimer(), maxResponseBytes: 1_000, maxBufferedBytes: 3_000 });
    let isWritten = false;
    const reason = await new Promise<string>(resolve =>
        connections.send("127.0.0.1:1", { method: "GET", path: "/", headers: ["Host", "a"], body: undefined }, false, 500, {
            onWriteStart: () => {
                isWritten = true;
            },
            isExpected: () => true,
            onResponse: () => {},
            onFailure: resolve,
        })
    );
    assert.match(reason, /ECONNREFUSED/);
    assert.equal(isWritten, false);
});

/** Writes the same bytes repeatedly until the peer closes the connection. */
function writeWithoutEnd(socket: Socket, head: string, piece: string): void {
    const bytes = Buffer.from(piece);
    const more = (): void => {
        while (!socket.destroyed && socket.write(bytes)) {
            // Writes until the send buffer is full.
        }
    };
    socket.on("drain", more);
    socket.write(head);
    more();
}

const closed = (socket: Socket): Promise<void> => new Promise(resolve => socket.once("close", () => resolve()));

const endless = {
    "bytes that are no answer": ["", "\0garbage\0".repeat(1_000)],
    "a head": ["HTTP/1.1 200 OK\r\n", "X-More: and more\r\n".repeat(500)],
    "one header": ["HTTP/1.1 200 OK\r\nX-Long: ", "a".repeat(10_000)],
    "interim answers": ["", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n".repeat(100)],
    "a body without a length": ["HTTP/1.1 200 OK\r\n\r\n", "a".repeat(10_000)],
    "a body in chunks": [
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        `${(10_000).toString(16)}\r\n${"a".repeat(10_000)}\r\n`,
    ],
    "trailers": ["HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n", "X-More: and more\r\n".repeat(500)],
} as const;

for (const [what, [head, piece]] of Object.entries(endless)) {
    test(`a target that sends ${what} without end is cut off, and the request fails`, { timeout: 10_000 }, async () => {
        let ends: Promise<void> | undefined;
        await withTarget(
            socket => {
                ends = closed(socket);
                writeWithoutEnd(socket, head, piece);
            },
            async (connections, address) => {
                assert.equal((await get(connections, address)).kind, "broken");
                await ends;
                assert.equal(connections.openCount(), 0);
            },
        );
    });
}

test(
    "many answers without end hold no more memory together than they may, and whole ones still pass",
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
                assert.equal(outcomes.filter(outcome => outcome.kind === "broken").length, 9);
                const outcome = await get(connections, address);
                assert.equal(outcome.kind === "answer" ? outcome.answer.body.toString() : outcome.reason, "whole");
            },
        );
    },
);
