/** Bounds the connections, open requests and bodies of a server for operators or for the platform. */
import type { Timer } from "@pimentospring/core/time/timer";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { createConnectionInput } from "./connectionInput.js";

export interface ConnectionBounds {
    readonly server: Server;
    readonly timer: Timer;
    readonly maxConnections: number;
    /** Largest body that the server has a use for. It needs a declared length. */
    readonly maxBodyBytes: number;
}

/** Requests of a connection without a response; ordinary callers send one at a time. */
const maxOpenRequests = 16;
/** Bytes that may have been read from all connections of the server together without having been parsed. */
const maxUnparsedBytes = 4_000_000;
/** How long a connection stays open for the response to a request whose body is dropped. */
const closeDelayMs = 1_000;

/**
 * Closes connections that have more than `maxOpenRequests` requests without a response, and those that send a body that the server has
 * no use for: nothing of it is parsed. When a connection beyond `maxConnections` is dropped, the oldest one without a request in
 * progress is closed to make room for the next. Otherwise connections on which only blank lines arrive would stay open, as the
 * runtime's timeouts don't apply to them.
 */
export function boundConnections({ server, timer, maxConnections, maxBodyBytes }: ConnectionBounds): void {
    const openRequests = new Map<Socket, number>();
    const input = createConnectionInput({
        server,
        timer,
        unreadBytesOf: () => 0,
        onUnread: () => {},
        maxHeldBytes: maxUnparsedBytes,
        onExcess: socket => socket.resetAndDestroy(),
    });
    server.maxConnections = maxConnections;
    server.on("connection", (socket: Socket) => {
        openRequests.set(socket, 0);
        socket.once("close", () => openRequests.delete(socket));
    });
    const closeAfter = (socket: Socket, response: ServerResponse): void => {
        input.discard(socket);
        response.once("finish", () => socket.destroySoon());
        socket.once("close", timer.after(closeDelayMs, () => socket.destroy()));
    };
    server.on("request", (request: IncomingMessage, response: ServerResponse) => {
        const { socket } = request;
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
        else if (isBodyUnwanted(request, maxBodyBytes)) {
            closeAfter(socket, response);
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

const isBodyUnwanted = ({ headers }: IncomingMessage, maxBodyBytes: number): boolean =>
    headers["transfer-encoding"] !== undefined || Number(headers["content-length"] ?? 0) > maxBodyBytes;
