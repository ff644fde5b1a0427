/**
 * HTTP/1.1 server for callers. Buffers the complete request before routing it, so that an attempt at a target never
 * depends on data that the caller has yet to send.
 */
import { type Result, results } from "@pimentospring/core/results/resultCode";
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
import { createBodyBuffer } from "./bodyBuffer.js";
import type { CallerLimitLog } from "./callerLimitLog.js";
import { type CallerResponder, createResponder } from "./callerResponder.js";
import type { CallerResponseEnd, ResponseProgress } from "./callerResponseEnd.js";
import { createCountedResponses } from "./countedResponses.js";
import { createMemoryQuota, type MemoryQuota } from "./memoryQuota.js";
import { createOpenBodies, type OpenBodies, type OpenBody } from "./openBodies.js";

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
}

export interface CallerServerOptions {
    readonly log: Log;
    readonly timer: Timer;
    /** Limit on the memory of all request bodies together, in bytes. */
    readonly maxBufferedBytes: number;
    /** Told of bytes of request bodies as they arrive. */
    readonly onBodyBytes?: (bytes: number) => void;
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
    const openBodies = createOpenBodies({ timer, maxFramingMs: () => limits.headerTimeoutMs });
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
        const refuseUnread = (result: Result, retryAfterMs?: number): void => {
            input.endAfter(response);
            const endRefusal = (body: string): void => endAfterRequest(request, response, timer, body);
            createResponder({ response, isKeepAliveDisabled: () => true, endResponse, endRefusal }).refuse(result, retryAfterMs);
        };
        const refuseForMemory = (): void => {
            memoryRefusals++;
            refuseUnread(results.noMemory, noMemoryRetryAfterMs);
        };
        if (options.isMemoryScarce()) {
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
        readBody({ request, response, maxBodyBytes, memoryQuota, bodyAllocations, openBodies }, outcome => {
            switch (outcome) {
                case "tooLarge":
                    refuseUnread(results.bodyTooLarge);
                    return;
                case "noMemory":
                    refuseForMemory();
                    return;
                case "tooSlow":
                    recordLimit("slowBody");
                    refuseUnread(results.requestTooSlow);
                    return;
                case "framing":
                    recordLimit("framing");
                    refuseUnread(results.tooMuchFraming);
                    return;
            }
            const receivedAt = timer.now();
            // Waits for another read of the sockets, so that a caller that disconnected while the event loop was
            // blocked is detected before its request is forwarded.
            afterNextPoll(() => {
                if (request.socket.destroyed || request.socket.readableEnded) {
                    return;
                }
                input.enter(response, () => {
                    const onCallerLeft = submit(toCallerRequest(request, outcome, receivedAt), responder);
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
    });
    server.maxConnections = options.maxConnections;
    let dropsLoggedAt = -Infinity;
    let loggedDrops = 0;
    server.on("drop", () => {
        droppedConnections++;
        // Makes room for the next one.
        if (!connections.closeOneIdle() && connections.closeOneReceiving()) {
            recordLimit("slowHead");
        }
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

interface BodyReading {
    readonly request: IncomingMessage;
    /** The body counts against the quota until this response is closed. */
    readonly response: ServerResponse;
    readonly maxBodyBytes: number;
    readonly memoryQuota: MemoryQuota;
    /** Bounds the memory of bodies that are allocated before they have arrived. */
    readonly bodyAllocations: MemoryQuota;
    readonly openBodies: OpenBodies;
}

type BodyOutcome = Buffer | "tooLarge" | "noMemory" | "tooSlow" | "framing";

/** Reads the body. `done` is not called if the caller disconnects before its request is complete. */
function readBody(reading: BodyReading, done: (outcome: BodyOutcome) => void): void {
    const { request, response, maxBodyBytes, memoryQuota, openBodies } = reading;
    const body = createBodyBuffer({
        expectedBytes: Number(request.headers["content-length"] ?? 0),
        allocations: reading.bodyAllocations,
        reserve: bytes => {
            while (!memoryQuota.tryTake(bytes)) {
                if (!openBodies.giveUpStalled()) {
                    return false;
                }
            }
            return true;
        },
        release: memoryQuota.giveBack,
    });
    let size = 0;
    const giveUp = (outcome: BodyOutcome): void => {
        request.off("data", onData).off("end", onEnd);
        openBodies.remove(openBody);
        body.clear();
        done(outcome);
    };
    const openBody: OpenBody = {
        size: () => size,
        connectionBytes: () => request.socket.bytesRead,
        giveUp,
    };
    const onData = (chunk: Buffer): void => {
        if (size + chunk.length > maxBodyBytes) {
            giveUp("tooLarge");
            return;
        }
        size += chunk.length;
        openBodies.recordProgress(openBody);
        if (!body.add(chunk)) {
            giveUp("noMemory");
        }
    };
    const onEnd = (): void => {
        openBodies.remove(openBody);
        done(body.take());
    };
    if (hasBody(request)) {
        openBodies.add(openBody);
    }
    request.on("data", onData);
    request.on("end", onEnd);
    request.on("error", () => {
        // The caller disconnected before the request was complete: nothing was routed and no response is expected.
    });
    response.once("close", () => {
        openBodies.remove(openBody);
        body.clear();
    });
}

const hasBody = ({ headers }: IncomingMessage): boolean =>
    headers["transfer-encoding"] !== undefined || Number(headers["content-length"] ?? 0) > 0;

/**
 * Ends a response to a request that is not read whole. The body is sent at once; the rest of the request is read and
 * dropped before the connection closes, up to a time limit.
 */
function endAfterRequest(request: IncomingMessage, response: ServerResponse, timer: Timer, body: string): void {
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

function toCallerRequest(request: IncomingMessage, body: Buffer, receivedAt: number): CallerRequest {
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
