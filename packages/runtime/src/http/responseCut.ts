/** Ends of responses that have been sent in part. */
import type { ServerResponse } from "node:http";

/**
 * Resets the connection of a response, so that its receiver does not take the part that it got for the whole, as it may after an
 * orderly end.
 */
export function cutResponse({ req }: ServerResponse): void {
    // Not the response's own socket, which it has only once earlier responses on the connection are sent.
    req.socket.resetAndDestroy();
}
