/**
 * Pool of connections to targets, with one request at a time on each. A connection is closed after any failure, so that
 * stray bytes are never taken for the response to a later request. It is reset if its request may not be over, so that what
 * the system has not sent by then never reaches the target.
 */
import type { Timer } from "@pimentospring/core/time/timer";
import { type ConnectionEnd, watchConnectionEnd } from "@pimentospring/runtime/http/connectionEnd";
import net from "node:net";
import { Client, type Dispatcher } from "undici";
import type { ResponseBuffers } from "./responseBuffers.js";
import { createResponseCollector } from "./responseCollector.js";
import { examine, type ResponseCheck } from "./responseFaults.js";
import type { EndedResponse, ReceivedResponse } from "./targetResponse.js";

export interface OutgoingRequest {
    /** The id that the response repeats; `undefined` if the request carries none. */
    readonly id: string | undefined;
    readonly method: string;
    readonly path: string;
    /** Alternating names and values. */
    readonly headers: readonly string[];
    readonly body: Buffer | undefined;
}

export interface ResponseHandler extends ResponseCheck {
    /** Called before the first byte of the request is written. */
    onWriteStart(): void;
    /** Called with an expected response, after its connection was returned to the pool. */
    onResponse(response: ReceivedResponse): void;
    /** Called when no complete response can arrive any more. */
    onFailure(reason: string): void;
    /** Called in place of `onFailure` when this entry lacks the memory for the response, which says nothing of the target. */
    onNoMemory?(reason: string): void;
}

export interface TargetConnections {
    /**
     * Sends over an idle connection that has not carried this request before. Opens a new one if there is none or
     * `needsNewConnection` is set. Returns a function that cancels the request; no outcome is reported before.
     */
    send(
        address: string,
        outgoing: OutgoingRequest,
        needsNewConnection: boolean,
        connectTimeoutMs: number,
        responseHandler: ResponseHandler,
    ): () => void;
    /** Closes the idle connections to an address. */
    closeIdle(address: string): void;
    /** Number of connections that are open or being opened. */
    openCount(): number;
    /** Closes the idle connections and resets the others. */
    close(): void;
}

export interface TargetConnectionsOptions {
    readonly timer: Timer;
    /** Largest response that is accepted. */
    readonly maxResponseBytes: number;
    /** Connections, beyond which an idle one is closed for each that is opened. */
    readonly maxConnections?: number;
    readonly buffers: ResponseBuffers;
    /** Called with each response that has ended, before it is judged. */
    readonly onResponseEnded: (response: EndedResponse) => void;
}

/** Keep-alive timeout for targets that announce none. */
const idleTimeoutMs = 4_000;
/**
 * Connections are closed this long before the timeout that the target announces, to allow for a request's way there.
 */
const idleTimeoutMarginMs = 1_500;
/** Largest response head. */
const maxHeadBytes = 16 * 1_024;
/** Requests that a connection carries before it is closed, which bounds the ids that it remembers. */
export const maxRequestsPerConnection = 256;
/** Length of the ids that a connection remembers, beyond which it is closed: callers choose ids. */
const maxCarriedLength = 64 * 1_024;

interface Connection {
    readonly client: Client;
    readonly address: string;
    /**
     * Ids of the requests that it has carried. A late copy of the response to one attempt can't be told from the response to
     * another attempt of the same request, so that no two share a connection.
     */
    readonly carried: Set<string>;
    requestCount: number;
    carriedLength: number;
    /** `undefined` until the connection is established. */
    socket: net.Socket | undefined;
    /** How the target has ended the connection. */
    connectionEnd: () => ConnectionEnd;
}

