/**
 * HTTP/1.1 server for callers. Buffers the complete request before routing it, so that an attempt at a target never
 * depends on data that the caller has yet to send.
 */
import { type Result, results } from "@pimentospring/core/results/resultCode";
import type { ConnectionPlace } from "@pimentospring/core/steering/connectionPlace";
import type { CallerLimits } from "@pimentospring/core/steering/steeringDocument";
import type { Timer } from "@pimentospring/core/time/timer";
import { createConnectionInput } from "@pimentospring/runtime/http/connectionInput";
import { refuseMalformedRequests } from "@pimentospring/runtime/http/malformedRequests";
import { trackConnections } from "@pimentospring/runtime/http/serverConnections";
import type { Log } from "@pimentospring/runtime/logs/log";
import { logEvents } from "@pimentospring/runtime/logs/logEvents";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { ResponseBody } from "../targets/responseBody.js";
import type { ResponseBuffers } from "../targets/responseBuffers.js";
import type { CallerLimit, CallerLimitLog } from "./callerLimitLog.js";
import { type CallerResponder, createResponder } from "./callerResponder.js";
import type { CallerResponseEnd, ResponseProgress } from "./callerResponseEnd.js";
import { createCountedResponses } from "./countedResponses.js";
import { createMemoryQuota } from "./memoryQuota.js";
import { type BodyFault, createOpenBodies } from "./openBodies.js";
import { readBody } from "./requestBody.js";

export interface CallerRequest {
    readonly method: string;
    readonly path: string;
    readonly host: string;
    /** Alternating names and values, as received. */
    readonly rawHeaders: readonly string[];
    readonly header: (name: string) => string | undefined;
    readonly body: Buffer;
    readonly callerAddress: string;
    /** Removes the headers for whose lower-case name `isRemoved` holds from memory. */
    readonly removeHeaders: (isRemoved: (name: string) => boolean) => void;
    /** When it had been received whole, on the timer's clock; it may wait behind others of its connection. */
    readonly receivedAt: number;
    /** Its present place among the requests of its connection. */
    readonly place: ConnectionPlace;
}

export interface CallerServerOptions {
    readonly log: Log;
    readonly timer: Timer;
    /** Limit on the memory of all request bodies together, in bytes. */
    readonly maxBufferedBytes: number;
    /** Told of bytes of request bodies as they arrive. */
    readonly onBodyBytes?: (bytes: number) => void;
    /** Limit on the bytes of all callers that have been received and not been parsed yet. */
    readonly maxUnparsedBytes: number;
    /** Connections beyond this number are closed as they arrive. */
    readonly maxConnections: number;
    /** Whether requests are to be refused as memory is short. */
    readonly isMemoryScarce: () => boolean;
    /** Counts responses until their callers have read them. */
    readonly responseBuffers: ResponseBuffers;
    /** Told of what callers did beyond the limits. */
    readonly limitLog?: CallerLimitLog;
    /** Told how each response of a target ended towards its caller. */
    readonly onResponseEnd?: (end: CallerResponseEnd) => void;
    /**
     * Called with each complete request. The returned function is called if the caller disconnects before the response
     * is sent.
     */
    readonly onRequest: (request: CallerRequest, responder: CallerResponder) => () => void;
}

export interface CallerServer {
    readonly server: Server;
    setLimits(limits: CallerLimits): void;
    /** Closes the connection after each response from now on. */
    disableKeepAlive(): void;
    /** Closes the connections on which no request is received, handled or answered. */
    closeIdleConnections(): void;
    /** Closes the connections on which a request's head is being received; returns how many. */
    closeUnfinishedHeads(): number;
    /** Accepts no further connections and leaves the open ones alone. */
    stopListening(): void;
    /** Requests whose head was received and whose response is not yet with the operating system. */
    openRequestCount(): number;
    openConnectionCount(): number;
    /** Resets the connections on which responses of targets are being written; returns what was cut. */
    cutOpenResponses(): readonly ResponseProgress[];
    /** Memory of request bodies, from their first byte until their requests have ended. */
    bodyBytes(): number;
    /** Requests refused so far for lack of memory. */
    memoryRefusalCount(): number;
    /** Connections closed so far as there were too many. */
    droppedConnectionCount(): number;
}

