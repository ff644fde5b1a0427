/**
 * Carries out what the core decides about requests: starts and cancels tries, and passes the chosen try's answer to
 * whoever asked.
 */
import { hashBytes } from "@pimentospring/core/hash/hash";
import { type AttemptId, type RequestId, toFingerprint, toRequestId } from "@pimentospring/core/ids";
import type { CoreAction, CoreEvent, IncomingRequest } from "@pimentospring/core/requests/events";
import { type Result, results } from "@pimentospring/core/results/resultCode";
import type { CachedAnswer } from "@pimentospring/core/tickets/ticketRegistry";
import type { Timer } from "@pimentospring/core/time/timer";
import type { HopSpan, Tracing } from "@pimentospring/runtime/traces/tracing";
import type { Mesh } from "../mesh/mesh.js";
import type { Metrics } from "../observe/metrics.js";
import type { TargetClient } from "../targets/targetClient.js";
import type {
    AttemptFailure,
    AttemptHandle,
    AttemptListener,
    OutgoingRequest,
    ResponseHead,
    ResponseWriter,
} from "./exchange.js";

/** A request as a caller's exchange or a peer's stream brings it. */
export interface ReceivedRequest extends Omit<IncomingRequest, "id" | "fingerprint"> {
    readonly outgoing: OutgoingRequest;
    readonly responseWriter: ResponseWriter;
    readonly span: HopSpan;
}

export interface RequestExecutor {
    /** Hands a request to the core; returns what to call when the requester goes away. */
    submitRequest(arrival: ReceivedRequest): () => void;
    /** Carries out an action that concerns a request. */
    executeAction(action: CoreAction): void;
    /** Ends every request that is still in flight; returns how many. */
    abortAll(): number;
}

export interface RequestExecutorOptions {
    readonly timer: Timer;
    /** Prefix that makes this run's request ids its own. */
    readonly instance: string;
    readonly handle: (event: CoreEvent) => void;
    readonly targets: TargetClient;
    readonly mesh: () => Mesh;
    readonly metrics: Metrics;
    readonly tracing: Tracing;
}

interface Exchange {
    readonly id: RequestId;
    readonly received: ReceivedRequest;
    readonly arrivedAt: number;
    readonly attempts: Map<AttemptId, ActiveAttempt>;
    /** The requester was answered or went away. */
    isClosed: boolean;
}

interface ActiveAttempt {
    readonly id: AttemptId;
    handle: AttemptHandle | undefined;
    head: ResponseHead | undefined;
    isDelivered: boolean;
    /** Copy of a small answer, for tickets. */
    capturedChunks: Uint8Array[] | undefined;
    capturedBytes: number;
    readonly span: HopSpan;
}

/** Answers larger than this are not copied. */
const maxCapturedBytes = 16 * 1024;

