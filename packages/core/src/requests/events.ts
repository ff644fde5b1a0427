/** Events that the decision core handles and actions that it emits. The daemon's shell maps both to network I/O. */
import type {
    Address,
    AttemptId,
    DataCentreId,
    Fingerprint,
    InstanceId,
    RequestId,
    ServiceId,
    TargetId,
    TargetIncarnationId,
    Ticket,
} from "../ids.js";
import type { MemberInfo, PeerMessage } from "../membership/messages.js";
import type { Result } from "../results/resultCode.js";
import type { TargetNotice } from "../steering/targetRecord.js";
import type { CachedResponse } from "../tickets/ticketRegistry.js";

/** Purpose of a forwarded request: `redeem` asks the ticket's issuer to admit it, `run` just runs it at a target. */
export type PeerRole = "redeem" | "run";

export interface CallerOrigin {
    readonly kind: "caller";
}

export interface PeerOrigin {
    readonly kind: "peer";
    readonly peer: InstanceId;
    readonly role: PeerRole;
    /** The peer's id of its attempt; a repeated id is a duplicate. */
    readonly attempt: AttemptId;
}

export interface IncomingRequest {
    readonly id: RequestId;
    readonly service: ServiceId;
    readonly method: string;
    /** Path below the service, including the query. */
    readonly path: string;
    /** Remaining time until the caller's own deadline. */
    readonly remainingMs: number | undefined;
    readonly ticket: Ticket | undefined;
    /** Whether the shell has buffered the whole body and can send it again. */
    readonly isReplayable: boolean;
    /** Size of the body in bytes, where known. */
    readonly bodyBytes: number;
    /** Computes the fingerprint; on demand, because hashing the body is costly. */
    readonly fingerprint: () => Fingerprint;
    readonly origin: CallerOrigin | PeerOrigin;
}

/** How an attempt ended. */
export type AttemptEnd =
    /** The whole response was delivered. `cachedResponse` is a copy of it if it was small enough. */
    | { readonly kind: "done"; readonly cachedResponse: CachedResponse | undefined; }
    /** No byte of the request was written. */
    | { readonly kind: "notSent"; }
    /** The target or peer declared that it did not start the request. */
    | { readonly kind: "shed"; readonly result: Result; }
    /** A peer answered that the outcome is unknown or that the request had run before. */
    | { readonly kind: "settled"; readonly result: Result; }
    /** The connection broke after request bytes were written; `hasResponseStarted` if part of the response was delivered. */
    | { readonly kind: "broken"; readonly hasResponseStarted: boolean; }
    /** The shell cancelled the attempt on request of the core. */
    | { readonly kind: "cancelled"; };

export type CoreEvent =
    | { readonly kind: "requestArrived"; readonly request: IncomingRequest; }
    | { readonly kind: "requestAbandoned"; readonly request: RequestId; }
    /** The head of a response arrived; the core delivers at most one attempt's response per request. */
    | { readonly kind: "attemptAnswered"; readonly attempt: AttemptId; }
    | { readonly kind: "attemptEnded"; readonly attempt: AttemptId; readonly end: AttemptEnd; }
    /** A response of the target said something of its availability. */
    | { readonly kind: "targetNoticed"; readonly target: TargetId; readonly notice: TargetNotice; }
    | { readonly kind: "targetProbed"; readonly target: TargetId; readonly isHealthy: boolean; }
    | { readonly kind: "peerMet"; readonly peer: MemberInfo; }
    | { readonly kind: "peerRefused"; readonly address: Address; }
    | { readonly kind: "peerMessage"; readonly from: InstanceId; readonly message: PeerMessage; }
    | { readonly kind: "instancesListed"; readonly instances: readonly ListedInstance[]; }
    | { readonly kind: "documentOffered"; readonly text: string; readonly source: "store" | "peer"; }
    | { readonly kind: "storeFailed"; }
    | { readonly kind: "leave"; };

/** An instance in the platform's list, which lags behind the actual state. */
export interface ListedInstance {
    readonly address: Address;
    readonly dataCentre: DataCentreId;
    readonly isLeaving: boolean;
}

export type CoreAction =
    | {
        readonly kind: "sendToTarget";
        readonly attempt: AttemptId;
        readonly request: RequestId;
        readonly target: TargetId;
        readonly address: Address;
        /** Remaining time for the attempt. */
        readonly remainingMs: number;
    }
    | {
        readonly kind: "sendToPeer";
        readonly attempt: AttemptId;
        readonly request: RequestId;
        readonly peer: InstanceId;
        readonly role: PeerRole;
        readonly remainingMs: number;
    }
    /** Delivers the response of the attempt to the sender of the request. */
    | { readonly kind: "deliver"; readonly request: RequestId; readonly attempt: AttemptId; }
    | { readonly kind: "refuse"; readonly request: RequestId; readonly result: Result; }
    | { readonly kind: "repeat"; readonly request: RequestId; readonly answer: CachedResponse; }
    /** Aborts an incomplete response, so that the receiver can't mistake it for a complete one. */
    | { readonly kind: "cut"; readonly request: RequestId; }
    | { readonly kind: "cancelAttempt"; readonly attempt: AttemptId; }
    | { readonly kind: "message"; readonly to: InstanceId; readonly message: PeerMessage; }
    | { readonly kind: "probeTarget"; readonly target: TargetId; readonly address: Address; }
    /** A new revision is in force. */
    | { readonly kind: "inForce"; readonly revision: number; readonly text: string; }
    /** A document was refused; the shell logs the reason. */
    | { readonly kind: "documentRefused"; readonly reason: string; }
    /** An event for the operator's log. */
    | { readonly kind: "note"; readonly note: OperatorNote; };

export type OperatorNote =
    | {
        readonly kind: "targetState";
        readonly target: TargetId;
        readonly from: string;
        readonly to: string;
        readonly cause: string;
    }
    | { readonly kind: "peerState"; readonly peer: InstanceId; readonly from: string; readonly to: string; }
    | { readonly kind: "viewChanged"; readonly members: readonly InstanceId[]; }
    | {
        readonly kind: "poison";
        readonly fingerprint: Fingerprint;
        readonly deaths: number;
        readonly targetIncarnation: TargetIncarnationId;
    };

/** Receives actions in the order in which the core decides them. */
export type Emit = (action: CoreAction) => void;
