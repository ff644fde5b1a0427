/** Buffers a small request body before the request is submitted, so that it can be sent again. */
import type { IncomingMessage } from "node:http";

/** Calls `onComplete` with exactly `length` bytes, or `onIncomplete` when the request ends with another length or is aborted. */
export function bufferBody(
    request: IncomingMessage,
    length: number,
    onComplete: (body: Uint8Array) => void,
    onIncomplete: () => void,
): void {
    // In one place, as each chunk costs an object, and may keep the read that it is part of.
    const body = Buffer.allocUnsafeSlow(length);
    let size = 0;
    let isEnded = false;
    request.on("data", (chunk: Buffer) => {
        chunk.copy(body, size);
        size += chunk.length;
    });
    request.on("end", () => {
        isEnded = true;
        if (size === length) {
            onComplete(body);
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
