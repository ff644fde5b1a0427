/**
 * Executes the core's decisions about requests: starts and cancels attempts, and forwards the response of the chosen
 * attempt to the response writer.
 */
import { hashBytes } from "@pimentospring/core/hash/hash";
import { type AttemptId, type RequestId, type TargetId, toFingerprint, toRequestId } from "@pimentospring/core/ids";
import type { CoreAction, CoreEvent, IncomingRequest } from "@pimentospring/core/requests/events";
import { type Result, results } from "@pimentospring/core/results/resultCode";
import type { CachedResponse } from "@pimentospring/core/tickets/ticketRegistry";
import type { Timer } from "@pimentospring/core/time/timer";
import type { HopSpan, Tracing } from "@pimentospring/runtime/traces/tracing";
import type { Mesh } from "../mesh/mesh.js";
import type { Metrics } from "../observe/metrics.js";
import type { RefusedRequest } from "../observe/refusalLog.js";
import type { TargetClient } from "../targets/targetClient.js";
import type {
    AttemptFailure,
    AttemptHandle,
    AttemptListener,
    OutgoingRequest,
    ResponseHead,
    ResponseWriter,
} from "./exchange.js";

/** A request as received from a caller's HTTP exchange or a peer's mesh stream. */
export interface ReceivedRequest extends Omit<IncomingRequest, "id" | "fingerprint"> {
    readonly outgoing: OutgoingRequest;
    readonly responseWriter: ResponseWriter;
    readonly span: HopSpan;
}

export interface RequestExecutor {
    /** Submits a request to the core; returns a function to call when the caller or peer disconnects. */
    submitRequest(received: ReceivedRequest): () => void;
    /** Executes an action that concerns a request; others are ignored. */
    executeAction(action: CoreAction): void;
    /** Ends every request that is still in flight; returns their number. */
    abortAll(): number;
}

export interface RequestExecutorOptions {
    readonly timer: Timer;
    /** Prefix that makes request ids unique to this run of the entry. */
    readonly instance: string;
    readonly handle: (event: CoreEvent) => void;
    readonly targets: TargetClient;
    readonly mesh: () => Mesh;
    readonly metrics: Metrics;
    readonly tracing: Tracing;
    readonly onRefused: (request: RefusedRequest) => void;
}

interface Exchange {
    readonly id: RequestId;
    readonly received: ReceivedRequest;
    readonly arrivedAt: number;
    readonly attempts: Map<AttemptId, ActiveAttempt>;
    /** Where the request was sent, and how each attempt ended, for the log. */
    readonly trail: string[];
    /** Whether the response is complete, or the caller or peer has disconnected. */
    isClosed: boolean;
}

interface ActiveAttempt {
    readonly id: AttemptId;
    handle: AttemptHandle | undefined;
    head: ResponseHead | undefined;
    isDelivered: boolean;
    /** Copy of the response body for replay; undefined without a ticket or when the body is too large. */
    capturedChunks: Uint8Array[] | undefined;
    capturedBytes: number;
    readonly span: HopSpan;
}

/** Response bodies larger than this are not kept for replay. */
const maxCapturedBytes = 16 * 1024;

