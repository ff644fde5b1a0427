/** Sends attempts to targets and tells the steerer what came of them. */
import type { AttemptId, DataCentreId } from "@pimentospring/core/ids";
import type { Attempt, Job } from "@pimentospring/core/steering/job";
import type { RequestDispatcher } from "@pimentospring/core/steering/requestDispatcher";
import type { Timer } from "@pimentospring/core/time/timer";
import type { CallerRequest } from "../callers/callerServer.js";
import type { TargetHead, Wire } from "../wire/wire.js";
import type { Answer } from "./answer.js";
import { headerReader } from "./headers.js";
import { endToEndHeaders } from "./hopHeaders.js";
import type { TargetConnections } from "./targetConnections.js";

export interface TargetSenderOptions {
    readonly timer: Timer;
    readonly wire: Wire;
    readonly connections: TargetConnections;
    readonly roundTripMs: (dataCentre: DataCentreId) => number;
    readonly steerer: () => RequestDispatcher<Answer>;
}

export interface TargetSender {
    /** Keeps what the caller sent for as long as its request may be sent to a target. Returns the end of that. */
    prepare(request: object, caller: CallerRequest): () => void;
    send(attempt: Attempt<Answer>): void;
    cancel(attempt: Attempt<Answer>): void;
}

/** Time for a connection besides two round trips. */
const connectMarginMs = 250;
/** The target is given this much less than is left, for the way back. */
const wayBackMs = 3;

interface Prepared {
    readonly caller: CallerRequest;
    readonly headers: readonly string[];
}

export function createTargetSender(options: TargetSenderOptions): TargetSender {
    const { timer, wire, connections, roundTripMs, steerer } = options;
    const prepared = new Map<object, Prepared>();
    const cancels = new Map<AttemptId, () => void>();

    const isReplaced = (name: string): boolean => name === "content-length" || wire.isOwnHeader(name);
    const headersFor = (job: Job<Answer>, base: Prepared, target: string): string[] => {
        const leftMs = Math.max(1, Math.floor(job.responseDueAt - timer.now() - wayBackMs));
        const headers = [...base.headers];
        wire.targetHeaders(leftMs, target).forEach(([name, value]) => headers.push(name, value));
        return headers;
    };
    const readHead = (answer: Answer): TargetHead =>
        wire.readAnswer(answer.status, headerReader(answer.rawHeaders), answer.body.length);
    return {
        prepare: (request, caller) => {
            prepared.set(request, { caller, headers: endToEndHeaders(caller.rawHeaders, isReplaced) });
            return () => prepared.delete(request);
        },
        send: attempt => {
            const { job, target } = attempt;
            const base = prepared.get(job.request)!;
            const { caller } = base;
            const hasBody = caller.body.length > 0 || caller.header("content-length") !== undefined;
            const isFresh = !job.route.isIdempotent && target.noConnectionReuseUntil > timer.now();
            const connectMs = 2 * roundTripMs(target.record.dataCentre) + connectMarginMs;
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
                    written: () => steerer().recordWritten(attempt),
                    accepts: answer => {
                        const { answersId } = readHead(answer);
                        return answersId === undefined || answersId === job.request.id;
                    },
                    answered: answer => {
                        cancels.delete(attempt.id);
                        steerer().handleResponse(attempt, readHead(answer), answer);
                    },
                    broken: reason => {
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
