/** HTTP server for callers: look-ups, tickets, requests to services, health, metrics and status. */
import type { EntryCore } from "@pimentospring/core/entryCore";
import { type ServiceId, toServiceId, toTicket } from "@pimentospring/core/ids";
import type { LookupAnswer } from "@pimentospring/core/lookup/lookup";
import { parseAddress } from "@pimentospring/core/lookup/prefix";
import { type Result, results } from "@pimentospring/core/results/resultCode";
import type { Timer } from "@pimentospring/core/time/timer";
import { createConnectionInput } from "@pimentospring/runtime/http/connectionInput";
import { sendJson } from "@pimentospring/runtime/http/jsonServer";
import { refuseMalformedRequests } from "@pimentospring/runtime/http/malformedRequests";
import { cutResponse } from "@pimentospring/runtime/http/responseCut";
import type { Log } from "@pimentospring/runtime/logs/log";
import { logEvents } from "@pimentospring/runtime/logs/logEvents";
import type { Tracing } from "@pimentospring/runtime/traces/tracing";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import {
    callerHeadersTimeoutMs,
    callerRequestTimeoutMs,
    maxBufferedBodyBytes,
    maxCallerHeaderBytes,
    maxTicketsPerResponse,
    maxUnparsedBytes,
} from "../constants.js";
import { endToEndHeaders } from "../exchange/exchange.js";
import type { ReceivedRequest } from "../exchange/requestExecutor.js";
import type { Metrics } from "../observe/metrics.js";
import { bufferBody } from "./callerBody.js";
import { createCallerResponseWriter, sendRefusal } from "./callerResponseWriter.js";

export const deadlineHeader = "x-pimento-deadline-ms";
export const ticketHeader = "x-pimento-ticket";

export interface CallerServerOptions {
    readonly core: EntryCore;
    readonly log: Log;
    readonly timer: Timer;
    readonly metrics: Metrics;
    readonly tracing: Tracing;
    readonly maxBodyBytes: number;
    readonly submitRequest: (received: ReceivedRequest) => () => void;
}

const servicePrefix = "/s/";
const fastLookupPrefix = "/v1/lookup?caller=";