/**
 * Factor on the operator's limit on a request head up to which a head is received, so that its request gets our own refusal. Larger
 * ones are refused as they arrive: unfinished heads are kept by the parser and counted nowhere.
 */
const receivedHeaderFactor = 2;
const maxHeaderBytes = 64 * 1024;
/** Timeout for receiving a complete request, body included. */
const requestTimeoutMs = 60_000;
const connectionCheckIntervalMs = 500;
/** How long the rest of a refused body is read, so that the caller is not reset before it has read the refusal. */
const lingerMs = 2_000;
/** Time for which the process may be behind with its callers' input before bodies of many small chunks are refused. */
const maxBacklogMs = 1_000;
/** Time until a caller may repeat a request whose body took too much processor time. */
const tooManyChunksRetryAfterMs = 5_000;
/** Time until a caller may repeat a request for which there was no memory. */
const noMemoryRetryAfterMs = 500;
/** Time between two log lines on dropped connections. */
const dropLogIntervalMs = 2_000;
/**
 * Connections stay open this much longer than callers may reuse them, so that none is closed while a request arrives.
 */
const keepAliveMarginMs = 1_000;

const defaultLimits: CallerLimits = {
    maxHeaderBytes: 16 * 1024,
    maxBodyBytes: 64 * 1024 * 1024,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
};

