/**
 * Sends frames of one session: small frames first, then the streams' bodies in turn, a chunk each, so that a short
 * answer never waits behind a long body. Holds back when the socket or the stream's window is full.
 */
import type { WebSocket } from "ws";
import { initialStreamWindowBytes, maxChunkBytes, maxSocketBufferedBytes } from "../constants.js";
import { encodeFrame, type Frame } from "./frames.js";

export interface FrameSender {
    /** Sends a small frame ahead of all bodies. */
    send(frame: Frame): void;
    /** Queues a part of a stream's body; false when the caller should wait for `whenDrained`. */
    sendData(stream: number, bytes: Uint8Array): boolean;
    /** Sends `last` after all queued parts of the stream, and forgets it. */
    finishStream(stream: number, last: Frame): void;
    onDrain(stream: number, listener: () => void): void;
    /** The receiver took bytes of the stream. */
    addCredit(stream: number, bytes: number): void;
    /** Drops what is queued of a stream. */
    discardStream(stream: number): void;
}

interface SendQueue {
    readonly chunks: Uint8Array[];
    queuedBytes: number;
    windowBytes: number;
    finalFrame: Frame | undefined;
    drainListener: (() => void) | undefined;
}

/** Bytes of a stream that may be queued before its source is asked to wait. */
const maxQueuedBytes = 64 * 1024;

export function createFrameSender(socket: WebSocket): FrameSender {
    const streams = new Map<number, SendQueue>();
    let isPumping = false;

    const queueOf = (stream: number): SendQueue => {
        let found = streams.get(stream);
        if (found === undefined) {
            found = {
                chunks: [],
                queuedBytes: 0,
                windowBytes: initialStreamWindowBytes,
                finalFrame: undefined,
                drainListener: undefined,
            };
            streams.set(stream, found);
        }
        return found;
    };
    const write = (frame: Frame): void => {
        if (socket.readyState === socket.OPEN) {
            socket.send(encodeFrame(frame));
        }
    };
    /** Takes the next chunk of a stream within its window. */
    const takeChunk = (found: SendQueue): Uint8Array | undefined => {
        const first = found.chunks[0];
        const size = first === undefined ? 0 : Math.min(first.length, maxChunkBytes, found.windowBytes);
        if (first === undefined || size === 0) {
            return undefined;
        }
        if (size === first.length) {
            found.chunks.shift();
        }
        else {
            found.chunks[0] = first.subarray(size);
        }
        found.queuedBytes -= size;
        found.windowBytes -= size;
        return first.subarray(0, size);
    };
    const notifyDrain = (found: SendQueue): void => {
        if (found.queuedBytes < maxQueuedBytes && found.drainListener !== undefined) {
            const listener = found.drainListener;
            found.drainListener = undefined;
            listener();
        }
    };
    /** Gives each stream one chunk; returns whether any had one. */
    const sendRound = (): boolean => {
        let sent = false;
        for (const [stream, found] of streams) {
            const chunk = takeChunk(found);
            if (chunk !== undefined) {
                write({ kind: "data", stream, bytes: chunk });
                sent = true;
                notifyDrain(found);
            }
            if (found.chunks.length === 0 && found.finalFrame !== undefined) {
                write(found.finalFrame);
                streams.delete(stream);
            }
        }
        return sent;
    };
    const pump = (): void => {
        if (isPumping || socket.readyState !== socket.OPEN) {
            return;
        }
        let sent = true;
        while (sent && socket.bufferedAmount < maxSocketBufferedBytes) {
            sent = sendRound();
        }
        if (sent) {
            isPumping = true;
            // An empty frame's callback comes when all before it was written.
            socket.ping(undefined, undefined, () => {
                isPumping = false;
                pump();
            });
        }
    };
    return {
        send: write,
        sendData: (stream, bytes) => {
            const found = queueOf(stream);
            if (bytes.length > 0) {
                found.chunks.push(bytes);
                found.queuedBytes += bytes.length;
            }
            pump();
            return found.queuedBytes < maxQueuedBytes;
        },
        finishStream: (stream, last) => {
            queueOf(stream).finalFrame = last;
            pump();
        },
        onDrain: (stream, listener) => {
            const found = queueOf(stream);
            found.drainListener = listener;
            // Never at once: the source stops only after it was told to, and would stay stopped.
            queueMicrotask(() => notifyDrain(found));
        },
        addCredit: (stream, bytes) => {
            const found = streams.get(stream);
            if (found !== undefined) {
                found.windowBytes += bytes;
                pump();
            }
        },
        discardStream: stream => void streams.delete(stream),
    };
}
