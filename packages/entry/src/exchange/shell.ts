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
import type { AnswerHead, OutgoingRequest, Requester, Try, TryEvents, TryFailure } from "./exchange.js";

/** A request as a caller's exchange or a peer's stream brings it. */
export interface Arrival extends Omit<IncomingRequest, "id" | "fingerprint"> {
    readonly outgoing: OutgoingRequest;
    readonly requester: Requester;
    readonly span: HopSpan;
}

export interface Shell {
    /** Hands a request to the core; returns what to call when the requester goes away. */
    arrive(arrival: Arrival): () => void;
    /** Carries out an action that concerns a request. */
    act(action: CoreAction): void;
    /** Ends every request that is still in flight; returns how many. */
    cutAll(): number;
}

export interface ShellOptions {
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
    readonly arrival: Arrival;
    readonly arrivedAt: number;
    readonly tries: Map<AttemptId, OpenTry>;
    /** The requester was answered or went away. */
    isClosed: boolean;
}

interface OpenTry {
    readonly id: AttemptId;
    handle: Try | undefined;
    head: AnswerHead | undefined;
    isDelivered: boolean;
    /** Copy of a small answer, for tickets. */
    kept: Uint8Array[] | undefined;
    keptBytes: number;
    readonly span: HopSpan;
}

/** Answers larger than this are not copied. */
const mostKeptBytes = 16 * 1024;

export function createShell(options: ShellOptions): Shell {
    const { timer, handle, metrics } = options;
    const exchanges = new Map<RequestId, Exchange>();
    const byAttempt = new Map<AttemptId, Exchange>();
    let requestCount = 0;

    const arrive = (arrival: Arrival): () => void => {
        const id = toRequestId(`${options.instance}#${++requestCount}`);
        const exchange: Exchange = { id, arrival, arrivedAt: timer.now(), tries: new Map(), isClosed: false };
        exchanges.set(id, exchange);
        handle({ kind: "requestArrived", request: toIncoming(id, arrival) });
        return () => {
            if (!exchange.isClosed) {
                close(exchange);
                handle({ kind: "requestAbandoned", request: id });
            }
        };
    };
    const close = (exchange: Exchange): void => {
        exchange.isClosed = true;
        exchange.arrival.span.end();
        forgetIfDone(exchange);
    };
    const forgetIfDone = (exchange: Exchange): void => {
        if (exchange.isClosed && exchange.tries.size === 0) {
            exchanges.delete(exchange.id);
        }
    };
    const endTry = (exchange: Exchange, open: OpenTry): boolean => {
        if (!exchange.tries.delete(open.id)) {
            return false;
        }
        byAttempt.delete(open.id);
        open.span.end();
        forgetIfDone(exchange);
        return true;
    };
    const startTry = (exchange: Exchange, attempt: AttemptId, spanName: string): OpenTry => {
        const span = options.tracing.start(spanName, exchange.arrival.span.context.traceparent, "client");
        const open: OpenTry = {
            id: attempt,
            handle: undefined,
            head: undefined,
            isDelivered: false,
            kept: exchange.arrival.ticket === undefined ? undefined : [],
            keptBytes: 0,
            span,
        };
        exchange.tries.set(attempt, open);
        byAttempt.set(attempt, exchange);
        return open;
    };
    const eventsOf = (exchange: Exchange, open: OpenTry): TryEvents => ({
        head: head => {
            open.head = head;
            handle({ kind: "attemptAnswered", attempt: open.id });
        },
        data: chunk => passOn(exchange, open, chunk),
        end: () => {
            if (!endTry(exchange, open)) {
                return;
            }
            if (open.isDelivered && !exchange.isClosed) {
                exchange.arrival.requester.end();
                close(exchange);
            }
            handle({ kind: "attemptEnded", attempt: open.id, end: { kind: "done", cachedAnswer: keptAnswer(open) } });
        },
        failed: failure => {
            if (endTry(exchange, open)) {
                handle({ kind: "attemptEnded", attempt: open.id, end: toEnd(open, failure) });
            }
        },
    });
    const passOn = (exchange: Exchange, open: OpenTry, chunk: Uint8Array): boolean => {
        keep(open, chunk);
        if (!open.isDelivered || exchange.isClosed) {
            return true;
        }
        const { requester } = exchange.arrival;
        const isTaken = requester.data(chunk);
        if (!isTaken) {
            requester.whenDrained(() => open.handle?.resume());
        }
        return isTaken;
    };
    const outgoingOf = (exchange: Exchange, open: OpenTry): OutgoingRequest => {
        const { outgoing } = exchange.arrival;
        outgoing.headers["traceparent"] = open.span.context.traceparent;
        return outgoing;
    };
    const sendToTarget = (action: CoreAction & { kind: "sendToTarget"; }): void => {
        const exchange = exchanges.get(action.request)!;
        metrics.tried("target");
        const open = startTry(exchange, action.attempt, "target");
        open.span.note("target", action.target);
        const request = outgoingOf(exchange, open);
        open.handle = options.targets.send(action.address, request, action.remainingMs, eventsOf(exchange, open));
    };
    const sendToPeer = (action: CoreAction & { kind: "sendToPeer"; }): void => {
        const exchange = exchanges.get(action.request)!;
        const { arrival } = exchange;
        metrics.tried("peer");
        const open = startTry(exchange, action.attempt, "peer");
        open.span.note("peer", action.peer);
        open.handle = options.mesh().open(action.peer, {
            attempt: action.attempt,
            role: action.role,
            service: arrival.service,
            remainingMs: action.remainingMs,
            ticket: arrival.ticket,
            bodyBytes: arrival.bodyBytes,
            request: outgoingOf(exchange, open),
        }, eventsOf(exchange, open));
        if (open.handle === undefined) {
            endTry(exchange, open);
            handle({ kind: "attemptEnded", attempt: open.id, end: { kind: "notSent" } });
        }
    };
    const deliver = (request: RequestId, attempt: AttemptId): void => {
        const exchange = exchanges.get(request);
        const open = exchange?.tries.get(attempt);
        if (exchange === undefined || open?.head === undefined) {
            return;
        }
        open.isDelivered = true;
        if (!exchange.isClosed) {
            metrics.answered(exchange.arrival.service, open.head.code, (timer.now() - exchange.arrivedAt) / 1000);
            exchange.arrival.span.note("code", open.head.code);
            exchange.arrival.requester.head(open.head);
        }
    };
    const refuse = (request: RequestId, result: Result): void => {
        const exchange = exchanges.get(request);
        if (exchange !== undefined && !exchange.isClosed) {
            metrics.refused(exchange.arrival.service, result);
            exchange.arrival.span.note("code", result.code);
            exchange.arrival.requester.refuse(result);
            close(exchange);
        }
    };
    const repeat = (request: RequestId, answer: CachedAnswer): void => {
        const exchange = exchanges.get(request);
        if (exchange !== undefined && !exchange.isClosed) {
            metrics.answered(exchange.arrival.service, results.answeredAgain.code, (timer.now() - exchange.arrivedAt) / 1000);
            exchange.arrival.requester.repeat(answer);
            close(exchange);
        }
    };
    const cut = (exchange: Exchange): void => {
        if (!exchange.isClosed) {
            exchange.arrival.requester.cut();
            close(exchange);
        }
    };
    const cancelAttempt = (attempt: AttemptId): void => {
        const exchange = byAttempt.get(attempt);
        const open = exchange?.tries.get(attempt);
        if (exchange === undefined || open === undefined) {
            return;
        }
        endTry(exchange, open);
        open.handle?.cancel();
        handle({ kind: "attemptEnded", attempt, end: { kind: "cancelled" } });
    };
    const act = (action: CoreAction): void => {
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
                repeat(action.request, action.answer);
                break;
            case "cut": {
                const exchange = exchanges.get(action.request);
                if (exchange !== undefined) {
                    cut(exchange);
                }
                break;
            }
            case "cancelAttempt":
                cancelAttempt(action.attempt);
                break;
        }
    };
    const cutAll = (): number => {
        const open = [...exchanges.values()].filter(exchange => !exchange.isClosed);
        for (const exchange of open) {
            const isBegun = [...exchange.tries.values()].some(entry => entry.isDelivered);
            if (isBegun) {
                cut(exchange);
            }
            else {
                exchange.arrival.requester.refuse(exchange.tries.size > 0 ? results.stopped : results.leaving);
                close(exchange);
            }
        }
        return open.length;
    };
    return { arrive, act, cutAll };
}