export function createCallerServer(options: CallerServerOptions): CallerServer {
    const { log, timer, responseBuffers, onRequest } = options;
    const countedResponses = createCountedResponses({ timer, buffers: responseBuffers, onEnd: options.onResponseEnd });
    const memoryQuota = createMemoryQuota(options.maxBufferedBytes, options.onBodyBytes);
    const recordLimit = options.limitLog?.record ?? (() => {});
    const openBodies = createOpenBodies({
        timer,
        maxFramingMs: () => limits.headerTimeoutMs,
        isBehind: () => input.backlogMs() >= maxBacklogMs,
    });
    const bodyAllocations = createMemoryQuota(options.maxBufferedBytes);
    let limits = defaultLimits;
    let isKeepAliveDisabled = false;
    let memoryRefusals = 0;
    let droppedConnections = 0;

    const submit = (request: CallerRequest, responder: CallerResponder): () => void => {
        try {
            return onRequest(request, responder);
        }
        catch (error) {
            log.write(logEvents.fault, { reason: (error as Error).stack });
            responder.refuse(results.unexpectedError, undefined);
            return () => {};
        }
    };
    const handle = (request: IncomingMessage, response: ServerResponse): void => {
        response.sendDate = false;
        if (input.isEnding(request.socket)) {
            // The response to an earlier request closes the connection, so that this request is ignored.
            return;
        }
        if (!response.shouldKeepAlive) {
            input.endAfter(response);
        }
        const endResponse = (body: ResponseBody, requestId: string): void => countedResponses.end(response, body, requestId);
        const responder = createResponder({ response, isKeepAliveDisabled: () => isKeepAliveDisabled, endResponse });
        /** Refuses a request whose body is left unread, and closes the connection, which can't be reused. */
        const refuseUnread = (result: Result, retryAfterMs?: number, endRefusal = endAfterRequest): void => {
            input.endAfter(response);
            const end = (body: string): void => endRefusal({ request, response, timer, body });
            createResponder({ response, isKeepAliveDisabled: () => true, endResponse, endRefusal: end })
                .refuse(result, retryAfterMs);
        };
        /** Refuses a request whose body went beyond a limit; what follows of it is not parsed. */
        const refuseBody = (fault: BodyFault): void => {
            recordLimit(limitOf[fault]);
            input.discard(request.socket);
            refuseUnread(resultOf[fault], retryAfterOf[fault], fault === "stalled" ? endAtOnce : endAfterRequest);
        };
        const refuseForMemory = (): void => {
            memoryRefusals++;
            refuseUnread(results.noMemory, noMemoryRetryAfterMs);
        };
        if (options.isMemoryScarce() && !openBodies.giveUpStalled()) {
            refuseForMemory();
            return;
        }
        if (headBytes(request) > limits.maxHeaderBytes) {
            refuseUnread(results.headTooLarge);
            return;
        }
        if (Number(request.headers["content-length"] ?? 0) > limits.maxBodyBytes) {
            refuseUnread(results.bodyTooLarge);
            return;
        }
        const { maxBodyBytes } = limits;
        readBody({
            request,
            response,
            maxBodyBytes,
            memoryQuota,
            bodyAllocations,
            openBodies,
            parsedBytesOf: input.parsedBytesOf,
        }, outcome => {
            switch (outcome) {
                case "tooLarge":
                    refuseUnread(results.bodyTooLarge);
                    return;
                case "noMemory":
                    refuseForMemory();
                    return;
                case "tooSlow":
                case "stalled":
                case "framing":
                case "tooManyChunks":
                    refuseBody(outcome);
                    return;
            }
            const receivedAt = timer.now();
            // Waits for another read of the sockets, so that a caller that disconnected while the event loop was
            // blocked is detected before its request is forwarded.
            afterNextPoll(() => {
                if (request.socket.destroyed || request.socket.readableEnded) {
                    return;
                }
                input.enter(response, place => {
                    const onCallerLeft = submit(toCallerRequest(request, outcome, receivedAt, place), responder);
                    response.once("close", () => {
                        if (!response.writableEnded) {
                            onCallerLeft();
                        }
                    });
                });
            });
        });
    };
    const server = createServer({
        maxHeaderSize: receivedHeaderBytes(limits),
        keepAliveTimeout: limits.idleTimeoutMs + keepAliveMarginMs,
        headersTimeout: limits.headerTimeoutMs,
        requestTimeout: requestTimeoutMs,
        connectionsCheckingInterval: connectionCheckIntervalMs,
        noDelay: true,
    }, handle);
    const connections = trackConnections({ server, timer });
    const input = createConnectionInput({
        server,
        timer,
        unreadBytesOf: countedResponses.unreadBytesOf,
        onUnread: () => recordLimit("unread"),
        maxHeldBytes: options.maxUnparsedBytes,
        onExcess: socket => {
            recordLimit("unparsed");
            socket.resetAndDestroy();
        },
    });
    /** Ends a connection that serves nobody, if there is any, so that the next one is accepted. */
    const makeRoom = (): void => {
        if (connections.closeOneIdle()) {
            return;
        }
        if (connections.closeOneReceiving()) {
            recordLimit("slowHead");
            return;
        }
        openBodies.giveUpStalled();
    };
    server.maxConnections = options.maxConnections;
    let dropsLoggedAt = -Infinity;
    let loggedDrops = 0;
    server.on("drop", () => {
        droppedConnections++;
        makeRoom();
        if (timer.now() >= dropsLoggedAt + dropLogIntervalMs) {
            log.write(logEvents.callersDropped, { count: droppedConnections - loggedDrops, open: connections.openCount() });
            dropsLoggedAt = timer.now();
            loggedDrops = droppedConnections;
        }
    });
    refuseMalformedRequests({
        server,
        timer,
        onError: (error, count) => log.write(logEvents.callerError, { reason: error.code ?? error.message, count }),
        refusalOf: error => `HTTP/1.1 ${statusLineFor(error)}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
    });
    return {
        server,
        setLimits: next => {
            limits = next;
            // Read by Node at each new connection.
            Object.assign(server, { maxHeaderSize: receivedHeaderBytes(next) });
            server.keepAliveTimeout = next.idleTimeoutMs + keepAliveMarginMs;
            server.headersTimeout = next.headerTimeoutMs;
        },
        disableKeepAlive: () => {
            isKeepAliveDisabled = true;
        },
        closeIdleConnections: connections.closeIdle,
        closeUnfinishedHeads: connections.closeReceiving,
        stopListening: connections.stopListening,
        openRequestCount: connections.openRequestCount,
        openConnectionCount: connections.openCount,
        cutOpenResponses: countedResponses.cutOpen,
        bodyBytes: memoryQuota.usedBytes,
        memoryRefusalCount: () => memoryRefusals,
        droppedConnectionCount: () => droppedConnections,
    };
}

const limitOf = {
    tooSlow: "slowBody",
    stalled: "slowBody",
    framing: "framing",
    tooManyChunks: "smallChunks",
} as const satisfies Record<BodyFault, CallerLimit>;

const resultOf: Readonly<Record<BodyFault, Result>> = {
    tooSlow: results.requestTooSlow,
    stalled: results.requestTooSlow,
    framing: results.tooMuchFraming,
    tooManyChunks: results.tooManyChunks,
};

const retryAfterOf: Readonly<Partial<Record<BodyFault, number>>> = { tooManyChunks: tooManyChunksRetryAfterMs };

const receivedHeaderBytes = (limits: CallerLimits): number =>
    Math.min(maxHeaderBytes, receivedHeaderFactor * limits.maxHeaderBytes);

/**
 * Calls `done` after the event loop has polled the sockets again: the second immediate runs after the next poll phase.
 */
function afterNextPoll(done: () => void): void {
    setImmediate(() => setImmediate(done));
}

function statusLineFor(error: NodeJS.ErrnoException): string {
    switch (error.code) {
        case "HPE_HEADER_OVERFLOW":
            return "431 Request Header Fields Too Large";
        case "ERR_HTTP_REQUEST_TIMEOUT":
            return "408 Request Timeout";
        default:
            return "400 Bad Request";
    }
}

function headBytes(request: IncomingMessage): number {
    let size = (request.url?.length ?? 0) + (request.method?.length ?? 0);
    request.rawHeaders.forEach(text => {
        size += text.length + 2;
    });
    return size;
}

interface UnreadRequestEnd {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly timer: Timer;
    /** Body of the refusal. */
    readonly body: string;
}

/**
 * Ends a response to a request that is not read whole. The body is sent at once; the rest of the request is read and
 * dropped before the connection closes, up to a time limit.
 */
function endAfterRequest({ request, response, timer, body }: UnreadRequestEnd): void {
    if (request.complete) {
        response.end(body);
        return;
    }
    const cancel = timer.after(lingerMs, () => response.end());
    request.once("end", () => {
        cancel();
        response.end();
    });
    response.once("close", cancel);
    response.write(body);
    request.resume();
}

/** Ends a response to a request of which nothing arrives, so that its connection makes room for another. */
const endAtOnce = ({ response, body }: UnreadRequestEnd): void => void response.end(body);

function toCallerRequest(
    request: IncomingMessage,
    body: Buffer,
    receivedAt: number,
    place: ConnectionPlace,
): CallerRequest {
    return {
        method: request.method ?? "GET",
        path: request.url ?? "/",
        host: request.headers.host ?? "",
        rawHeaders: request.rawHeaders,
        header: name => {
            const value = request.headers[name];
            return Array.isArray(value) ? value[0] : value;
        },
        body,
        removeHeaders: isRemoved => removeHeaders(request, isRemoved),
        callerAddress: request.socket.remoteAddress ?? "",
        receivedAt,
        place,
    };
}

function removeHeaders({ rawHeaders, headers }: IncomingMessage, isRemoved: (name: string) => boolean): void {
    for (let at = rawHeaders.length - 2; at >= 0; at -= 2) {
        const name = rawHeaders[at]!.toLowerCase();
        if (isRemoved(name)) {
            rawHeaders.splice(at, 2);
            delete headers[name];
        }
    }
}
