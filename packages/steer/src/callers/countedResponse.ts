/** Sends response bodies, and counts their memory until they are with the operating system or given up. */
import type { ServerResponse } from "node:http";
import type { ResponseBuffer, ResponseBuffers } from "../targets/responseBuffers.js";

/** A body is written in parts of this size, so that it is known how much of it has been sent. */
const partBytes = 256 * 1_024;

/** Ends the response with a body. If memory runs short the connection is reset, so that the caller gets no complete response. */
export function endCounted(response: ServerResponse, body: Buffer, buffers: ResponseBuffers): void {
    let sentBytes = 0;
    let isAborted = false;
    const buffer: ResponseBuffer = {
        bytes: () => body.length,
        unsentBytes: () => body.length - sentBytes,
        abort: () => {
            isAborted = true;
            // A reset: a response without a length ends where its connection is closed, and would look complete.
            // Not the response's own socket, which it has only once earlier responses on the connection are sent.
            response.req.socket.resetAndDestroy();
        },
    };
    const sendParts = (): void => {
        while (!isAborted && body.length - sentBytes > partBytes) {
            const part = body.subarray(sentBytes, sentBytes + partBytes);
            sentBytes += part.length;
            if (!response.write(part)) {
                response.once("drain", sendParts);
                return;
            }
        }
        if (!isAborted) {
            response.end(body.subarray(sentBytes));
        }
    };
    response.once("close", () => buffers.remove(buffer));
    buffers.addUnread(buffer);
    sendParts();
}
