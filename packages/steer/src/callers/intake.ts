/** Turns a caller's HTTP request into one that is steered, and its ending into the one final answer. */
import { type Fingerprint, toRequestId } from "@pimentospring/core/ids";
import { results } from "@pimentospring/core/results/resultCode";
import type { SteeringRequest } from "@pimentospring/core/steering/job";
import type { RequestDispatcher } from "@pimentospring/core/steering/requestDispatcher";
import type { Timer } from "@pimentospring/core/time/timer";
import type { Answer } from "../targets/answer.js";
import type { Wire } from "../wire/wire.js";
import type { CallerRequest, Reply } from "./callerServer.js";

export interface IntakeOptions {
    readonly timer: Timer;
    readonly wire: Wire;
    readonly steerer: () => RequestDispatcher<Answer>;
    readonly fingerprintOf: (parts: readonly string[], body: Buffer) => Fingerprint;
    /** Keeps what the caller sent while its request is steered. */
    readonly outgoing: (request: SteeringRequest, caller: CallerRequest) => () => void;
    /** Whether new requests are taken. */
    readonly mayAccept: () => boolean;
    /** When the process ends, on the entry's clock. */
    readonly stopAt: () => number;
}

export interface Intake {
    /** The value is told when the caller leaves. */
    take(caller: CallerRequest, reply: Reply): () => void;
}

/** Deadline of a request whose caller names none. */
const defaultDeadlineMs = 30_000;
const leavingRetryMs = 20;
/** Answers leave this long before the process ends. */
const stopMarginMs = 150;

export function createIntake(options: IntakeOptions): Intake {
    const { timer, wire, steerer } = options;
    return {
        take: (caller, reply) => {
            if (!options.mayAccept()) {
                reply.refuse(results.leaving, leavingRetryMs);
                return () => {};
            }
            const arrivedAt = timer.now();
            const head = wire.readCaller(caller.header);
            const deadlineAt = arrivedAt + (head.deadlineMs ?? defaultDeadlineMs);
            const parts = [caller.callerAddress, caller.method, caller.host, caller.path, head.object ?? ""];
            const request: SteeringRequest = {
                id: toRequestId(head.id ?? ""),
                host: caller.host,
                path: caller.path,
                objectId: head.object,
                arrivedAt,
                deadlineAt: Math.min(deadlineAt, options.stopAt() - stopMarginMs),
                bodyBytes: caller.body.length,
                fingerprint: () => options.fingerprintOf(parts, caller.body),
            };
            const forget = options.outgoing(request, caller);
            return steerer().submit(request, ending => {
                forget();
                if (ending.kind === "answer") {
                    reply.answer(ending.answer);
                }
                else {
                    reply.refuse(ending.result, ending.retryAfterMs);
                }
            });
        },
    };
}
