/** A caller's request on its way through this entry, and its tries at targets. */
import type { AttemptId, Fingerprint, RequestId, ServiceId, TargetId } from "../ids.js";
import type { Result } from "../results/resultCode.js";
import type { Cancel } from "../time/timer.js";
import type { Route } from "./steeringDocument.js";
import type { Target } from "./target.js";
import type { LoadReport } from "./targetRecord.js";

/** What the caller sent, as far as decisions need it. Times are on the entry's clock. */
export interface SteeringRequest {
    readonly id: RequestId;
    readonly host: string;
    readonly path: string;
    /** Names the object that the request is about, if the caller says so. */
    readonly objectId: string | undefined;
    readonly arrivedAt: number;
    /** When the caller stops waiting. */
    readonly deadlineAt: number;
    readonly bodyBytes: number;
    /** Hash of what makes two requests the same work. */
    readonly fingerprint: () => Fingerprint;
}

export interface Job<Answer> {
    readonly request: SteeringRequest;
    readonly route: Route;
    readonly service: ServiceId;
    /** When the final answer is due: the deadline, or the route's timeout if that is sooner. */
    readonly responseDueAt: number;
    /** When an answer still earns its full worth. */
    readonly objectiveAt: number;
    /** Whether it was refused before and came back. */
    readonly isCallerRetry: boolean;
    readonly triedTargets: Set<TargetId>;
    state: "waiting" | "sent" | "ended";
    attempt: Attempt<Answer> | undefined;
    /** Tries that reached a target or may have. */
    writtenAttempts: number;
    /** Connections that failed before anything was sent. */
    failedConnections: number;
    /** Whether a target may have run it, so that "not run" must not be said any more. */
    mayHaveRun: boolean;
    /** A failure that a target gave, kept in case no other target does better. */
    failureResponse: Answer | undefined;
    cancelTimeout: Cancel;
}

export interface Attempt<Answer> {
    readonly id: AttemptId;
    readonly job: Job<Answer>;
    readonly target: Target;
    readonly sentAt: number;
    /** Whether the target remembered the request's object, as far as this entry knows. */
    readonly isWarm: boolean;
    /** Other objects that came between the target's last work on the request's object and this. */
    readonly reuseDistance: number | undefined;
    /** Whether bytes of the request may have reached the target. */
    isWritten: boolean;
}

/** The head of a target's answer, decoded. */
export interface ResponseHead {
    readonly status: number;
    /** The target says that it did not run the request. */
    readonly isNotRun: boolean;
    /** Another target lives at the address. */
    readonly isMisdirected: boolean;
    /** It carries the target's signature. */
    readonly isSigned: boolean;
    readonly load: LoadReport | undefined;
    /** How long the target stays cold, if it says so. */
    readonly coldMs: number | undefined;
    readonly bodyBytes: number;
}

/** How a request ends towards the caller. */
export type FinalResponse<Answer> =
    | { readonly kind: "answer"; readonly answer: Answer; }
    | { readonly kind: "refusal"; readonly result: Result; readonly retryAfterMs: number | undefined; };

/** The final answer leaves this long before the caller stops waiting. */
const responseMarginMs = 15;
/** Time on the way to the caller that counts towards the objective. */
const callerLatencyMs = 8;

export interface JobOptions {
    readonly request: SteeringRequest;
    readonly route: Route;
    readonly service: ServiceId;
    readonly isCallerRetry: boolean;
}

/** Creates the job of a request that arrived. */
export function createJob<Answer>(options: JobOptions): Job<Answer> {
    const { request, route } = options;
    return {
        ...options,
        responseDueAt: Math.min(request.deadlineAt - responseMarginMs, request.arrivedAt + route.timeoutMs),
        objectiveAt: request.arrivedAt + route.objectiveMs - callerLatencyMs,
        triedTargets: new Set(),
        state: "waiting",
        attempt: undefined,
        writtenAttempts: 0,
        failedConnections: 0,
        mayHaveRun: false,
        failureResponse: undefined,
        cancelTimeout: () => {},
    };
}
