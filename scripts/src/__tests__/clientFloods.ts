/** Client behaviours that make a process spend processor time, memory or slots out of proportion to what is served. */
import { setTimeout as sleep } from "node:timers/promises";
import { type Behaviour, requestHead } from "./outsideCallers.js";

export const chunkedHead = (path: string, client: number): string =>
    requestHead("POST", path, `X-Request-Id: f${client}-${performance.now()}`, "Transfer-Encoding: chunked");

const chunkOf = (bytes: number): string => `${bytes.toString(16)}\r\n${"x".repeat(bytes)}\r\n`;

/** Size of the writes in which clients send many chunks. */
const writeBytes = 60_000;

/** Sends a chunked body of `chunkCount` chunks and never its end. `onSent` is called once everything has been sent. */
export function sendChunks(path: string, chunkBytes: number, chunkCount: number, onSent: () => void = () => {}): Behaviour {
    const chunk = chunkOf(chunkBytes);
    const chunksPerWrite = Math.ceil(writeBytes / chunk.length);
    const data = Buffer.from(chunk.repeat(chunksPerWrite));
    return async ({ write, isOpen }, client) => {
        await write(chunkedHead(path, client));
        for (let sent = 0; sent < chunkCount && isOpen(); sent += chunksPerWrite) {
            await write(data.subarray(0, chunk.length * Math.min(chunksPerWrite, chunkCount - sent)));
        }
        if (isOpen()) {
            onSent();
        }
    };
}

/** Calls `send` for as long as the connection is open, with a pause after each call. */
async function repeatWhileOpen(isOpen: () => boolean, intervalMs: number, send: () => Promise<void>): Promise<void> {
    while (isOpen()) {
        await send();
        await sleep(intervalMs);
    }
}

export interface SlowBody {
    readonly firstBytes: number;
    readonly bytesPerTick: number;
    readonly tickMs: number;
}

/** Sends a body with a declared length, most of it at once and the rest slowly. */
export function sendSlowly({ firstBytes, bytesPerTick, tickMs }: SlowBody): Behaviour {
    const declaredBytes = 1_000_000;
    return async ({ write, isOpen }, client) => {
        const id = `X-Request-Id: s${client}-${performance.now()}`;
        await write(requestHead("POST", "/a/10", id, `Content-Length: ${declaredBytes}`));
        await write(Buffer.alloc(firstBytes, "x"));
        void repeatWhileOpen(isOpen, tickMs, () => write("x".repeat(bytesPerTick)));
    };
}

/** Sends requests one behind the other, each with a new object and id, and reads no response. */
export function sendAhead(requestCount: number, answerBytes: number): Behaviour {
    return async ({ write, stopReading, isOpen }, client) => {
        stopReading();
        for (let sent = 0; sent < requestCount && isOpen(); sent++) {
            const id = `${client}-${sent}-${performance.now()}`;
            await write(requestHead("GET", `/a/${answerBytes}/${id}`, `X-Request-Id: ${id}`, `X-Affinity-Key: key-${id}`));
        }
    };
}

/** Sends the end of a body and then trailer fields for as long as the connection is open. */
export function sendTrailers(path: string): Behaviour {
    const trailers = `a: ${"v".repeat(1_000)}\r\n`.repeat(20);
    return async ({ write, isOpen }, client) => {
        await write(`${chunkedHead(path, client)}${chunkOf(1)}0\r\n`);
        void repeatWhileOpen(isOpen, 5, () => write(trailers));
    };
}

/** Each client does what its number chooses of `behaviours`. */
export const sendMixed = (behaviours: readonly Behaviour[]): Behaviour => (connection, client) =>
    behaviours[client % behaviours.length]!(connection, client);
