/**
 * What a connection hands to the runtime's parser, and how many of its requests are in progress. The parser makes a request of
 * everything in a read, hundreds from a single one, so that a read is handed over in pieces, and no further while too many requests
 * wait. Requests are started in order and a few at a time, so that one connection does not take the targets from others.
 */
import type { Timer } from "@pimentospring/core/time/timer";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";

export interface ConnectionInputOptions {
    readonly server: Server;
    readonly timer: Timer;
    /** Bytes of responses that the connection's caller has yet to read. */
    readonly unreadBytesOf: (socket: Socket) => number;
    /** Called for each connection that is closed because its caller reads no responses. */
    readonly onUnread: () => void;
}

export interface ConnectionInput {
    /** Calls `start` once the request may start; never if its connection closes before, or an earlier response closes it. */
    enter(response: ServerResponse, start: () => void): void;
    /** Starts no later request of the connection, because this response closes it. */
    endAfter(response: ServerResponse): void;
    /** Whether the connection closes behind a response to an earlier request. */
    isEnding(socket: Socket): boolean;
}

/** Requests of a connection whose responses have not been sent; beyond that it is not read. */
const maxOpenRequests = 128;
/** Of these, the ones that are started. */
const maxStartedRequests = 32;
/** Responses that wait to be read, beyond which none of the connection's requests is started. */
const maxUnreadBytes = 1_000_000;
/** Requests of all connections together, beyond which each connection is read only while it has none. */
const maxTotalRequests = 4_000;
/** Bytes of a read that the parser gets at a time. The number doubles, up to the maximum, while no request begins in them. */
const minPieceBytes = 2_048;
const maxPieceBytes = 8_192;
const checkIntervalMs = 1_000;
/** A caller with as many requests as are allowed loses its connection if it reads nothing for this long. */
const unreadTimeoutMs = 120_000;

interface ConnectionState {
    readonly socket: Socket;
    readonly waiting: Map<ServerResponse, () => void>;
    readonly started: Set<ServerResponse>;
    openRequests: number;
    /** The latest request. It is read to its end even if the connection has too many requests. */
    lastRequest: IncomingMessage | undefined;
    isEnding: boolean;
    /** Bytes that were read and that the parser has yet to get. */
    rest: Buffer;
    pieceBytes: number;
    isPaused: boolean;
    sentBytes: number;
    sentAt: number;
    feed: () => void;
}

const noBytes = Buffer.alloc(0);

/** The runtime's own flag for a connection, and a parser, that it has paused until responses are sent. */
const isPausedByRuntime = (socket: Socket): boolean => (socket as { readonly _paused?: boolean; })._paused === true;

