/**
 * Takes callers' requests over HTTP/1.1. A request is read whole before it is steered, so that what a target gets never
 * depends on what the caller still sends.
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
    /** Name and value by turns, as received. */
    readonly rawHeaders: readonly string[];
    readonly header: (name: string) => string | undefined;
    readonly body: Buffer;
    readonly callerAddress: string;
}

/** Sends the one final answer of a request. */
export interface CallerResponder {
    respond(answer: TargetResponse): void;
    refuse(result: Result, retryAfterMs: number | undefined): void;
}

export interface CallerServerOptions {
    readonly log: Log;
    /** Takes a whole request; the value is told when the caller leaves before its answer. */
    readonly onRequest: (request: CallerRequest, reply: CallerResponder) => () => void;
}

export interface CallerServer {
    readonly server: Server;
    setLimits(limits: CallerLimits): void;
    /** From now on each answer closes its connection. */
    disableKeepAlive(): void;
}

/** Most bytes of a request's head; the operator's limit, which may be less, is checked on top. */
const maxHeaderBytes = 64 * 1024;
/** Time for a whole request with its body. */
const requestTimeoutMs = 60_000;
const connectionCheckIntervalMs = 500;
/** A connection is kept this much longer than callers may use it, so that it is not closed under a request. */
const keepAliveMarginMs = 1_000;

const defaultLimits: CallerLimits = {
    maxHeaderBytes: 16 * 1024,
    maxBodyBytes: 64 * 1024 * 1024,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
};

export function createCallerServer(options: CallerServerOptions): CallerServer {
    const { log, onRequest: take } = options;
    let limits = defaultLimits;
    let isKeepAliveDisabled = false;

    const handle = (request: IncomingMessage, response: ServerResponse): void => {
        response.sendDate = false;
        const reply = createResponder(response, () => isKeepAliveDisabled);
        if (headBytes(request) > limits.maxHeaderBytes) {
            refuseUnread(reply, response, results.headTooLarge);
            return;
        }
        if (Number(request.headers["content-length"] ?? 0) > limits.maxBodyBytes) {
            refuseUnread(reply, response, results.bodyTooLarge);
            return;
        }
        readBody(request, limits.maxBodyBytes, outcome => {
            if (outcome === "tooLarge") {
                refuseUnread(reply, response, results.bodyTooLarge);
                return;
            }
            // After the sockets were read: a caller that left while the process stood still is noticed before its
            // request is sent on.
            afterNextRead(() => {
                if (request.socket.destroyed || request.socket.readableEnded) {
                    return;
                }
                const left = take(toCallerRequest(request, outcome), reply);
                response.once("close", () => {
                    if (!response.writableEnded) {
                        left();
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

/** Calls `done` after the event loop has read the sockets once more: the second immediate comes after the next poll. */
function afterNextRead(done: () => void): void {
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

function readBody(request: IncomingMessage, mostBytes: number, done: (outcome: Buffer | "tooLarge") => void): void {
    const chunks: Buffer[] = [];
    let size = 0;
    request.on("data", (chunk: Buffer) => {
        size += chunk.length;
        if (size <= mostBytes) {
            chunks.push(chunk);
            return;
        }
        request.removeAllListeners("data").removeAllListeners("end").resume();
        done("tooLarge");
    });
    request.on("end", () => done(Buffer.concat(chunks, size)));
    request.on("error", () => {
        // The caller left before the request was whole: nothing was steered, and nobody waits for an answer.
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

/** Answers a request whose body is not read; the connection can't be used any more. */
function refuseUnread(reply: CallerResponder, response: ServerResponse, result: Result): void {
    response.shouldKeepAlive = false;
    reply.refuse(result, undefined);
}

const isContentLength = (name: string): boolean => name === "content-length";

function createResponder(response: ServerResponse, isClosing: () => boolean): CallerResponder {
    const isFinished = (): boolean => response.destroyed || response.writableEnded;
    return {
        respond: answer => {
            if (isFinished()) {
                return;
            }
            const headers = endToEndHeaders(answer.rawHeaders, isContentLength);
            if (response.req.method === "HEAD") {
                headers.push(...declaredLength(answer));
            }
            else if (answer.status !== 204 && answer.status !== 304 && hasDeclaredLength(answer)) {
                headers.push("Content-Length", String(answer.body.length));
            }
            else if (answer.status >= 200 && answer.status !== 204 && answer.status !== 304) {
                // Without a length and without chunks, the end of the connection ends the answer.
                response.useChunkedEncodingByDefault = false;
                response.shouldKeepAlive = false;
            }
            if (isClosing()) {
                response.shouldKeepAlive = false;
            }
            response.writeHead(answer.status, answer.statusText, headers);
            response.end(answer.body);
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
            if (isClosing()) {
                response.shouldKeepAlive = false;
            }
            response.writeHead(result.status, headers);
            response.end(body);
        },
    };
}

function declaredLength(answer: TargetResponse): string[] {
    const at = answer.rawHeaders.findIndex((text, index) => index % 2 === 0 && text.toLowerCase() === "content-length");
    return at === -1 ? [] : ["Content-Length", answer.rawHeaders[at + 1]!];
}