export function createRequestExecutor(options: RequestExecutorOptions): RequestExecutor {
    const { timer, handle, metrics } = options;
    const exchanges = new Map<RequestId, Exchange>();
    const exchangeByAttempt = new Map<AttemptId, Exchange>();
    let requestCount = 0;

    const submitRequest = (arrival: ReceivedRequest): () => void => {
        const id = toRequestId(`${options.instance}#${++requestCount}`);
        const exchange: Exchange = { id, received: arrival, arrivedAt: timer.now(), attempts: new Map(), isClosed: false };
        exchanges.set(id, exchange);
        handle({ kind: "requestArrived", request: toIncomingRequest(id, arrival) });
        return () => {
            if (!exchange.isClosed) {
                closeExchange(exchange);
                handle({ kind: "requestAbandoned", request: id });
            }
        };
    };
    const closeExchange = (exchange: Exchange): void => {
        exchange.isClosed = true;
        exchange.received.span.end();
        removeIfFinished(exchange);
    };
    const removeIfFinished = (exchange: Exchange): void => {
        if (exchange.isClosed && exchange.attempts.size === 0) {
            exchanges.delete(exchange.id);
        }
    };
    const finishAttempt = (exchange: Exchange, open: ActiveAttempt): boolean => {
        if (!exchange.attempts.delete(open.id)) {
            return false;
        }
        exchangeByAttempt.delete(open.id);
        open.span.end();
        removeIfFinished(exchange);
        return true;
    };
    const startAttempt = (exchange: Exchange, attempt: AttemptId, spanName: string): ActiveAttempt => {
        const span = options.tracing.startSpan(spanName, exchange.received.span.context.traceparent, "client");
        const open: ActiveAttempt = {
            id: attempt,
            handle: undefined,
            head: undefined,
            isDelivered: false,
            capturedChunks: exchange.received.ticket === undefined ? undefined : [],
            capturedBytes: 0,
            span,
        };
        exchange.attempts.set(attempt, open);
        exchangeByAttempt.set(attempt, exchange);
        return open;
    };
    const createAttemptListener = (exchange: Exchange, open: ActiveAttempt): AttemptListener => ({
        onHead: head => {
            open.head = head;
            handle({ kind: "attemptAnswered", attempt: open.id });
        },
        onData: chunk => forwardChunk(exchange, open, chunk),
        onEnd: () => {
            if (!finishAttempt(exchange, open)) {
                return;
            }
            if (open.isDelivered && !exchange.isClosed) {
                exchange.received.responseWriter.end();
                closeExchange(exchange);
            }
            handle({ kind: "attemptEnded", attempt: open.id, end: { kind: "done", cachedAnswer: toCachedAnswer(open) } });
        },
        onFailure: failure => {
            if (finishAttempt(exchange, open)) {
                handle({ kind: "attemptEnded", attempt: open.id, end: toAttemptEnd(open, failure) });
            }
        },
    });
    const forwardChunk = (exchange: Exchange, open: ActiveAttempt, chunk: Uint8Array): boolean => {
        captureChunk(open, chunk);
        if (!open.isDelivered || exchange.isClosed) {
            return true;
        }
        const { responseWriter: requester } = exchange.received;
        const canContinue = requester.writeData(chunk);
        if (!canContinue) {
            requester.onDrain(() => open.handle?.resume());
        }
        return canContinue;
    };
    const prepareOutgoing = (exchange: Exchange, open: ActiveAttempt): OutgoingRequest => {
        const { outgoing } = exchange.received;
        outgoing.headers["traceparent"] = open.span.context.traceparent;
        return outgoing;
    };
    const sendToTarget = (action: CoreAction & { kind: "sendToTarget"; }): void => {
        const exchange = exchanges.get(action.request)!;
        metrics.countAttempt("target");
        const open = startAttempt(exchange, action.attempt, "target");
        open.span.setAttribute("target", action.target);
        const request = prepareOutgoing(exchange, open);
        open.handle = options.targets.send(action.address, request, action.remainingMs, createAttemptListener(exchange, open));
    };
    const sendToPeer = (action: CoreAction & { kind: "sendToPeer"; }): void => {
        const exchange = exchanges.get(action.request)!;
        const { received: arrival } = exchange;
        metrics.countAttempt("peer");
        const open = startAttempt(exchange, action.attempt, "peer");
        open.span.setAttribute("peer", action.peer);
        open.handle = options.mesh().openStream(action.peer, {
            attempt: action.attempt,
            role: action.role,
            service: arrival.service,
            remainingMs: action.remainingMs,
            ticket: arrival.ticket,
            bodyBytes: arrival.bodyBytes,
            request: prepareOutgoing(exchange, open),
        }, createAttemptListener(exchange, open));
        if (open.handle === undefined) {
            finishAttempt(exchange, open);
            handle({ kind: "attemptEnded", attempt: open.id, end: { kind: "notSent" } });
        }
    };
    const deliver = (request: RequestId, attempt: AttemptId): void => {
        const exchange = exchanges.get(request);
        const open = exchange?.attempts.get(attempt);
        if (exchange === undefined || open?.head === undefined) {
            return;
        }
        open.isDelivered = true;
        if (!exchange.isClosed) {
            metrics.recordResponse(exchange.received.service, open.head.code, (timer.now() - exchange.arrivedAt) / 1000);
            exchange.received.span.setAttribute("code", open.head.code);
            exchange.received.responseWriter.writeHead(open.head);
        }
    };
    const refuse = (request: RequestId, result: Result): void => {
        const exchange = exchanges.get(request);
        if (exchange !== undefined && !exchange.isClosed) {
            metrics.countRefusal(exchange.received.service, result);
            exchange.received.span.setAttribute("code", result.code);
            exchange.received.responseWriter.refuse(result);
            closeExchange(exchange);
        }
    };
    const replay = (request: RequestId, answer: CachedAnswer): void => {
        const exchange = exchanges.get(request);
        if (exchange !== undefined && !exchange.isClosed) {
            metrics.recordResponse(
                exchange.received.service,
                results.answeredAgain.code,
                (timer.now() - exchange.arrivedAt) / 1000,
            );
            exchange.received.responseWriter.replay(answer);
            closeExchange(exchange);
        }
    };
    const abort = (exchange: Exchange): void => {
        if (!exchange.isClosed) {
            exchange.received.responseWriter.abort();
            closeExchange(exchange);
        }
    };
    const cancelActiveAttempt = (attempt: AttemptId): void => {
        const exchange = exchangeByAttempt.get(attempt);
        const open = exchange?.attempts.get(attempt);
        if (exchange === undefined || open === undefined) {
            return;
        }
        finishAttempt(exchange, open);
        open.handle?.cancel();
        handle({ kind: "attemptEnded", attempt, end: { kind: "cancelled" } });
    };
    const executeAction = (action: CoreAction): void => {
        switch (action.kind) {
            case "sendToTarget":
                sendToTarget(action);
                break;
            case "sendToPeer":
                sendToPeer(action);
                break;
            case "deliver":
                deliver(action.request, action.attempt);
                break;
            case "refuse":
                refuse(action.request, action.result);
                break;
            case "repeat":
                replay(action.request, action.answer);
                break;
            case "cut": {
                const exchange = exchanges.get(action.request);
                if (exchange !== undefined) {
                    abort(exchange);
                }
                break;
            }
            case "cancelAttempt":
                cancelActiveAttempt(action.attempt);
                break;
        }
    };
    const abortAll = (): number => {
        const open = [...exchanges.values()].filter(exchange => !exchange.isClosed);
        for (const exchange of open) {
            const isBegun = [...exchange.attempts.values()].some(entry => entry.isDelivered);
            if (isBegun) {
                abort(exchange);
            }
            else {
                exchange.received.responseWriter.refuse(exchange.attempts.size > 0 ? results.stopped : results.leaving);
                closeExchange(exchange);
            }
        }
        return open.length;
    };
    return { submitRequest: submitRequest, executeAction: executeAction, abortAll: abortAll };
}