export function createRequestExecutor(options: RequestExecutorOptions): RequestExecutor {
    const { timer, handle, metrics } = options;
    const exchanges = new Map<RequestId, Exchange>();
    const exchangeByAttempt = new Map<AttemptId, Exchange>();
    let requestCount = 0;

    const submitRequest = (received: ReceivedRequest): () => void => {
        const id = toRequestId(`${options.instance}#${++requestCount}`);
        const exchange: Exchange = { id, received, arrivedAt: timer.now(), attempts: new Map(), trail: [], isClosed: false };
        exchanges.set(id, exchange);
        handle({ kind: "requestArrived", request: toIncomingRequest(id, received) });
        return () => {
            if (!exchange.isClosed) {
                closeExchange(exchange);
                handle({ kind: "requestAbandoned", request: id });
            }
        };
    };
    const addStep = (exchange: Exchange, step: string): void =>
        void exchange.trail.push(`${Math.round(timer.now() - exchange.arrivedAt)}ms ${step}`);
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
    const finishAttempt = (exchange: Exchange, active: ActiveAttempt): boolean => {
        if (!exchange.attempts.delete(active.id)) {
            return false;
        }
        exchangeByAttempt.delete(active.id);
        active.span.end();
        removeIfFinished(exchange);
        return true;
    };
    const startAttempt = (exchange: Exchange, attempt: AttemptId, spanName: string): ActiveAttempt => {
        const span = options.tracing.startSpan(spanName, exchange.received.span.context.traceparent, "client");
        const active: ActiveAttempt = {
            id: attempt,
            handle: undefined,
            head: undefined,
            isDelivered: false,
            capturedChunks: exchange.received.ticket === undefined ? undefined : [],
            capturedBytes: 0,
            span,
        };
        exchange.attempts.set(attempt, active);
        exchangeByAttempt.set(attempt, exchange);
        return active;
    };
    const createAttemptListener = (exchange: Exchange, active: ActiveAttempt, target?: TargetId): AttemptListener => ({
        onNotice: notice => target === undefined || handle({ kind: "targetNoticed", target, notice }),
        onHead: head => {
            active.head = head;
            handle({ kind: "attemptAnswered", attempt: active.id });
        },
        onData: chunk => forwardChunk(exchange, active, chunk),
        onEnd: () => {
            if (!finishAttempt(exchange, active)) {
                return;
            }
            if (active.isDelivered && !exchange.isClosed) {
                exchange.received.responseWriter.end();
                closeExchange(exchange);
            }
            handle({ kind: "attemptEnded", attempt: active.id, end: { kind: "done", cachedResponse: toCachedResponse(active) } });
        },
        onFailure: failure => {
            if (finishAttempt(exchange, active)) {
                addStep(
                    exchange,
                    failure.kind === "refused" ? `refused: ${failure.result.name}` : `${failure.kind}: ${failure.reason}`,
                );
                handle({ kind: "attemptEnded", attempt: active.id, end: toAttemptEnd(active, failure) });
            }
        },
    });
    const forwardChunk = (exchange: Exchange, active: ActiveAttempt, chunk: Uint8Array): boolean => {
        captureChunk(active, chunk);
        if (!active.isDelivered || exchange.isClosed) {
            return true;
        }
        const { responseWriter } = exchange.received;
        const canContinue = responseWriter.writeData(chunk);
        if (!canContinue) {
            responseWriter.onDrain(() => active.handle?.resume());
        }
        return canContinue;
    };
    const prepareOutgoing = (exchange: Exchange, active: ActiveAttempt): OutgoingRequest => {
        const { outgoing } = exchange.received;
        outgoing.headers["traceparent"] = active.span.context.traceparent;
        return outgoing;
    };
    const sendToTarget = (action: CoreAction & { kind: "sendToTarget"; }): void => {
        const exchange = exchanges.get(action.request)!;
        metrics.countAttempt("target");
        const active = startAttempt(exchange, action.attempt, "target");
        active.span.setAttribute("target", action.target);
        addStep(exchange, `sent to target ${action.target}`);
        const request = prepareOutgoing(exchange, active);
        active.handle = options.targets.send(
            action.address,
            request,
            action.remainingMs,
            createAttemptListener(exchange, active, action.target),
        );
    };
    const sendToPeer = (action: CoreAction & { kind: "sendToPeer"; }): void => {
        const exchange = exchanges.get(action.request)!;
        const { received } = exchange;
        metrics.countAttempt("peer");
        const active = startAttempt(exchange, action.attempt, "peer");
        active.span.setAttribute("peer", action.peer);
        addStep(exchange, `sent to peer ${action.peer}, ${action.role}`);
        active.handle = options.mesh().openStream(action.peer, {
            attempt: action.attempt,
            role: action.role,
            service: received.service,
            remainingMs: action.remainingMs,
            ticket: received.ticket,
            bodyBytes: received.bodyBytes,
            request: prepareOutgoing(exchange, active),
        }, createAttemptListener(exchange, active));
        if (active.handle === undefined) {
            finishAttempt(exchange, active);
            handle({ kind: "attemptEnded", attempt: active.id, end: { kind: "notSent" } });
        }
    };
    const deliver = (request: RequestId, attempt: AttemptId): void => {
        const exchange = exchanges.get(request);
        const active = exchange?.attempts.get(attempt);
        if (exchange === undefined || active?.head === undefined) {
            return;
        }
        active.isDelivered = true;
        if (!exchange.isClosed) {
            // First, as in all that follows, so that no error in a metric or span keeps the response from the caller.
            exchange.received.responseWriter.writeHead(active.head);
            metrics.recordResponse(exchange.received.service, active.head.code, (timer.now() - exchange.arrivedAt) / 1000);
            exchange.received.span.setAttribute("code", active.head.code);
        }
    };
    const refuse = (request: RequestId, result: Result): void => {
        const exchange = exchanges.get(request);
        if (exchange !== undefined && !exchange.isClosed) {
            exchange.received.responseWriter.refuse(result);
            metrics.countRefusal(exchange.received.service, result);
            exchange.received.span.setAttribute("code", result.code);
            closeExchange(exchange);
            const { received, trail } = exchange;
            const origin = received.origin.kind === "caller" ? "caller" : `peer ${received.origin.peer}, ${received.origin.role}`;
            const tookMs = timer.now() - exchange.arrivedAt;
            options.onRefused({
                traceId: received.span.context.traceId,
                service: received.service,
                origin,
                result,
                tookMs,
                trail,
            });
        }
    };
    const replay = (request: RequestId, answer: CachedResponse): void => {
        const exchange = exchanges.get(request);
        if (exchange !== undefined && !exchange.isClosed) {
            exchange.received.responseWriter.replay(answer);
            metrics.recordResponse(
                exchange.received.service,
                results.answeredAgain.code,
                (timer.now() - exchange.arrivedAt) / 1000,
            );
            closeExchange(exchange);
        }
    };
    const abort = (exchange: Exchange): void => {
        if (!exchange.isClosed) {
            exchange.received.responseWriter.abort();
            metrics.countCutResponse(exchange.received.service);
            closeExchange(exchange);
        }
    };
    const cancelActiveAttempt = (attempt: AttemptId): void => {
        const exchange = exchangeByAttempt.get(attempt);
        const active = exchange?.attempts.get(attempt);
        if (exchange === undefined || active === undefined) {
            return;
        }
        finishAttempt(exchange, active);
        active.handle?.cancel();
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
        const openExchanges = [...exchanges.values()].filter(exchange => !exchange.isClosed);
        for (const exchange of openExchanges) {
            const hasStarted = [...exchange.attempts.values()].some(attempt => attempt.isDelivered);
            if (hasStarted) {
                abort(exchange);
            }
            else {
                exchange.received.responseWriter.refuse(exchange.attempts.size > 0 ? results.stopped : results.leaving);
                closeExchange(exchange);
            }
        }
        return openExchanges.length;
    };
    return { submitRequest, executeAction, abortAll };
}