export function createConnectionInput(options: ConnectionInputOptions): ConnectionInput {
    const { server, timer, unreadBytesOf } = options;
    const states = new Map<Socket, ConnectionState>();
    let totalRequests = 0;

    const mayRead = ({ socket, openRequests, lastRequest }: ConnectionState): boolean => {
        const hasRoom = openRequests < (totalRequests < maxTotalRequests ? maxOpenRequests : 1);
        return (hasRoom || lastRequest?.complete === false) && !isPausedByRuntime(socket);
    };
    const hasRoomToStart = ({ socket, started }: ConnectionState): boolean =>
        started.size < maxStartedRequests && unreadBytesOf(socket) < maxUnreadBytes;
    const startWaiting = (state: ConnectionState): void => {
        if (state.socket.destroyed || state.socket.readableEnded) {
            // The caller has left.
            state.waiting.clear();
            return;
        }
        for (const [response, start] of state.waiting) {
            if (!hasRoomToStart(state)) {
                return;
            }
            state.waiting.delete(response);
            state.started.add(response);
            start();
        }
    };
    const watchInput = (state: ConnectionState): void => {
        const { socket } = state;
        const parse = socket.listeners("data")[0] as (data: Buffer) => void;
        const isParsed = (): boolean => !socket.destroyed && socket.listeners("data").includes(onData);
        const parsePiece = (): void => {
            const piece = state.rest.subarray(0, state.pieceBytes);
            state.rest = state.rest.subarray(piece.length);
            const { openRequests } = state;
            parse(piece);
            state.pieceBytes = state.openRequests === openRequests
                ? Math.min(maxPieceBytes, 2 * state.pieceBytes)
                : minPieceBytes;
        };
        state.feed = () => {
            while (state.rest.length > 0 && mayRead(state) && isParsed()) {
                parsePiece();
            }
            if (!isParsed()) {
                state.rest = noBytes;
                return;
            }
            const isReadable = state.rest.length === 0 && mayRead(state);
            if (!isReadable && !socket.isPaused()) {
                state.isPaused = true;
                socket.pause();
            }
            else if (isReadable && state.isPaused) {
                state.isPaused = false;
                socket.resume();
            }
        };
        const onData = (data: Buffer): void => {
            if (data.length <= minPieceBytes && state.rest.length === 0 && mayRead(state)) {
                parse(data);
                if (!mayRead(state)) {
                    state.feed();
                }
                return;
            }
            state.rest = state.rest.length === 0 ? data : Buffer.concat([state.rest, data]);
            state.feed();
        };
        socket.off("data", parse);
        socket.on("data", onData);
        socket.on("resume", state.feed);
    };
    server.on("connection", (socket: Socket) => {
        const state: ConnectionState = {
            socket,
            waiting: new Map(),
            started: new Set(),
            openRequests: 0,
            lastRequest: undefined,
            isEnding: false,
            rest: noBytes,
            pieceBytes: minPieceBytes,
            isPaused: false,
            sentBytes: 0,
            sentAt: timer.now(),
            feed: () => {},
        };
        states.set(socket, state);
        watchInput(state);
        socket.once("close", () => {
            states.delete(socket);
            state.waiting.clear();
            state.rest = noBytes;
        });
    });
    server.on("request", (request: IncomingMessage, response: ServerResponse) => {
        const state = states.get(request.socket);
        if (state === undefined) {
            return;
        }
        state.openRequests++;
        state.lastRequest = request;
        totalRequests++;
        response.once("close", () => {
            state.openRequests--;
            totalRequests--;
            if (!state.started.delete(response)) {
                state.waiting.delete(response);
            }
            if (!response.shouldKeepAlive) {
                state.isEnding = true;
                state.waiting.clear();
            }
            if (state.waiting.size > 0 || state.isPaused) {
                // Runs after the runtime has begun the next response.
                queueMicrotask(() => {
                    startWaiting(state);
                    state.feed();
                });
            }
        });
    });
    const isHeldUp = (state: ConnectionState): boolean => state.isPaused || state.waiting.size > 0;
    const check = (): void => {
        for (const state of states.values()) {
            const sentBytes = state.socket.bytesWritten - state.socket.writableLength;
            if (sentBytes !== state.sentBytes || state.socket.writableLength === 0 || !isHeldUp(state)) {
                state.sentBytes = sentBytes;
                state.sentAt = timer.now();
            }
            else if (timer.now() - state.sentAt >= unreadTimeoutMs) {
                options.onUnread();
                state.socket.resetAndDestroy();
            }
            startWaiting(state);
            state.feed();
        }
    };
    server.on("listening", () => server.once("close", timer.subscribe(checkIntervalMs, check)));
    return {
        enter: (response, start) => {
            const state = states.get(response.req.socket);
            if (state === undefined) {
                return;
            }
            if (state.waiting.size === 0 && hasRoomToStart(state)) {
                state.started.add(response);
                start();
                return;
            }
            state.waiting.set(response, start);
            startWaiting(state);
        },
        endAfter: response => {
            const state = states.get(response.req.socket);
            if (state !== undefined) {
                state.isEnding = true;
            }
        },
        isEnding: socket => states.get(socket)?.isEnding ?? true,
    };
}
