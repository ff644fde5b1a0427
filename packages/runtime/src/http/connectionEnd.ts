/**
 * How the peer ended a TCP connection. The runtime reports a reset as an orderly end, without an error, if the reset has arrived by
 * the time the bytes before it are read.
 */
import type { Socket } from "node:net";

/** `"none"` until the peer has ended the connection; `"broken"` if it was reset or failed. */
export type ConnectionEnd = "none" | "orderly" | "broken";

/**
 * Follows a connected socket. The returned function is up to date before any other listener is told of the end. Nothing may have
 * read the socket's `remoteAddress` before, as the socket keeps it once it is read. An error with which this side destroys its socket
 * changes nothing. An end reads as `"broken"` after a half-close of this side, and on sockets that are not TCP.
 */
export function watchConnectionEnd(socket: Socket): () => ConnectionEnd {
    let connectionEnd: ConnectionEnd = "none";
    socket.prependListener("end", () => {
        // A connection whose peer has closed its half only still has a peer address; one that was reset has none.
        if (connectionEnd === "none") {
            connectionEnd = socket.remoteAddress === undefined ? "broken" : "orderly";
        }
    });
    socket.prependListener("error", ({ syscall }: NodeJS.ErrnoException) => {
        // HTTP clients destroy sockets with errors of their own; only those of the system are failures of the connection.
        if (syscall !== undefined) {
            connectionEnd = "broken";
        }
    });
    return () => connectionEnd;
}
