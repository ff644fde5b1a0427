/**
 * Connections to targets: one request at a time on each, kept for the next one. A connection on which anything went
 * wrong is closed, so that bytes which belong to no request are never taken for an answer.
 */
import type { Timer } from "@pimentospring/core/time/timer";
import net from "node:net";
import { Client, type Dispatcher } from "undici";
import { createResponseBuffers, type ResponseBuffer, type ResponseBuffers } from "./responseBuffers.js";
import type { TargetResponse } from "./targetResponse.js";

export interface OutgoingRequest {
    readonly method: string;
    readonly path: string;
    /** Name and value by turns. */
    readonly headers: readonly string[];
    readonly body: Buffer | undefined;
}

export interface ResponseHandler {
    /** Bytes of the request are about to be written. */
    onWriteStart(): void;
    /** The whole answer came. Returns whether it is the one that was asked for; if not, the connection is closed. */
    isExpected(answer: TargetResponse): boolean;
    /** An accepted answer, after its connection was given back for the next request. */
    onResponse(answer: TargetResponse): void;
    /** No whole answer came, and none will. */
    onFailure(reason: string): void;
}

export interface TargetConnections {
    /** Sends over a kept connection, or over a new one when none is idle or `isFresh` asks for one. Returns the cancel. */
    send(address: string, outgoing: OutgoingRequest, isFresh: boolean, connectMs: number, reception: ResponseHandler): () => void;
    /** Closes the idle connections to an address. */
    closeIdle(address: string): void;
    /** Connections that are open or being opened. */
    openCount(): number;
    close(): void;
}

export interface TargetConnectionsOptions {
    readonly timer: Timer;
    /** Largest answer that is taken, in bytes. */
    readonly maxResponseBytes: number;
    /** Most bytes of answers that are being received, all together. */
    readonly maxBufferedBytes: number;
}

/** Idle connections are closed after this time when the target names none. */
const idleTimeoutMs = 4_000;
/** Closed this long before the time that the target names, since the request takes a while to arrive. */
const idleTimeoutMarginMs = 1_500;
/** Interim answers (1xx) that may come before an answer. */
const maxInterimResponses = 16;
/** Largest head of an answer, in bytes. */
const maxHeadBytes = 16 * 1_024;

interface Connection {
    readonly client: Client;
    readonly address: string;
    /** The socket, once there is one. */
    socket: net.Socket | undefined;
    /** Whether the socket failed; an answer whose end is the connection's end is then not whole. */
    hasFailed: boolean;
}

