/** Buffers a small request body before the request is submitted, so that it can be sent again. */
import type { IncomingMessage } from "node:http";

/** Calls `onComplete` with exactly `length` bytes, or `onIncomplete` when the request ends with another length or is aborted. */
export function bufferBody(
    request: IncomingMessage,
    length: number,
    onComplete: (body: Uint8Array) => void,
    onIncomplete: () => void,
): void {
    const chunks: Buffer[] = [];
    let size = 0;
    let isEnded = false;
    request.on("data", (chunk: Buffer) => {
        chunks.push(chunk);
        size += chunk.length;
    });
    request.on("end", () => {
        isEnded = true;
        if (size === length) {
            onComplete(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks, size));
        }
        else {
            onIncomplete();
        }
    });
    request.on("close", () => {
        if (!isEnded) {
            onIncomplete();
        }
    });
}
