/** Sends attempts to targets and tells the steerer what came of them. */
import type { AttemptId, DataCentreId } from "@pimentospring/core/ids";
import type { Attempt, Job } from "@pimentospring/core/steering/job";
import type { RequestDispatcher } from "@pimentospring/core/steering/requestDispatcher";
import type { Timer } from "@pimentospring/core/time/timer";
import type { CallerRequest } from "../callers/callerServer.js";
import type { HeaderCodec, TargetResponseHead } from "../wire/headerCodec.js";
import { headerReader } from "./headers.js";
import { endToEndHeaders } from "./hopHeaders.js";
import type { TargetConnections } from "./targetConnections.js";
import type { TargetResponse } from "./targetResponse.js";

export interface TargetSenderOptions {
    readonly timer: Timer;
    readonly headerCodec: HeaderCodec;
    readonly connections: TargetConnections;
    readonly roundTripMs: (dataCentre: DataCentreId) => number;
    readonly steerer: () => RequestDispatcher<TargetResponse>;
}

export interface TargetSender {
    /** Keeps what the caller sent for as long as its request may be sent to a target. Returns the end of that. */
    register(request: object, caller: CallerRequest): () => void;
    send(attempt: Attempt<TargetResponse>): void;
    cancel(attempt: Attempt<TargetResponse>): void;
}

/** Time for a connection besides two round trips. */
const connectTimeoutMarginMs = 250;
/** The target is given this much less than is left, for the way back. */
const responseTransitMs = 3;

interface RegisteredRequest {
    readonly caller: CallerRequest;
    readonly headers: readonly string[];
}

export function createTargetSender(options: TargetSenderOptions): TargetSender {
    const { timer, headerCodec: wire, connections, roundTripMs, steerer } = options;
    const registered = new Map<object, RegisteredRequest>();
    const cancels = new Map<AttemptId, () => void>();

    const isReplaced = (name: string): boolean => name === "content-length" || wire.isReservedHeader(name);
    const headersFor = (job: Job<TargetResponse>, base: RegisteredRequest, target: string): string[] => {
        const leftMs = Math.max(1, Math.floor(job.responseDueAt - timer.now() - responseTransitMs));
        const headers = [...base.headers];
        wire.encodeTargetHeaders(leftMs, target).forEach(([name, value]) => headers.push(name, value));
        return headers;
    };
    const readHead = (answer: TargetResponse): TargetResponseHead =>
        wire.decodeResponse(answer.status, headerReader(answer.rawHeaders), answer.body.length);
    return {
        register: (request, caller) => {
            registered.set(request, { caller, headers: endToEndHeaders(caller.rawHeaders, isReplaced) });
            return () => registered.delete(request);
        },
        send: attempt => {
            const { job, target } = attempt;
            const base = registered.get(job.request)!;
            const { caller } = base;
            const hasBody = caller.body.length > 0 || caller.header("content-length") !== undefined;
            const isFresh = !job.route.isIdempotent && target.noConnectionReuseUntil > timer.now();
            const connectMs = 2 * roundTripMs(target.record.dataCentre) + connectTimeoutMarginMs;
            const cancel = connections.send(
                target.record.address,
                {
                    method: caller.method,
                    path: caller.path,
                    headers: headersFor(job, base, target.record.id),
                    body: hasBody ? caller.body : undefined,
                },
                isFresh,
                connectMs,
                {
                    onWriteStart: () => steerer().recordWritten(attempt),
                    isExpected: answer => {
                        const { echoedRequestId: answersId } = readHead(answer);
                        return answersId === undefined || answersId === job.request.id;
                    },
                    onResponse: answer => {
                        cancels.delete(attempt.id);
                        steerer().handleResponse(attempt, readHead(answer), answer);
                    },
                    onFailure: reason => {
                        cancels.delete(attempt.id);
                        steerer().handleConnectionFailure(attempt, reason);
                    },
                },
            );
            cancels.set(attempt.id, cancel);
        },
        cancel: attempt => {
            cancels.get(attempt.id)?.();
            cancels.delete(attempt.id);
        },
    };
}