/** What the core needs of an arrival; written out, since a spread costs more than the rest of this function. */
function toIncoming(id: RequestId, arrival: Arrival): IncomingRequest {
    return {
        id,
        service: arrival.service,
        method: arrival.method,
        path: arrival.path,
        remainingMs: arrival.remainingMs,
        ticket: arrival.ticket,
        isReplayable: arrival.isReplayable,
        bodyBytes: arrival.bodyBytes,
        fingerprint: lazily(() => fingerprintOf(arrival)),
        origin: arrival.origin,
    };
}

function keep(open: OpenTry, chunk: Uint8Array): void {
    if (open.kept === undefined) {
        return;
    }
    open.keptBytes += chunk.length;
    if (open.keptBytes > mostKeptBytes) {
        open.kept = undefined;
    }
    else {
        open.kept.push(chunk);
    }
}

function keptAnswer(open: OpenTry): CachedAnswer | undefined {
    if (open.kept === undefined || open.head === undefined) {
        return undefined;
    }
    const contentType = open.head.headers["content-type"];
    return {
        status: open.head.status,
        contentType: typeof contentType === "string" ? contentType : "application/octet-stream",
        body: Buffer.concat(open.kept),
    };
}

function toEnd(open: OpenTry, failure: TryFailure): (CoreEvent & { kind: "attemptEnded"; })["end"] {
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
function fingerprintOf(arrival: Arrival) {
    const { body } = arrival.outgoing;
    const bodyHash = body instanceof Uint8Array ? hashBytes(body) : "";
    return toFingerprint(`${arrival.service} ${arrival.method} ${hashBytes(Buffer.from(arrival.path))} ${bodyHash}`);
}

function lazily<Value>(compute: () => Value): () => Value {
    let value: Value | undefined;
    return () => value ??= compute();
}
