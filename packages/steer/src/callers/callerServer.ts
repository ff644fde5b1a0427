/**
 * HTTP/1.1 server for callers. Buffers the complete request before routing it, so that an attempt at a target never
 * depends on data that the caller has yet to send.
 */
import { type Result, results } from "@pimentospring/core/results/resultCode";
import type { CallerLimits } from "@pimentospring/core/steering/steeringDocument";
import type { Log } from "@pimentospring/runtime/logs/log";
import { logEvents } from "@pimentospring/runtime/logs/logEvents";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { endToEndHeaders } from "../targets/hopHeaders.js";
import { hasDeclaredLength, type TargetResponse } from "../targets/targetResponse.js";

export interface CallerRequest {
    readonly method: string;
    readonly path: string;
    readonly host: string;
    /** Alternating names and values, as received. */
    readonly rawHeaders: readonly string[];
    readonly header: (name: string) => string | undefined;
    readonly body: Buffer;
    readonly callerAddress: string;
}

/** Sends the final response to a request. Calls after the first have no effect. */
export interface CallerResponder {
    respond(targetResponse: TargetResponse): void;
    refuse(result: Result, retryAfterMs: number | undefined): void;
}

export interface CallerServerOptions {
    readonly log: Log;
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
}

/** Hard limit on the size of a request head. The operator's limit may be lower and is checked separately. */
const maxHeaderBytes = 64 * 1024;
/** Timeout for receiving a complete request, body included. */
const requestTimeoutMs = 60_000;
const connectionCheckIntervalMs = 500;
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
    const { log, onRequest } = options;
    let limits = defaultLimits;
    let isKeepAliveDisabled = false;

    const handle = (request: IncomingMessage, response: ServerResponse): void => {
        response.sendDate = false;
        const responder = createResponder(response, () => isKeepAliveDisabled);
        if (headBytes(request) > limits.maxHeaderBytes) {
            refuseUnread(responder, response, results.headTooLarge);
            return;
        }
        if (Number(request.headers["content-length"] ?? 0) > limits.maxBodyBytes) {
            refuseUnread(responder, response, results.bodyTooLarge);
            return;
        }
        readBody(request, limits.maxBodyBytes, outcome => {
            if (outcome === "tooLarge") {
                refuseUnread(responder, response, results.bodyTooLarge);
                return;
            }
            // Waits for another read of the sockets, so that a caller that disconnected while the event loop was
            // blocked is detected before its request is forwarded.
            afterNextPoll(() => {
                if (request.socket.destroyed || request.socket.readableEnded) {
                    return;
                }
                const onCallerLeft = onRequest(toCallerRequest(request, outcome), responder);
                response.once("close", () => {
                    if (!response.writableEnded) {
                        onCallerLeft();
                    }
                });
            });
        });
    };
    const server = createServer({
        maxHeaderSize: maxHeaderBytes,
        keepAliveTimeout: limits.idleTimeoutMs + keepAliveMarginMs,
        headersTimeout: limits.headerTimeoutMs,
        requestTimeout: requestTimeoutMs,
        connectionsCheckingInterval: connectionCheckIntervalMs,
        noDelay: true,
    }, handle);
    server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
        log.write(logEvents.callerError, { reason: error.code ?? error.message });
        if (socket.writable) {
            socket.end(`HTTP/1.1 ${statusLineFor(error)}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
        }
        else {
            socket.destroy();
        }
    });
    return {
        server,
        setLimits: next => {
            limits = next;
            server.keepAliveTimeout = next.idleTimeoutMs + keepAliveMarginMs;
            server.headersTimeout = next.headerTimeoutMs;
        },
        disableKeepAlive: () => {
            isKeepAliveDisabled = true;
        },
    };
}

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

function readBody(request: IncomingMessage, maxBytes: number, done: (outcome: Buffer | "tooLarge") => void): void {
    const chunks: Buffer[] = [];
    let size = 0;
    request.on("data", (chunk: Buffer) => {
        size += chunk.length;
        if (size <= maxBytes) {
            chunks.push(chunk);
            return;
        }
        request.removeAllListeners("data").removeAllListeners("end").resume();
        done("tooLarge");
    });
    request.on("end", () => done(Buffer.concat(chunks, size)));
    request.on("error", () => {
        // The caller disconnected before the request was complete: nothing was routed and no response is expected.
    });
}

function toCallerRequest(request: IncomingMessage, body: Buffer): CallerRequest {
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
        callerAddress: request.socket.remoteAddress ?? "",
    };
}

/** Refuses a request whose body is left unread, and closes the connection, which can't be reused. */
function refuseUnread(responder: CallerResponder, response: ServerResponse, result: Result): void {
    response.shouldKeepAlive = false;
    responder.refuse(result, undefined);
}

const isContentLength = (name: string): boolean => name === "content-length";

function createResponder(response: ServerResponse, isKeepAliveDisabled: () => boolean): CallerResponder {
    const isFinished = (): boolean => response.destroyed || response.writableEnded;
    return {
        respond: targetResponse => {
            if (isFinished()) {
                return;
            }
            const headers = endToEndHeaders(targetResponse.rawHeaders, isContentLength);
            if (response.req.method === "HEAD") {
                headers.push(...declaredLength(targetResponse));
            }
            else if (targetResponse.status !== 204 && targetResponse.status !== 304 && hasDeclaredLength(targetResponse)) {
                headers.push("Content-Length", String(targetResponse.body.length));
            }
            else if (targetResponse.status >= 200 && targetResponse.status !== 204 && targetResponse.status !== 304) {
                // Without Content-Length and chunked encoding, closing the connection marks the end of the response.
                response.useChunkedEncodingByDefault = false;
                response.shouldKeepAlive = false;
            }
            if (isKeepAliveDisabled()) {
                response.shouldKeepAlive = false;
            }
            response.writeHead(targetResponse.status, targetResponse.statusText, headers);
            response.end(targetResponse.body);
        },
        refuse: (result, retryAfterMs) => {
            if (isFinished()) {
                return;
            }
            const body = JSON.stringify({ error: result.name, code: result.code, text: result.text });
            const headers = ["Content-Type", "application/json", "Content-Length", String(Buffer.byteLength(body))];
            headers.push("X-Pimento-Result", String(result.code));
            if (retryAfterMs !== undefined) {
                headers.push("Retry-After", (retryAfterMs / 1_000).toFixed(3));
            }
            if (isKeepAliveDisabled()) {
                response.shouldKeepAlive = false;
            }
            response.writeHead(result.status, headers);
            response.end(body);
        },
    };
}

function declaredLength(targetResponse: TargetResponse): string[] {
    const at = targetResponse.rawHeaders.findIndex((text, index) => index % 2 === 0 && text.toLowerCase() === "content-length");
    return at === -1 ? [] : ["Content-Length", targetResponse.rawHeaders[at + 1]!];
}