/** Creates the server without listening. */
export function createCallerServer(options: CallerServerOptions): Server {
    const { core, metrics } = options;
    const encodedAnswers = new WeakMap<LookupAnswer, Buffer>();
    const streamedRequests = new WeakSet<IncomingMessage>();

    const lookup = (request: IncomingMessage, response: ServerResponse, query: URLSearchParams): void => {
        const caller = parseAddress(query.get("caller") ?? remoteAddressOf(request.socket));
        if (caller === undefined) {
            sendRefusal(response, results.badCaller);
            return;
        }
        const answer = core.lookup(caller);
        if (answer === undefined) {
            sendRefusal(response, results.noConfiguration);
            return;
        }
        const service = query.get("service");
        if (service !== null && !core.index()?.services.has(toServiceId(service))) {
            sendRefusal(response, results.unknownService);
            return;
        }
        metrics.countLookup();
        const count = Number(query.get("tickets") ?? 0);
        if (count > 0) {
            sendJson(response, 200, { ...answer, tickets: issueTickets(count) });
            return;
        }
        sendLookup(response, answer);
    };
    /** Many callers share the same answer, so it is encoded only once. */
    const sendLookup = (response: ServerResponse, answer: LookupAnswer): void => {
        let body = encodedAnswers.get(answer);
        if (body === undefined) {
            body = Buffer.from(JSON.stringify(answer));
            encodedAnswers.set(answer, body);
        }
        response.writeHead(200, { "content-type": "application/json", "content-length": body.length });
        response.end(body);
    };
    /** Serves a look-up with only a caller, without the cost of parsing a query; returns false for any other request. */
    const tryFastLookup = (response: ServerResponse, requestTarget: string): boolean => {
        const caller = requestTarget.startsWith(fastLookupPrefix)
            ? parseAddress(requestTarget.slice(fastLookupPrefix.length))
            : undefined;
        const answer = caller === undefined ? undefined : core.lookup(caller);
        if (answer === undefined) {
            return false;
        }
        metrics.countLookup();
        sendLookup(response, answer);
        return true;
    };
    const issueTickets = (count: number): string[] =>
        Array.from({ length: Math.min(count, maxTicketsPerResponse) }, () => core.issueTicket());
    const sendTickets = (response: ServerResponse, query: URLSearchParams): void => {
        const count = Number(query.get("count") ?? 1);
        if (!Number.isInteger(count) || count < 1 || count > maxTicketsPerResponse) {
            sendRefusal(response, results.badHeader, `count must be a whole number from 1 to ${maxTicketsPerResponse}`);
            return;
        }
        if (core.isLeaving()) {
            sendRefusal(response, results.leaving);
            return;
        }
        sendJson(response, 200, { tickets: issueTickets(count) });
    };
    type Handler = (request: IncomingMessage, response: ServerResponse, query: URLSearchParams) => void | Promise<void>;
    const handlers: Record<string, Handler> = {
        "/v1/lookup": lookup,
        "/v1/tickets": (_request, response, query) => sendTickets(response, query),
        "/v1/status": (_request, response) => sendJson(response, 200, core.status()),
        "/v1/explain": (_request, response, query) => explain(core, response, query),
        "/healthz": (_request, response) => sendJson(response, 200, { alive: true }),
        "/readyz": (_request, response) => {
            const isReady = core.index() !== undefined && !core.isLeaving();
            sendJson(response, isReady ? 200 : 503, { ready: isReady });
        },
        "/metrics": async (_request, response) => {
            const text = await metrics.text();
            response.writeHead(200, { "content-type": metrics.contentType, "content-length": Buffer.byteLength(text) });
            response.end(text);
        },
    };
    const server = createServer({
        maxHeaderSize: maxCallerHeaderBytes,
        headersTimeout: callerHeadersTimeoutMs,
        requestTimeout: callerRequestTimeoutMs,
    });
    const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
        const requestTarget = request.url ?? "/";
        if (requestTarget.startsWith(servicePrefix)) {
            handleServiceRequest(options, request, response, requestTarget, () => streamedRequests.add(request));
            return;
        }
        if (tryFastLookup(response, requestTarget)) {
            return;
        }
        const queryStart = requestTarget.indexOf("?");
        const path = queryStart < 0 ? requestTarget : requestTarget.slice(0, queryStart);
        const handler = handlers[path];
        if (handler === undefined) {
            sendRefusal(response, results.unknownPath);
            return;
        }
        await handler(request, response, new URLSearchParams(queryStart < 0 ? "" : requestTarget.slice(queryStart)));
    };
    server.on("request", (request: IncomingMessage, response: ServerResponse) => {
        handle(request, response).catch((error: Error) => {
            options.log.write(logEvents.fault, { reason: error.stack });
            if (response.headersSent) {
                cutResponse(response);
            }
            else {
                sendRefusal(response, results.unexpectedError);
            }
        });
    });
    createConnectionInput({
        server,
        timer: options.timer,
        unreadBytesOf: () => 0,
        onUnread: () => {},
        maxHeldBytes: maxUnparsedBytes,
        onExcess: socket => socket.resetAndDestroy(),
    });
    refuseMalformedRequests({
        server,
        timer: options.timer,
        onError: (error, count) =>
            options.log.write(logEvents.callerError, { reason: error.message, code: malformedResult(error).code, count }),
        mayRun: ({ req }) => streamedRequests.has(req),
        refusalOf: error => formatRefusal(malformedResult(error)),
    });
    return server;
}

const remoteAddressOf = (socket: Socket): string => (socket.remoteAddress ?? "").replace(/^::ffff:/, "");

/** Splits `/s/<service>/<rest>`; undefined when there is no service. */
function splitRequestTarget(requestTarget: string): { readonly service: ServiceId; readonly path: string; } | undefined {
    const end = requestTarget.indexOf("/", servicePrefix.length);
    const service = requestTarget.slice(servicePrefix.length, end < 0 ? undefined : end);
    return service === "" ? undefined : { service: toServiceId(service), path: end < 0 ? "/" : requestTarget.slice(end) };
}

/** Reads the caller's deadline: undefined when there is none, `NaN` when it is malformed. */
function readDeadline(request: IncomingMessage): number | undefined {
    const text = request.headers[deadlineHeader];
    if (text === undefined) {
        return undefined;
    }
    return typeof text === "string" && /^\d{1,8}$/.test(text) && Number(text) > 0 ? Number(text) : Number.NaN;
}

