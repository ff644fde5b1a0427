/**
 * Connections of an HTTP server, and which of them are idle. Node's own `closeIdleConnections`, which its `close` calls too, also
 * closes those whose response still waits to be written to a slow client.
 */
import type { Timer } from "@pimentospring/core/time/timer";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { Server as NetServer, type Socket } from "node:net";

export interface ServerConnections {
    /**
     * Closes the connections on which no request is received, handled or answered. One that has just been opened is left alone,
     * as its first request may be on the way.
     */
    closeIdle(): void;
    /** Closes the first-opened of the idle connections; false if none is idle. */
    closeOneIdle(): boolean;
    /** Closes the connection on which a request's head has been arriving for the longest time; false if there is none such. */
    closeOneReceiving(): boolean;
    /** Closes the connections on which a request's head is being received; returns how many. */
    closeReceiving(): number;
    /** Closes all connections, with a reset those on which a response has been sent in part; returns the number of these. */
    closeAll(): number;
    /** Accepts no further connections and leaves the open ones alone. Calls `onClosed` once all of them have ended. */
    stopListening(onClosed?: () => void): void;
    /** Requests whose head was received and whose response is not yet with the operating system. */
    openRequestCount(): number;
    openCount(): number;
}

export interface ServerConnectionsOptions {
    readonly server: Server;
    readonly timer: Timer;
}

/** Time for the first request of a new connection. */
const firstRequestMs = 500;
/** Heads that have been arriving for less time are those of ordinary callers. */
const minReceivingMs = 1_000;
/** Bytes that arrive on an idle connection for this long are no request: heads have a timeout, but blank lines begin none. */
const maxReceivingMs = 20_000;
const checkIntervalMs = 1_000;

interface ConnectionState {
    readonly openResponses: Set<ServerResponse>;
    /** Bytes received when the connection became idle; more of them belong to a request that is being received. */
    idleAtBytes: number;
    /** Time from which it may be closed while it is idle. */
    closableAt: number;
    /** Since when bytes of no complete head arrive, as of the last check. */
    receivingSince: number | undefined;
}

function giveUp(response: ServerResponse): void {
    response.destroy();
    response.emit("close");
}

/** Follows the server's connections from now on. Each response gets a "close" event, also one that waited behind another. */
export function trackConnections({ server, timer }: ServerConnectionsOptions): ServerConnections {
    const states = new Map<Socket, ConnectionState>();
    let openRequests = 0;
    server.on("connection", (socket: Socket) => {
        const openResponses = new Set<ServerResponse>();
        states.set(socket, {
            openResponses,
            idleAtBytes: 0,
            closableAt: timer.now() + firstRequestMs,
            receivingSince: undefined,
        });
        // Before the runtime, which would end the connection in order behind the part of a response that it holds.
        socket.prependOnceListener("end", () => {
            if ([...openResponses].some(({ headersSent, writableEnded }) => headersSent && !writableEnded)) {
                socket.resetAndDestroy();
            }
        });
        socket.once("close", () => {
            states.delete(socket);
            // Once the runtime has told the response whose turn it was; those that waited behind it are told by nobody.
            queueMicrotask(() => openResponses.forEach(giveUp));
        });
    });
    server.on("request", ({ socket }: IncomingMessage, response: ServerResponse) => {
        const state = states.get(socket);
        if (state === undefined) {
            return;
        }
        openRequests++;
        state.openResponses.add(response);
        state.receivingSince = undefined;
        // Comes when the response is with the operating system, or has been given up.
        response.once("close", () => {
            openRequests--;
            state.openResponses.delete(response);
            state.idleAtBytes = socket.bytesRead;
            state.closableAt = timer.now();
        });
    });
    const isReceiving = (socket: Socket, { openResponses, idleAtBytes }: ConnectionState): boolean =>
        openResponses.size === 0 && socket.bytesRead !== idleAtBytes;
    const checkReceiving = (): void => {
        for (const [socket, state] of states) {
            state.receivingSince = isReceiving(socket, state) ? state.receivingSince ?? timer.now() : undefined;
            if (timer.now() - (state.receivingSince ?? Infinity) >= maxReceivingMs) {
                socket.destroy();
            }
        }
    };
    server.on("listening", () => server.once("close", timer.subscribe(checkIntervalMs, checkReceiving)));
    const isClosable = (socket: Socket, state: ConnectionState): boolean =>
        state.openResponses.size === 0 && socket.bytesRead === state.idleAtBytes && timer.now() >= state.closableAt;
    return {
        closeIdle: () => {
            for (const [socket, state] of states) {
                if (isClosable(socket, state)) {
                    socket.destroySoon();
                }
            }
        },
        closeOneIdle: () => {
            for (const [socket, state] of states) {
                if (isClosable(socket, state)) {
                    // Not to be found again while it closes.
                    state.closableAt = Infinity;
                    socket.destroySoon();
                    return true;
                }
            }
            return false;
        },
        closeOneReceiving: () => {
            const receiving = [...states].filter(([, state]) =>
                timer.now() - (state.receivingSince ?? Infinity) >= minReceivingMs
            );
            const since = ([, state]: typeof receiving[number]): number => state.receivingSince ?? Infinity;
            const longest = receiving.reduce<typeof receiving[number] | undefined>(
                (most, entry) => most === undefined || since(entry) < since(most) ? entry : most,
                undefined,
            );
            longest?.[0].destroy();
            return longest !== undefined;
        },
        closeReceiving: () => {
            const receiving = [...states].filter(([socket, state]) => isReceiving(socket, state));
            receiving.forEach(([socket]) => socket.destroy());
            return receiving.length;
        },
        closeAll: () => {
            const unfinished = [...states].filter(([, { openResponses }]) =>
                [...openResponses].some(({ headersSent }) => headersSent)
            );
            unfinished.forEach(([socket]) => socket.resetAndDestroy());
            server.closeAllConnections();
            return unfinished.length;
        },
        stopListening: onClosed => void NetServer.prototype.close.call(server, onClosed),
        openRequestCount: () => openRequests,
        openCount: () => states.size,
    };
}