export function createTargetConnections(options: TargetConnectionsOptions): TargetConnections {
    const { timer, maxResponseBytes, maxConnections = Infinity, buffers, onResponseEnded } = options;
    const idle = new Map<string, Connection[]>();
    const all = new Set<Connection>();

    const discard = (connection: Connection): void => {
        all.delete(connection);
        const list = idle.get(connection.address);
        const at = list?.indexOf(connection) ?? -1;
        if (at !== -1) {
            list!.splice(at, 1);
        }
        connection.client.destroy().catch(() => {
            // Fails only if the client was destroyed before.
        });
    };
    /** Discards a connection whose request was given up: bytes that still wait in the system's buffers are not sent. */
    const abort = (connection: Connection): void => {
        // The system refuses to reset a socket whose shutdown is under way, which an end sent by the target starts.
        if (connection.socket?.writable === true) {
            connection.socket.resetAndDestroy();
        }
        discard(connection);
    };
    const makeRoom = (): void => {
        if (all.size >= maxConnections) {
            const oldest = [...idle.values()].find(({ length }) => length > 0)?.[0];
            if (oldest !== undefined) {
                discard(oldest);
            }
        }
    };
    const connect = (address: string, connectTimeoutMs: number): Connection => {
        makeRoom();
        const client = new Client(`http://${address}`, {
            pipelining: 1,
            headersTimeout: 0,
            maxHeaderSize: maxHeadBytes,
            bodyTimeout: 0,
            keepAliveTimeout: idleTimeoutMs,
            keepAliveTimeoutThreshold: idleTimeoutMarginMs,
            connect: (target, done) =>
                openSocket(timer, target.hostname, Number(target.port), connectTimeoutMs, (...outcome) => {
                    watch(outcome[1]);
                    done(...outcome);
                }),
        });
        const connection: Connection = {
            client,
            address,
            carried: new Set(),
            requestCount: 0,
            carriedLength: 0,
            socket: undefined,
            connectionEnd: () => "none",
        };
        const watch = (socket: net.Socket | null): void => {
            if (socket === null) {
                return;
            }
            connection.socket = socket;
            connection.connectionEnd = watchConnectionEnd(socket);
        };
        all.add(connection);
        client.on("disconnect", () => discard(connection));
        client.on("connectionError", () => discard(connection));
        return connection;
    };
    /** Takes the idle connection used last that has not carried the request. */
    const takeIdle = (address: string, id: string | undefined): Connection | undefined => {
        const list = idle.get(address) ?? [];
        const at = list.findLastIndex(({ carried }) => id === undefined || !carried.has(id));
        return at === -1 ? undefined : list.splice(at, 1)[0];
    };
    const recordCarried = (connection: Connection, id: string | undefined): void => {
        connection.requestCount++;
        if (id !== undefined) {
            connection.carried.add(id);
            connection.carriedLength += id.length;
        }
    };
    const addIdle = (connection: Connection): void => {
        if (!all.has(connection)) {
            return;
        }
        if (connection.requestCount >= maxRequestsPerConnection || connection.carriedLength >= maxCarriedLength) {
            discard(connection);
            return;
        }
        const list = idle.get(connection.address);
        if (list === undefined) {
            idle.set(connection.address, [connection]);
        }
        else {
            list.push(connection);
        }
    };
    return {
        send: (address, outgoing, needsNewConnection, connectTimeoutMs, responseHandler) => {
            const connection = (needsNewConnection ? undefined : takeIdle(address, outgoing.id))
                ?? connect(address, connectTimeoutMs);
            recordCarried(connection, outgoing.id);
            let isSettled = false;
            const settle = (isReusable: boolean, report: () => void): void => {
                if (isSettled) {
                    return;
                }
                isSettled = true;
                // Returned to the pool before the report, so that a request sent from the callback can reuse it.
                if (isReusable) {
                    addIdle(connection);
                }
                else {
                    abort(connection);
                }
                report();
            };
            const fail = (reason: string): void => settle(false, () => responseHandler.onFailure(reason));
            const succeed = (response: EndedResponse): void => {
                if (isSettled) {
                    return;
                }
                const { fault, hasOtherHead } = examine(response, connection.carried, responseHandler);
                if (fault === undefined) {
                    const isReusable = connection.socket?.destroyed === false;
                    settle(isReusable, () => responseHandler.onResponse({ ...response, hasOtherHead }));
                }
                else {
                    fail(fault);
                }
            };
            const handler = createResponseCollector({
                method: outgoing.method,
                maxResponseBytes,
                buffers,
                connectionEnd: () => connection.connectionEnd(),
                onWriteStart: () => {
                    if (!isSettled) {
                        responseHandler.onWriteStart();
                    }
                },
                // Deferred: stray bytes that follow in the same chunk are parsed first and close the connection.
                onResponse: response => {
                    onResponseEnded(response);
                    queueMicrotask(() => succeed(response));
                },
                // Deferred: the client refuses a request that it can't send while it is handed over.
                onFailure: reason => queueMicrotask(() => fail(reason)),
                onNoMemory: reason => settle(false, () => (responseHandler.onNoMemory ?? responseHandler.onFailure)(reason)),
            });
            connection.client.dispatch({
                method: outgoing.method as Dispatcher.HttpMethod,
                path: outgoing.path,
                headers: outgoing.headers as string[],
                body: outgoing.body ?? null,
            }, handler);
            return () => {
                // A connection that has answered is in use by another request, or idle.
                if (!isSettled) {
                    isSettled = true;
                    abort(connection);
                }
            };
        },
        closeIdle: address => {
            [...(idle.get(address) ?? [])].forEach(discard);
            idle.delete(address);
        },
        openCount: () => all.size,
        close: () => {
            [...idle.values()].flat().forEach(discard);
            all.forEach(abort);
        },
    };
}

type ConnectCallback = (...outcome: [null, net.Socket] | [Error, null]) => void;

function openSocket(timer: Timer, host: string, port: number, connectTimeoutMs: number, done: ConnectCallback): void {
    const socket = net.connect({ host, port, noDelay: true });
    const cancel = timer.after(
        connectTimeoutMs,
        () => socket.destroy(new Error(`connection not established within ${connectTimeoutMs} ms`)),
    );
    const failed = (error: Error): void => {
        cancel();
        done(error, null);
    };
    socket.once("error", failed);
    socket.once("connect", () => {
        cancel();
        socket.off("error", failed);
        done(null, socket);
    });
}
