/** A request while an entry works on it, and its tries. */
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
    /** The core ordered its end. */
    isCancelled: boolean;
}

export interface RequestState {
    readonly incoming: IncomingRequest;
    readonly serviceId: ServiceId;
    readonly service: Service;
    readonly requestClass: RequestClass;
    /** On the timer's clock. */
    readonly deadlineAt: number;
    readonly shiftDestination: RegionId | undefined;
    readonly attempts: Map<AttemptId, Attempt>;
    readonly triedTargets: TargetId[];
    readonly triedPeers: InstanceId[];
    /** Serial of the ticket that this entry spent for it. */
    ticketSerial: number | undefined;
    /** The try whose answer goes to the caller. */
    winningAttempt: AttemptId | undefined;
    attemptsStarted: number;
    isQueued: boolean;
    /** The caller was answered or went away; what still runs is only to be accounted for. */
    isDetached: boolean;
    /** Why the last try didn't run it; the answer if nothing else can be tried. */
    lastRefusal: Result | undefined;
    readonly cancelTimers: Cancel[];
}

export const isAtMostOnce = (state: RequestState): boolean => state.requestClass.runs === "atMostOnce";

/** Whether a caller, and not a peer, asked this entry. */
export const isFromCaller = (state: RequestState): boolean => state.incoming.origin.kind === "caller";

/** Whether this entry may pass the request on: a peer's `run` stops here, so that nothing goes round in circles. */
export const mayForward = (state: RequestState): boolean =>
    state.incoming.origin.kind === "caller" || state.incoming.origin.role === "redeem";
