/** Messages between entries about who is there. They travel over the mesh and may be lost or arrive late. */
import type { DataCentreId, InstanceId, Revision, TargetId } from "../ids.js";

/** Names an entry to others. */
export interface MemberInfo {
    readonly instance: InstanceId;
    readonly dataCentre: DataCentreId;
    /** URL under which callers reach the entry. */
    readonly url: string;
}

/** Requests in flight at a target whose owner is another entry. */
export interface ForeignLoad {
    readonly target: TargetId;
    readonly inFlight: number;
}

/** What an entry says of itself; sent only to those that don't have it yet. */
export interface Report {
    /** Counts the sender's reports. */
    readonly number: number;
    readonly self: MemberInfo;
    /** Digest of the entries of the data centre that the sender counts in. */
    readonly viewDigest: string;
    readonly revision: Revision;
    readonly leaving: boolean;
    readonly foreign: readonly ForeignLoad[];
    /** A few other entries that the sender hears, for the receiver to dial. */
    readonly members: readonly MemberInfo[];
}

interface HeartbeatFields {
    /** Number of the heartbeat; an acknowledgement repeats it. */
    readonly sequence: number;
    /** Number of the sender's newest report. */
    readonly number: number;
    /** Number of the receiver's newest report that the sender has; -1 for none. */
    readonly has: number;
    readonly report?: Report;
}

export interface Heartbeat extends HeartbeatFields {
    readonly kind: "heartbeat";
}

export interface Acknowledgement extends HeartbeatFields {
    readonly kind: "acknowledgement";
}

/** Lets the receiver have `slots` requests of a service in flight at the sender's targets until the grant ends. */
export interface Grant {
    readonly kind: "grant";
    readonly service: string;
    readonly slots: number;
    readonly lifetimeMs: number;
    /** Median of the latencies of the sender's targets of the service, where known. */
    readonly medianMs: number | undefined;
    /** Targets of the service that the sender owns, and how many of them it has taken out for slowness. */
    readonly owned: number;
    readonly ejected: number;
}

/** Asks for grants: the sender has more requests of the service than it can place. */
export interface Demand {
    readonly kind: "demand";
    readonly service: string;
    readonly wanted: number;
}

/** A target died while it ran this request. */
export interface PoisonNotice {
    readonly kind: "poison";
    readonly fingerprint: string;
    /** Deaths that the sender has seen or heard of. */
    readonly deaths: number;
}

/** Offers the document in force at the sender, as it lies in the store. */
export interface DocumentOffer {
    readonly kind: "document";
    readonly text: string;
}

/** Asks for the document in force at the receiver. */
export interface DocumentRequest {
    readonly kind: "wish";
    /** Revision that the sender has. */
    readonly revision: number;
}

/** The sender has stopped and has nothing in flight any more. */
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
