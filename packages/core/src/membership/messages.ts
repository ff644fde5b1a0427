/** Messages between entries: membership, grants, poison requests and documents. The mesh may lose or delay them. */
import type { DataCentreId, InstanceId, Revision, TargetId } from "../ids.js";

/** Identity, data centre and URL of an entry. */
export interface MemberInfo {
    readonly instance: InstanceId;
    readonly dataCentre: DataCentreId;
    /** URL at which callers reach the entry. */
    readonly url: string;
}

/** Requests in flight at a target whose owner is another entry. */
export interface ForeignLoad {
    readonly target: TargetId;
    readonly inFlight: number;
}

/** State that an entry reports about itself; sent only to peers that don't have this report yet. */
export interface Report {
    /** Sequence number of the report, increasing per sender. */
    readonly number: number;
    readonly self: MemberInfo;
    /** Digest of the sender's membership view of its data centre. */
    readonly viewDigest: string;
    readonly revision: Revision;
    readonly leaving: boolean;
    readonly foreign: readonly ForeignLoad[];
    /** A sample of other live entries known to the sender, for the receiver to connect to (gossip). */
    readonly members: readonly MemberInfo[];
}

interface HeartbeatFields {
    /** Sequence number of the heartbeat; echoed by the acknowledgement. */
    readonly sequence: number;
    /** Number of the sender's latest report. */
    readonly number: number;
    /** Number of the receiver's latest report that the sender has; -1 for none. */
    readonly has: number;
    readonly report?: Report;
}

export interface Heartbeat extends HeartbeatFields {
    readonly kind: "heartbeat";
}

export interface Acknowledgement extends HeartbeatFields {
    readonly kind: "acknowledgement";
}

/** Allows the receiver to have `slots` requests of a service in flight at the sender until the grant expires. */
export interface Grant {
    readonly kind: "grant";
    readonly service: string;
    readonly slots: number;
    readonly lifetimeMs: number;
    /** Median latency of the sender's targets of the service, if known. */
    readonly medianMs: number | undefined;
    /** Number of targets of the service that the sender owns. */
    readonly owned: number;
    /** Number of owned targets that the sender has ejected as slow. */
    readonly ejected: number;
}

/** Asks for grants: the sender has more requests of the service than available slots. */
export interface Demand {
    readonly kind: "demand";
    readonly service: string;
    readonly wanted: number;
}

/** Reports that a target died while it ran this request. */
export interface PoisonNotice {
    readonly kind: "poison";
    readonly fingerprint: string;
    /** Number of deaths known to the sender, its own observations and reported ones. */
    readonly deaths: number;
    /** Identifies the death, so that each counts once. */
    readonly targetIncarnation: string;
    /** Time since the death, in milliseconds. */
    readonly ageMs: number;
}

/** Sends the document in force at the sender, in its stored form. */
export interface DocumentOffer {
    readonly kind: "document";
    readonly text: string;
}

/** Requests the document in force at the receiver. */
export interface DocumentRequest {
    readonly kind: "wish";
    /** Revision in force at the sender. */
    readonly revision: number;
}

/** Announces that the sender has stopped and has no requests in flight. */
export interface Goodbye {
    readonly kind: "goodbye";
    readonly from: MemberInfo;
}

export type PeerMessage =
    | Heartbeat
    | Acknowledgement
    | Grant
    | Demand
    | PoisonNotice
    | DocumentOffer
    | DocumentRequest
    | Goodbye;
