/**
 * Sends the frames of one session: control frames at once, bodies round-robin with one chunk per stream, so that a short
 * response never waits behind a long body. Pauses while the socket's buffer or the stream's window is full.
 */
import type { WebSocket } from "ws";
import { initialStreamWindowBytes, maxChunkBytes, maxSocketBufferedBytes } from "../constants.js";
import { encodeFrame, type Frame } from "./frames.js";

export interface FrameSender {
    /** Sends a control frame ahead of all queued bodies. */
    send(frame: Frame): void;
    /** Queues a part of a stream's body; returns false when the source should wait for `onDrain`. */
    sendData(stream: number, bytes: Uint8Array): boolean;
    /** Sends `finalFrame` after all queued chunks of the stream, and removes the stream. */
    finishStream(stream: number, finalFrame: Frame): void;
    onDrain(stream: number, listener: () => void): void;
    /** Adds credit granted by the receiver to the stream's window. */
    addCredit(stream: number, bytes: number): void;
    /** Discards what is queued of a stream. */
    discardStream(stream: number): void;
}

interface SendQueue {
    readonly chunks: Uint8Array[];
    queuedBytes: number;
    windowBytes: number;
    finalFrame: Frame | undefined;
    drainListener: (() => void) | undefined;
}

/** Bytes queued of a stream above which its source is asked to wait. */
const maxQueuedBytes = 64 * 1024;

export function createFrameSender(socket: WebSocket): FrameSender {
    const streams = new Map<number, SendQueue>();
    let isPumping = false;

    const queueOf = (stream: number): SendQueue => {
        let queue = streams.get(stream);
        if (queue === undefined) {
            queue = {
                chunks: [],
                queuedBytes: 0,
                windowBytes: initialStreamWindowBytes,
                finalFrame: undefined,
                drainListener: undefined,
            };
            streams.set(stream, queue);
        }
        return queue;
    };
    const write = (frame: Frame): void => {
        if (socket.readyState === socket.OPEN) {
            socket.send(encodeFrame(frame));
        }
    };
    /** Removes the next chunk from a stream's queue, as far as its window allows. */
    const takeChunk = (queue: SendQueue): Uint8Array | undefined => {
        const first = queue.chunks[0];
        const size = first === undefined ? 0 : Math.min(first.length, maxChunkBytes, queue.windowBytes);
        if (first === undefined || size === 0) {
            return undefined;
        }
        if (size === first.length) {
            queue.chunks.shift();
        }
        else {
            queue.chunks[0] = first.subarray(size);
        }
        queue.queuedBytes -= size;
        queue.windowBytes -= size;
        return first.subarray(0, size);
    };
    const notifyDrain = (queue: SendQueue): void => {
        if (queue.queuedBytes < maxQueuedBytes && queue.drainListener !== undefined) {
            const listener = queue.drainListener;
            queue.drainListener = undefined;
            listener();
        }
    };
    /** Sends one chunk of each stream; returns whether any was sent. */
    const sendRound = (): boolean => {
        let sent = false;
        for (const [stream, queue] of streams) {
            const chunk = takeChunk(queue);
            if (chunk !== undefined) {
                write({ kind: "data", stream, bytes: chunk });
                sent = true;
                notifyDrain(queue);
            }
            if (queue.chunks.length === 0 && queue.finalFrame !== undefined) {
                write(queue.finalFrame);
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
            // The callback of a ping is called once everything before it has been written to the socket.
            socket.ping(undefined, undefined, () => {
                isPumping = false;
                pump();
            });
        }
    };
    return {
        send: write,
        sendData: (stream, bytes) => {
            const queue = queueOf(stream);
            if (bytes.length > 0) {
                queue.chunks.push(bytes);
                queue.queuedBytes += bytes.length;
            }
            pump();
            return queue.queuedBytes < maxQueuedBytes;
        },
        finishStream: (stream, finalFrame) => {
            queueOf(stream).finalFrame = finalFrame;
            pump();
        },
        onDrain: (stream, listener) => {
            const queue = queueOf(stream);
            queue.drainListener = listener;
            // Not synchronously: the source may pause only after this call, and an earlier resume would be lost.
            queueMicrotask(() => notifyDrain(queue));
        },
        addCredit: (stream, bytes) => {
            const queue = streams.get(stream);
            if (queue !== undefined) {
                queue.windowBytes += bytes;
                pump();
            }
        },
        discardStream: stream => void streams.delete(stream),
    };
}