export function createTargetConnections(options: TargetConnectionsOptions): TargetConnections {
    const { timer, maxResponseBytes: answerBytes } = options;
    const idle = new Map<string, Connection[]>();
    const all = new Set<Connection>();
    const held = createResponseBuffers(options.maxBufferedBytes);

    const discard = (connection: Connection): void => {
        all.delete(connection);
        const list = idle.get(connection.address);
        const at = list?.indexOf(connection) ?? -1;
        if (at !== -1) {
            list!.splice(at, 1);
        }
        connection.client.destroy().catch(() => {
            // Destroying a client twice is the only way this fails.
        });
    };
    const connect = (address: string, connectMs: number): Connection => {
        const client = new Client(`http://${address}`, {
            pipelining: 1,
            headersTimeout: 0,
            maxHeaderSize: maxHeadBytes,
            bodyTimeout: 0,
            keepAliveTimeout: idleTimeoutMs,
            keepAliveTimeoutThreshold: idleTimeoutMarginMs,
            connect: (target, done) =>
                openSocket(timer, target.hostname, Number(target.port), connectMs, (...outcome) => {
                    watch(outcome[1]);
                    done(...outcome);
                }),
        });
        const connection: Connection = { client, address, socket: undefined, hasFailed: false };
        const watch = (socket: net.Socket | null): void => {
            connection.socket = socket ?? undefined;
            socket?.once("error", (error: NodeJS.ErrnoException) => {
                // The client closes sockets with errors of its own; only those of the system are failures.
                connection.hasFailed = error.syscall !== undefined;
            });
        };
        all.add(connection);
        client.on("disconnect", () => discard(connection));
        client.on("connectionError", () => discard(connection));
        return connection;
    };
    const take = (address: string): Connection | undefined => {
        const list = idle.get(address);
        return list?.pop();
    };
    const keep = (connection: Connection): void => {
        if (!all.has(connection)) {
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
        send: (address, outgoing, isFresh, connectMs, reception) => {
            const connection = (isFresh ? undefined : take(address)) ?? connect(address, connectMs);
            let isOver = false;
            const end = (isKept: boolean, report: () => void): void => {
                if (isOver) {
                    return;
                }
                isOver = true;
                // Given back before the report, so that what is sent next can use it.
                if (isKept) {
                    keep(connection);
                }
                else {
                    discard(connection);
                }
                report();
            };
            const broken = (reason: string): void => end(false, () => reception.onFailure(reason));
            const answered = (answer: TargetResponse): void => {
                if (isOver) {
                    return;
                }
                if (connection.hasFailed) {
                    broken("the connection failed before the answer was whole");
                }
                else if (!reception.isExpected(answer)) {
                    broken("the answer belongs to another request");
                }
                else {
                    end(connection.socket?.destroyed === false, () => reception.onResponse(answer));
                }
            };
            const handler = createHandler({
                answerBytes,
                held,
                written: () => {
                    if (!isOver) {
                        reception.onWriteStart();
                    }
                },
                // Not at once: bytes that follow in the same piece are looked at first, and close the connection.
                answered: answer => queueMicrotask(() => answered(answer)),
                broken,
            });
            connection.client.dispatch({
                method: outgoing.method as Dispatcher.HttpMethod,
                path: outgoing.path,
                headers: outgoing.headers as string[],
                body: outgoing.body ?? null,
            }, handler);
            return () => {
                isOver = true;
                discard(connection);
            };
        },
        closeIdle: address => {
            [...(idle.get(address) ?? [])].forEach(discard);
            idle.delete(address);
        },
        openCount: () => all.size,
        close: () => [...all].forEach(discard),
    };
}

interface HandlerOptions {
    readonly answerBytes: number;
    readonly held: ResponseBuffers;
    readonly written: () => void;
    readonly answered: (answer: TargetResponse) => void;
    readonly broken: (reason: string) => void;
}

/** Collects one answer. */
function createHandler(options: HandlerOptions): Dispatcher.DispatchHandler {
    const { answerBytes, held } = options;
    let status = 0;
    let statusText = "";
    let rawHeaders: string[] = [];
    let size = 0;
    let interim = 0;
    let chunks: Buffer[] = [];
    let controller: Dispatcher.DispatchController | undefined;
    const answer: ResponseBuffer = {
        bytes: () => size,
        abort: reason => {
            chunks = [];
            controller?.abort(new Error(reason));
        },
    };
    return {
        onRequestStart: started => {
            controller = started;
            held.add(answer);
            options.written();
        },
        onResponseStart: (started, statusCode, _headers, statusMessage) => {
            if (statusCode >= 200) {
                status = statusCode;
                statusText = statusMessage ?? "";
                rawHeaders = ((started.rawHeaders ?? []) as readonly (Buffer | string)[]).map(item => item.toString("latin1"));
            }
            else if (++interim > maxInterimResponses) {
                started.abort(new Error(`more than ${maxInterimResponses} interim answers`));
            }
        },
        onResponseData: (_started, chunk) => {
            // The parser may use its memory again.
            chunks.push(Buffer.from(chunk));
            size += chunk.length;
            held.recordBytes(chunk.length);
            if (size > answerBytes) {
                answer.abort(`the answer is larger than ${answerBytes} bytes`);
            }
        },
        onResponseEnd: () => {
            held.remove(answer);
            options.answered({ status, statusText, rawHeaders, body: Buffer.concat(chunks, size) });
        },
        onResponseError: (_started, error) => {
            held.remove(answer);
            chunks = [];
            options.broken(error.message);
        },
    };
}

type Connected = (...outcome: [null, net.Socket] | [Error, null]) => void;

function openSocket(timer: Timer, host: string, port: number, connectMs: number, done: Connected): void {
    const socket = net.connect({ host, port, noDelay: true });
    const cancel = timer.after(connectMs, () => socket.destroy(new Error(`no connection within ${connectMs} ms`)));
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
