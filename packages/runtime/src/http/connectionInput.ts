/**
 * What a connection hands to the runtime's parser, and how many of its requests are in progress. A connection is read no further while
 * too many of its requests wait. Requests are started in order and a few at a time, so that one connection does not take the targets
 * from others, and the event loop's time is shared among connections (`inputScheduler.ts`).
 */
import type { ConnectionPlace } from "@pimentospring/core/steering/connectionPlace";
import type { Timer } from "@pimentospring/core/time/timer";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { type ConnectionReader, createConnectionReader } from "./connectionReader.js";
import { createInputScheduler, createInputTask, type InputTask } from "./inputScheduler.js";

export interface ConnectionInputOptions {
    readonly server: Server;
    readonly timer: Timer;
    /** Bytes of responses that the connection's caller has yet to read. */
    readonly unreadBytesOf: (socket: Socket) => number;
    /** Called for each connection that is closed because its caller reads no responses. */
    readonly onUnread: () => void;
    /** Bytes that may have been read from all connections together without having been parsed. */
    readonly maxHeldBytes: number;
    /** Called for a connection whose bytes are to be dropped, as more than `maxHeldBytes` wait to be parsed. */
    readonly onExcess: (socket: Socket) => void;
}

type Start = (place: ConnectionPlace) => void;

export interface ConnectionInput {
    /**
     * Calls `start` once the request may start, with its place, which changes as earlier requests end. Never calls it if the connection
     * closes before, or an earlier response closes it.
     */
    enter(response: ServerResponse, start: Start): void;
    /** Starts no later request of the connection, because this response closes it. */
    endAfter(response: ServerResponse): void;
    /** Whether the connection closes behind a response to an earlier request. */
    isEnding(socket: Socket): boolean;
    /** Drops what the connection's caller sends from now on, without parsing it. */
    discard(socket: Socket): void;
    /** Bytes of the connection that have been parsed. */
    parsedBytesOf(socket: Socket): number;
    /** For how long the process has been behind with what it received. */
    backlogMs(): number;
}

/** Requests of a connection whose responses have not been sent; beyond that it is not read. */
const maxOpenRequests = 128;
/** Of these, the ones that are started. */
const maxStartedRequests = 32;
/** Responses that wait to be read, beyond which none of the connection's requests is started. */
const maxUnreadBytes = 1_000_000;
/** Requests of all connections together, beyond which each connection is read only while it has none. */
const maxTotalRequests = 4_000;
const checkIntervalMs = 1_000;
/** A caller with as many requests as are allowed loses its connection if it reads nothing for this long. */
const unreadTimeoutMs = 120_000;

interface StartedRequest {
    readonly startedAt: number;
    readonly place: { -readonly [Field in keyof ConnectionPlace]: ConnectionPlace[Field]; };
}

interface ConnectionState {
    readonly socket: Socket;
    readonly reader: ConnectionReader;
    readonly task: InputTask;
    readonly waiting: Map<ServerResponse, Start>;
    /** Started requests in order. */
    readonly started: Map<ServerResponse, StartedRequest>;
    openRequests: number;
    requestCount: number;
    /** The latest request. It is read to its end even if the connection has too many requests. */
    lastRequest: IncomingMessage | undefined;
    isEnding: boolean;
    sentBytes: number;
    sentAt: number;
}

/** The runtime's own flag for a connection, and a parser, that it has paused until responses are sent. */
const isPausedByRuntime = (socket: Socket): boolean => (socket as { readonly _paused?: boolean; })._paused === true;

/** Immediates run once the sockets have been polled. */
const afterPoll = (listener: () => void): void => void setImmediate(listener);