/** Selects what the core needs; the fields are listed because a spread costs more than the rest of this function. */
function toIncomingRequest(id: RequestId, received: ReceivedRequest): IncomingRequest {
    return {
        id,
        service: received.service,
        method: received.method,
        path: received.path,
        remainingMs: received.remainingMs,
        ticket: received.ticket,
        isReplayable: received.isReplayable,
        bodyBytes: received.bodyBytes,
        fingerprint: memoize(() => fingerprintOf(received)),
        origin: received.origin,
    };
}

function captureChunk(active: ActiveAttempt, chunk: Uint8Array): void {
    if (active.capturedChunks === undefined) {
        return;
    }
    active.capturedBytes += chunk.length;
    if (active.capturedBytes > maxCapturedBytes) {
        active.capturedChunks = undefined;
    }
    else {
        active.capturedChunks.push(chunk);
    }
}

function toCachedResponse(active: ActiveAttempt): CachedResponse | undefined {
    if (active.capturedChunks === undefined || active.head === undefined) {
        return undefined;
    }
    const contentType = active.head.headers["content-type"];
    return {
        status: active.head.status,
        contentType: typeof contentType === "string" ? contentType : "application/octet-stream",
        body: Buffer.concat(active.capturedChunks),
    };
}

function toAttemptEnd(active: ActiveAttempt, failure: AttemptFailure): (CoreEvent & { kind: "attemptEnded"; })["end"] {
    switch (failure.kind) {
        case "notSent":
            return { kind: "notSent" };
        case "refused":
            return failure.result.outcome === "notRun"
                ? { kind: "shed", result: failure.result }
                : { kind: "settled", result: failure.result };
        case "broken":
            return { kind: "broken", hasResponseStarted: active.isDelivered };
    }
}

/** Identifies the same work across requests by service, method, path and body. */
function fingerprintOf(received: ReceivedRequest) {
    const { body } = received.outgoing;
    const bodyHash = body instanceof Uint8Array ? hashBytes(body) : "";
    return toFingerprint(`${received.service} ${received.method} ${hashBytes(Buffer.from(received.path))} ${bodyHash}`);
}

function memoize<Value>(compute: () => Value): () => Value {
    let value: Value | undefined;
    return () => value ??= compute();
}
