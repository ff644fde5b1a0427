/** What the decision core is told and what it orders. The daemon's shell turns sockets into events and actions into I/O. */
import type {
    Address,
    AttemptId,
    DataCentreId,
    Fingerprint,
    InstanceId,
    RequestId,
    ServiceId,
    TargetId,
    Ticket,
} from "../ids.js";
import type { MemberInfo, PeerMessage } from "../membership/messages.js";
import type { Result } from "../results/resultCode.js";
import type { CachedAnswer } from "../tickets/ticketRegistry.js";

/** What a peer that passes a request on wants of us: let the ticket's work start, or just run it at a target. */
export type PeerRole = "redeem" | "run";

export interface CallerOrigin {
    readonly kind: "caller";
}

export interface PeerOrigin {
    readonly kind: "peer";
    readonly peer: InstanceId;
    readonly role: PeerRole;
    /** The peer's number for its try; the same number twice is the same try. */
    readonly attempt: AttemptId;
}

export interface IncomingRequest {
    readonly id: RequestId;
    readonly service: ServiceId;
    readonly method: string;
    /** Path below the service, with its query. */
    readonly path: string;
    /** Time left by the caller's own deadline, in milliseconds. */
    readonly remainingMs: number | undefined;
    readonly ticket: Ticket | undefined;
    /** Whether the shell holds the whole body and can send it again. */
    readonly isReplayable: boolean;
    /** Body bytes, where known. */
    readonly bodyBytes: number;
    /** Computes what tells the same work again; costly, so only on demand. */
    readonly fingerprint: () => Fingerprint;
    readonly origin: CallerOrigin | PeerOrigin;
}

/** How one try ended. */
export type AttemptEnd =
    /** The whole answer was passed on. `kept` is a copy where it was small. */
    | { readonly kind: "done"; readonly cachedAnswer: CachedAnswer | undefined; }
    /** No byte of the request was written. */
    | { readonly kind: "notSent"; }
    /** The target or peer said that it did not start the request. */
    | { readonly kind: "shed"; readonly result: Result; }
    /** A peer answered that the outcome is not known, or that the request ran before. */
    | { readonly kind: "settled"; readonly result: Result; }
    /** The connection broke after bytes were written; `answerStarted` when part of the answer was passed on. */
    | { readonly kind: "broken"; readonly hasAnswerStarted: boolean; }
    /** The shell ended it because the core said so. */
    | { readonly kind: "cancelled"; };

export type CoreEvent =
    | { readonly kind: "requestArrived"; readonly request: IncomingRequest; }
    | { readonly kind: "requestAbandoned"; readonly request: RequestId; }
    /** The head of an answer arrived; at most one try of a request is then told to go on. */
    | { readonly kind: "attemptAnswered"; readonly attempt: AttemptId; }
    | { readonly kind: "attemptEnded"; readonly attempt: AttemptId; readonly end: AttemptEnd; }
    | { readonly kind: "targetProbed"; readonly target: TargetId; readonly isHealthy: boolean; }
    | { readonly kind: "peerMet"; readonly peer: MemberInfo; }
    | { readonly kind: "peerRefused"; readonly address: Address; }
    | { readonly kind: "peerMessage"; readonly from: InstanceId; readonly message: PeerMessage; }
    | { readonly kind: "instancesListed"; readonly instances: readonly ListedInstance[]; }
    | { readonly kind: "documentOffered"; readonly text: string; readonly source: "store" | "peer"; }
    | { readonly kind: "storeFailed"; }
    | { readonly kind: "leave"; };

/** One row of the platform's lagging list. */
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
        /** Time left for the try, in milliseconds. */
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
    /** Passes the try's answer to whoever asked. */
    | { readonly kind: "deliver"; readonly request: RequestId; readonly attempt: AttemptId; }
    | { readonly kind: "refuse"; readonly request: RequestId; readonly result: Result; }
    | { readonly kind: "repeat"; readonly request: RequestId; readonly answer: CachedAnswer; }
    /** Ends an answer that broke off, so that no part is taken for the whole. */
    | { readonly kind: "cut"; readonly request: RequestId; }
    | { readonly kind: "cancelAttempt"; readonly attempt: AttemptId; }
    | { readonly kind: "message"; readonly to: InstanceId; readonly message: PeerMessage; }
    | { readonly kind: "probeTarget"; readonly target: TargetId; readonly address: Address; }
    /** A revision came into force. */
    | { readonly kind: "inForce"; readonly revision: number; readonly text: string; }
    /** A document was refused; the shell logs why. */
    | { readonly kind: "documentRefused"; readonly reason: string; }
    /** Something an operator may want to see. */
    | { readonly kind: "note"; readonly note: Note; };

export type Note =
    | {
        readonly kind: "targetState";
        readonly target: TargetId;
        readonly from: string;
        readonly to: string;
        readonly cause: string;
    }
    | { readonly kind: "peerState"; readonly peer: InstanceId; readonly from: string; readonly to: string; }
    | { readonly kind: "viewChanged"; readonly members: readonly InstanceId[]; }
    | { readonly kind: "poison"; readonly fingerprint: Fingerprint; readonly deaths: number; };

/** Receives actions in the order in which they were decided. */
export type Emit = (action: CoreAction) => void;