function handleServiceRequest(
    options: CallerServerOptions,
    request: IncomingMessage,
    response: ServerResponse,
    requestTarget: string,
    onStreamed: () => void,
): void {
    const parsedTarget = splitRequestTarget(requestTarget);
    const remainingMs = readDeadline(request);
    if (parsedTarget === undefined) {
        sendRefusal(response, results.unknownPath);
        return;
    }
    if (Number.isNaN(remainingMs)) {
        sendRefusal(response, results.badHeader, `${deadlineHeader} must be a whole number of milliseconds above 0`);
        return;
    }
    const length = Number(request.headers["content-length"] ?? (request.headers["transfer-encoding"] === undefined ? 0 : -1));
    if (length > options.maxBodyBytes) {
        sendRefusal(response, results.bodyTooLarge, `at most ${options.maxBodyBytes} bytes`);
        return;
    }
    const submit = (body: Uint8Array | IncomingMessage | undefined): void =>
        submitServiceRequest(options, request, response, { ...parsedTarget, remainingMs, length, body });
    if (length === 0) {
        submit(undefined);
    }
    else if (length > 0 && length <= maxBufferedBodyBytes) {
        bufferBody(request, length, submit, () => sendRefusal(response, results.bodyIncomplete));
    }
    else {
        onStreamed();
        submit(request);
    }
}

interface ParsedRequest {
    readonly service: ServiceId;
    readonly path: string;
    readonly remainingMs: number | undefined;
    readonly length: number;
    readonly body: Uint8Array | IncomingMessage | undefined;
}

function submitServiceRequest(
    options: CallerServerOptions,
    request: IncomingMessage,
    response: ServerResponse,
    parsed: ParsedRequest,
): void {
    const { service, path, remainingMs, length, body } = parsed;
    const traceparent = request.headers["traceparent"];
    const span = options.tracing.startSpan("entry", typeof traceparent === "string" ? traceparent : undefined, "server");
    const ticket = request.headers[ticketHeader];
    const headers = endToEndHeaders(request.headers);
    delete headers[ticketHeader];
    delete headers[deadlineHeader];
    const method = request.method ?? "GET";
    const isStream = body !== undefined && !(body instanceof Uint8Array);
    const abandon = options.submitRequest({
        service,
        method,
        path,
        remainingMs,
        ticket: typeof ticket === "string" ? toTicket(ticket) : undefined,
        isReplayable: !isStream,
        bodyBytes: length,
        origin: { kind: "caller" },
        outgoing: { method, path, headers, body },
        responseWriter: createCallerResponseWriter(request, response, span.context.traceId),
        span,
    });
    response.on("close", abandon);
}

/** Responds with a caller's look-up answer and the reason for it. */
function explain(core: EntryCore, response: ServerResponse, query: URLSearchParams): void {
    const caller = parseAddress(query.get("caller") ?? "");
    const index = core.index();
    if (caller === undefined || index === undefined) {
        sendRefusal(response, caller === undefined ? results.badCaller : results.noConfiguration);
        return;
    }
    const answer = core.lookup(caller);
    const status = core.status();
    const service = query.get("service");
    sendJson(response, 200, {
        caller: query.get("caller"),
        answer,
        reason: answer?.isKnownCaller
            ? `a caller block puts the caller in ${answer.dataCentre}`
            : `no caller block holds the caller; this entry's own data centre ${status.dataCentre} is used`,
        peers: status.peers,
        services: status.services.filter(row => service === null || row.service === service),
    });
}

const statusTexts: Readonly<Record<number, string>> = { 400: "Bad Request", 408: "Request Timeout", 413: "Payload Too Large" };

const malformedResult = (error: NodeJS.ErrnoException): Result =>
    error.code === "ERR_HTTP_REQUEST_TIMEOUT" ? results.requestTooSlow : results.malformed;

/** The refusal of bytes that are not a valid HTTP request, as it is written to their connection. */
function formatRefusal(result: Result): string {
    const body = JSON.stringify({ code: result.code, name: result.name, text: result.text });
    return `HTTP/1.1 ${result.status} ${statusTexts[result.status]}\r\ncontent-type: application/json\r\n`
        + `x-pimento-result: ${result.code}\r\ncontent-length: ${Buffer.byteLength(body)}\r\nconnection: close\r\n\r\n${body}`;
}
