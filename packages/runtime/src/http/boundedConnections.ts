/** Bounds the connections and open requests of a server for operators or for the platform. */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** Requests of a connection without a response; ordinary callers send one at a time. */
const maxOpenRequests = 16;

/**
 * Closes connections that have more than `maxOpenRequests` requests without a response. When a connection beyond `maxConnections` is
 * dropped, the oldest one without a request in progress is closed to make room for the next. Otherwise connections on which only blank
 * lines arrive would stay open, as the runtime's timeouts don't apply to them.
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
