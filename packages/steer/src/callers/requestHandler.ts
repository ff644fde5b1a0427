/** Turns a caller's HTTP request into one that is steered, and its ending into the one final answer. */
import { type Fingerprint, toRequestId } from "@pimentospring/core/ids";
import { results } from "@pimentospring/core/results/resultCode";
import type { SteeringRequest } from "@pimentospring/core/steering/job";
import type { RequestDispatcher } from "@pimentospring/core/steering/requestDispatcher";
import type { Timer } from "@pimentospring/core/time/timer";
import type { TargetResponse } from "../targets/targetResponse.js";
import type { HeaderCodec } from "../wire/headerCodec.js";
import type { CallerRequest, CallerResponder } from "./callerServer.js";

export interface RequestHandlerOptions {
    readonly timer: Timer;
    readonly headerCodec: HeaderCodec;
    readonly steerer: () => RequestDispatcher<TargetResponse>;
    readonly fingerprintOf: (parts: readonly string[], body: Buffer) => Fingerprint;
    /** Keeps what the caller sent while its request is steered. */
    readonly register: (request: SteeringRequest, caller: CallerRequest) => () => void;
    /** Whether new requests are taken. */
    readonly isAccepting: () => boolean;
    /** When the process ends, on the entry's clock. */
    readonly stopDeadline: () => number;
}

export interface RequestHandler {
    /** The value is told when the caller leaves. */
    handle(caller: CallerRequest, reply: CallerResponder): () => void;
}

/** Deadline of a request whose caller names none. */
const defaultDeadlineMs = 30_000;
const leavingRetryAfterMs = 20;
/** Answers leave this long before the process ends. */
const responseMarginMs = 150;

export function createRequestHandler(options: RequestHandlerOptions): RequestHandler {
    const { timer, headerCodec: wire, steerer } = options;
    return {
        handle: (caller, reply) => {
            if (!options.isAccepting()) {
                reply.refuse(results.leaving, leavingRetryAfterMs);
                return () => {};
            }
            const arrivedAt = timer.now();
            const head = wire.decodeCallerHeaders(caller.header);
            const deadlineAt = arrivedAt + (head.deadlineMs ?? defaultDeadlineMs);
            const parts = [caller.callerAddress, caller.method, caller.host, caller.path, head.object ?? ""];
            const request: SteeringRequest = {
                id: toRequestId(head.id ?? ""),
                host: caller.host,
                path: caller.path,
                objectId: head.object,
                arrivedAt,
                deadlineAt: Math.min(deadlineAt, options.stopDeadline() - responseMarginMs),
                bodyBytes: caller.body.length,
                fingerprint: () => options.fingerprintOf(parts, caller.body),
            };
            const forget = options.register(request, caller);
            return steerer().submit(request, ending => {
                forget();
                if (ending.kind === "answer") {
                    reply.respond(ending.answer);
                }
                else {
                    reply.refuse(ending.result, ending.retryAfterMs);
                }
            });
        },
    };
}