export function createConnectionInput(options: ConnectionInputOptions): ConnectionInput {
    const { server, timer, unreadBytesOf } = options;
    const scheduler = createInputScheduler({ timer, afterPoll });
    const states = new Map<Socket, ConnectionState>();
    let totalRequests = 0;
    let heldBytes = 0;

    const mayRead = ({ socket, openRequests, lastRequest }: ConnectionState): boolean => {
        const hasRoom = openRequests < (totalRequests < maxTotalRequests ? maxOpenRequests : 1);
        return (hasRoom || lastRequest?.complete === false) && !isPausedByRuntime(socket);
    };
    const hasLeft = ({ socket }: ConnectionState): boolean => socket.destroyed || socket.readableEnded;
    const canStart = ({ socket, waiting, started }: ConnectionState): boolean =>
        waiting.size > 0 && started.size < maxStartedRequests && unreadBytesOf(socket) < maxUnreadBytes;
    const startNext = (state: ConnectionState): void => {
        const [response, start] = state.waiting.entries().next().value!;
        state.waiting.delete(response);
        const place = { ahead: state.started.size, delayMs: 0 };
        state.started.set(response, { startedAt: timer.now(), place });
        start(place);
    };
    const removeStarted = ({ started }: ConnectionState, response: ServerResponse): void => {
        const ended = started.get(response);
        started.delete(response);
        for (const { startedAt, place } of started.values()) {
            if (ended !== undefined && place.ahead > ended.place.ahead) {
                place.ahead--;
                place.delayMs = timer.now() - startedAt;
            }
        }
    };
    const hasMore = (state: ConnectionState): boolean => canStart(state) || state.reader.hasPiece();
    /** Starts a request or parses a piece. */
    const step = (state: ConnectionState): boolean => {
        if (state.waiting.size > 0 && hasLeft(state)) {
            state.waiting.clear();
        }
        if (canStart(state)) {
            startNext(state);
        }
        else if (state.reader.hasPiece()) {
            state.reader.parsePiece();
        }
        if (hasMore(state)) {
            return true;
        }
        state.reader.settle();
        return false;
    };
    /** The connection that has used most time lately among those whose bytes wait. */
    const mostUsed = (): ConnectionState | undefined => {
        let most: ConnectionState | undefined;
        for (const state of states.values()) {
            if (state.reader.heldBytes() > 0 && state.task.usedMs >= (most?.task.usedMs ?? 0)) {
                most = state;
            }
        }
        return most;
    };
    const dropExcess = (): void => {
        while (heldBytes > options.maxHeldBytes) {
            const state = mostUsed();
            if (state === undefined) {
                return;
            }
            state.reader.discard();
            scheduler.cancel(state.task);
            options.onExcess(state.socket);
        }
    };
    const addConnection = (socket: Socket): ConnectionState => {
        const task = createInputTask(() => step(state), timer.now());
        const reader = createConnectionReader({
            socket,
            mayRead: () => mayRead(state),
            requestCount: () => state.requestCount,
            lastStepMs: () => task.lastStepMs,
            onInput: () => scheduler.run(task),
            onHeld: bytes => {
                heldBytes += bytes;
                dropExcess();
            },
        });
        const state: ConnectionState = {
            socket,
            reader,
            task,
            waiting: new Map(),
            started: new Map(),
            openRequests: 0,
            requestCount: 0,
            lastRequest: undefined,
            isEnding: false,
            sentBytes: 0,
            sentAt: timer.now(),
        };
        return state;
    };
    server.on("connection", (socket: Socket) => {
        const state = addConnection(socket);
        states.set(socket, state);
        socket.once("close", () => {
            states.delete(socket);
            state.waiting.clear();
            scheduler.cancel(state.task);
        });
    });
    server.on("request", (request: IncomingMessage, response: ServerResponse) => {
        const state = states.get(request.socket);
        if (state === undefined) {
            return;
        }
        state.openRequests++;
        state.requestCount++;
        state.lastRequest = request;
        totalRequests++;
        response.once("close", () => {
            state.openRequests--;
            totalRequests--;
            removeStarted(state, response);
            state.waiting.delete(response);
            if (!response.shouldKeepAlive) {
                state.isEnding = true;
                state.waiting.clear();
            }
            if (state.waiting.size > 0 || state.reader.isPaused()) {
                // Runs after the runtime has begun the next response.
                queueMicrotask(() => scheduler.run(state.task));
            }
        });
    });
    const isHeldUp = (state: ConnectionState): boolean => state.reader.isPaused() || state.waiting.size > 0;
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
            if (isHeldUp(state)) {
                scheduler.run(state.task);
            }
        }
    };
    server.on("listening", () => server.once("close", timer.subscribe(checkIntervalMs, check)));
    return {
        enter: (response, start) => {
            const state = states.get(response.req.socket);
            if (state !== undefined) {
                state.waiting.set(response, start);
                scheduler.run(state.task);
            }
        },
        endAfter: response => {
            const state = states.get(response.req.socket);
            if (state !== undefined) {
                state.isEnding = true;
            }
        },
        isEnding: socket => states.get(socket)?.isEnding ?? true,
        discard: socket => states.get(socket)?.reader.discard(),
        parsedBytesOf: socket => states.get(socket)?.reader.parsedBytes() ?? 0,
        backlogMs: scheduler.backlogMs,
    };
}
