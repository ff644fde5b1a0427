/** Bounds what the callers of an operator's interface, or of a platform's, can make a server hold. */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** Requests of a connection without a response; ordinary callers send one at a time. */
const maxOpenRequests = 16;

/**
 * Closes connections that send more requests ahead than that. Of more than `maxConnections` connections, the oldest without a request
 * in progress is closed for the next one; by themselves, connections on which blank lines arrive would stay open for ever.
 */
export function boundConnections(server: Server, maxConnections: number): void {
    const openRequests = new Map<Socket, number>();
    server.maxConnections = maxConnections;
    server.on("connection", (socket: Socket) => {
        openRequests.set(socket, 0);
        socket.once("close", () => openRequests.delete(socket));
    });
    server.on("request", ({ socket }: IncomingMessage, response: ServerResponse) => {
        const count = (openRequests.get(socket) ?? 0) + 1;
        openRequests.set(socket, count);
        response.once("close", () => {
            if (openRequests.has(socket)) {
                openRequests.set(socket, openRequests.get(socket)! - 1);
            }
        });
        if (count > maxOpenRequests) {
            socket.destroy();
        }
    });
    server.on("drop", () => {
        for (const [socket, count] of openRequests) {
            if (count === 0 && !socket.destroyed) {
                socket.destroy();
                return;
            }
        }
    });
}