/** What the core needs of an arrival; written out, since a spread costs more than the rest of this function. */
function toIncomingRequest(id: RequestId, arrival: ReceivedRequest): IncomingRequest {
    return {
        id,
        service: arrival.service,
        method: arrival.method,
        path: arrival.path,
        remainingMs: arrival.remainingMs,
        ticket: arrival.ticket,
        isReplayable: arrival.isReplayable,
        bodyBytes: arrival.bodyBytes,
        fingerprint: memoize(() => fingerprintOf(arrival)),
        origin: arrival.origin,
    };
}

function captureChunk(open: ActiveAttempt, chunk: Uint8Array): void {
    if (open.capturedChunks === undefined) {
        return;
    }
    open.capturedBytes += chunk.length;
    if (open.capturedBytes > maxCapturedBytes) {
        open.capturedChunks = undefined;
    }
    else {
        open.capturedChunks.push(chunk);
    }
}

function toCachedAnswer(open: ActiveAttempt): CachedAnswer | undefined {
    if (open.capturedChunks === undefined || open.head === undefined) {
        return undefined;
    }
    const contentType = open.head.headers["content-type"];
    return {
        status: open.head.status,
        contentType: typeof contentType === "string" ? contentType : "application/octet-stream",
        body: Buffer.concat(open.capturedChunks),
    };
}

function toAttemptEnd(open: ActiveAttempt, failure: AttemptFailure): (CoreEvent & { kind: "attemptEnded"; })["end"] {
    switch (failure.kind) {
        case "notSent":
            return { kind: "notSent" };
        case "refused":
            return failure.result.outcome === "notRun"
                ? { kind: "shed", result: failure.result }
                : { kind: "settled", result: failure.result };
        case "broken":
            return { kind: "broken", hasAnswerStarted: open.isDelivered };
    }
}

/** Tells the same work again by method, path and body. */
function fingerprintOf(arrival: ReceivedRequest) {
    const { body } = arrival.outgoing;
    const bodyHash = body instanceof Uint8Array ? hashBytes(body) : "";
    return toFingerprint(`${arrival.service} ${arrival.method} ${hashBytes(Buffer.from(arrival.path))} ${bodyHash}`);
}

function memoize<Value>(compute: () => Value): () => Value {
    let value: Value | undefined;
    return () => value ??= compute();
}
