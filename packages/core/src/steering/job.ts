/** A caller's request while this entry handles it, and its attempts at targets. */
import type { AttemptId, Fingerprint, KeyDigest, RequestId, ServiceId, TargetId } from "../ids.js";
import type { Result } from "../results/resultCode.js";
import type { Cancel } from "../time/timer.js";
import type { ConnectionPlace } from "./connectionPlace.js";
import type { Route } from "./steeringDocument.js";
import type { Target } from "./target.js";
import type { LoadReport, TargetNotice } from "./targetRecord.js";
import type { RequestTerms } from "./workspaceTerms.js";

/** The parts of a caller's request that decisions depend on. Times are on the entry's clock. */
export interface SteeringRequest {
    readonly id: RequestId;
    readonly host: string;
    readonly path: string;
    /** Identifies the object that the request is about, if the caller names one. */
    readonly objectId: string | undefined;
    /** Digest of the key that the request carries, whether or not requests need one. */
    readonly keyDigest: KeyDigest | undefined;
    /** Network address that the request came from; copies of a request may come from several. */
    readonly callerAddress: string;
    readonly arrivedAt: number;
    /** Time at which the caller stops waiting. */
    readonly deadlineAt: number;
    readonly bodyBytes: number;
    /** Its present place among the requests of its connection. */
    readonly place: ConnectionPlace;
    /** Hash that is equal for requests that ask for the same work. */
    readonly fingerprint: () => Fingerprint;
    /** What the fingerprint is made of, hashed part by part, for logs. */
    readonly describeFingerprint: () => string;
}

export interface Job<Answer> {
    readonly request: SteeringRequest;
    readonly route: Route;
    readonly service: ServiceId;
    /** Those of the document in force when the request was last sent or queued. */
    terms: RequestTerms;
    /** Returns what the request took out of its workspace's quota. */
    readonly giveBackQuota: () => void;
    /** Time at which the final response is due: the deadline or the route's timeout, whichever is sooner. */
    readonly responseDueAt: number;
    /** Latest time at which a response meets the latency objective. */
    readonly objectiveAt: number;
    /** Whether the caller sends this request again after it was refused. */
    readonly isCallerRetry: boolean;
    readonly triedTargets: Set<TargetId>;
    state: "waiting" | "sent" | "ended";
    attempt: Attempt<Answer> | undefined;
    /** Attempts that reached a target or may have reached one. */
    writtenAttempts: number;
    /** Connections that failed before any byte of the request was sent. */
    failedConnections: number;
    /** Whether the last target refused the request although it had free slots. */
    wasRefusedWithFreeSlots: boolean;
    /** Whether a target may have run the request, so that the result must not say that it was not run. */
    mayHaveRun: boolean;
    /** Error response of a target, delivered if no other target gives a better one. */
    failureResponse: Answer | undefined;
    cancelTimeout: Cancel;
}

export interface Attempt<Answer> {
    readonly id: AttemptId;
    readonly job: Job<Answer>;
    readonly target: Target;
    readonly sentAt: number;
    /** Whether, as far as this entry knows, the target had the request's object cached. */
    readonly isWarm: boolean;
    /** Number of other objects that the target handled since its last request for this object. */
    readonly reuseDistance: number | undefined;
    /** Whether bytes of the request may have reached the target. */
    isWritten: boolean;
}

/** Decoded head of a target's response. */
export interface ResponseHead {
    readonly status: number;
    /** Whether the target states that it did not run the request. */
    readonly isNotRun: boolean;
    /** Whether another target now has the address. */
    readonly isMisdirected: boolean;
    /** Whether the response carries the target's signature. */
    readonly isSigned: boolean;
    readonly load: LoadReport | undefined;
    /** Remaining duration of the target's cold start, if the target reports it. */
    readonly coldMs: number | undefined;
    readonly notice: TargetNotice;
    readonly bodyBytes: number;
}

/** Final response to the caller. */
export type FinalResponse<Answer> =
    | { readonly kind: "answer"; readonly answer: Answer; }
    | { readonly kind: "refusal"; readonly result: Result; readonly retryAfterMs: number | undefined; };

/**
 * Time between the final response and the caller's deadline, so that the response arrives before the caller gives up.
 */
const responseMarginMs = 15;
/** Latency between this entry and the caller that counts towards the objective. */
const callerLatencyMs = 8;

export interface JobOptions {
    readonly request: SteeringRequest;
    readonly route: Route;
    readonly service: ServiceId;
    readonly terms: RequestTerms;
    readonly giveBackQuota: () => void;
    readonly isCallerRetry: boolean;
}

/** Creates the job for a request that arrived. */
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
        wasRefusedWithFreeSlots: false,
        mayHaveRun: false,
        failureResponse: undefined,
        cancelTimeout: () => {},
    };
}
