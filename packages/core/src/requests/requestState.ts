/** State of a request in progress and of its attempts. */
import type { RequestClass, Service } from "../document/schema.js";
import type { AttemptId, InstanceId, RegionId, ServiceId, TargetId } from "../ids.js";
import type { Result } from "../results/resultCode.js";
import type { Cancel } from "../time/timer.js";
import type { IncomingRequest, PeerRole } from "./events.js";

export type AttemptDestination =
    | { readonly kind: "target"; readonly target: TargetId; }
    | { readonly kind: "peer"; readonly peer: InstanceId; readonly role: PeerRole; };

export interface Attempt {
    readonly id: AttemptId;
    readonly destination: AttemptDestination;
    readonly startedAt: number;
    /** Whether the core has cancelled the attempt. */
    isCancelled: boolean;
}

export interface RequestState {
    readonly incoming: IncomingRequest;
    readonly serviceId: ServiceId;
    readonly service: Service;
    readonly requestClass: RequestClass;
    /** Deadline on the timer's clock. */
    readonly deadlineAt: number;
    readonly shiftDestination: RegionId | undefined;
    readonly attempts: Map<AttemptId, Attempt>;
    readonly triedTargets: TargetId[];
    readonly triedPeers: InstanceId[];
    /** Serial number of the ticket that this entry spent for the request. */
    ticketSerial: number | undefined;
    /** The attempt whose response is delivered. */
    winningAttempt: AttemptId | undefined;
    attemptsStarted: number;
    isQueued: boolean;
    /** Whether the caller was answered or has gone; attempts that still run are only settled. */
    isDetached: boolean;
    /** Why the last attempt did not run the request; its result if there is no further attempt. */
    lastRefusal: Result | undefined;
    readonly cancelTimers: Cancel[];
}

export const isAtMostOnce = (state: RequestState): boolean => state.requestClass.runs === "atMostOnce";

/** Whether the request came from a caller and not from a peer. */
export const isFromCaller = (state: RequestState): boolean => state.incoming.origin.kind === "caller";

/** Whether this entry may forward the request; a peer's `run` request is not forwarded, to prevent loops. */
export const mayForward = (state: RequestState): boolean =>
    state.incoming.origin.kind === "caller" || state.incoming.origin.role === "redeem";
