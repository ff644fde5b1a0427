/** Status that a steering entry reports to operators as JSON on its control address. */
import type { DataCentreId, InstanceId, RegionId, ServiceId, TargetId, WorkspaceId } from "../ids.js";
import type { Quota } from "../limits/sharedLimit.js";
import type { DocumentFault } from "./steeringDocument.js";

export interface TargetStatus {
    readonly id: TargetId;
    readonly dataCentre: DataCentreId;
    readonly state: "serving" | "cold" | "suspect" | "ejected" | "paused";
    readonly slots: number;
    /** Requests of this entry in flight at the target. */
    readonly inFlight: number;
    /** Estimated free slots; negative when other entries fill the target's queue. */
    readonly free: number;
}

export interface ServiceStatus {
    readonly service: ServiceId;
    /** Requests that wait for a slot. */
    readonly waiting: number;
    /** Slots that serving all load offered by the entry's callers would keep busy. */
    readonly load: number;
    /** Fraction of the objects that are served in other regions. */
    readonly farShare: number;
    /** Summary of the slot allowances in other data centres. */
    readonly agreedElsewhere: string;
    readonly targets: readonly TargetStatus[];
}

/** A workspace of the active configuration, and its requests at this entry since the start of the process. */
export interface WorkspaceStatus {
    readonly workspace: WorkspaceId;
    /** Limit over all entries; `undefined` without one. */
    readonly quota: Quota | undefined;
    readonly priority: number | undefined;
    readonly homes: readonly RegionId[];
    readonly requests: number;
    readonly refused: number;
}

/** Use of a workspace's quota, as an entry knows it. */
export interface QuotaStatus {
    readonly workspace: WorkspaceId;
    readonly ratePerSecond: number;
    readonly burst: number;
    /** Requests admitted in the last window by all entries. */
    readonly used: number;
    /** Requests that the entries in contact with this one may admit in a window. */
    readonly limit: number;
    /** Requests that this entry may admit now. */
    readonly share: number;
    /** Whether this entry has refused a request for the quota in the last window. */
    readonly isOverQuota: boolean;
}

/** How current an entry's copy of the store is; times in milliseconds, `undefined` ones are left out. */
export interface ReplicaFreshnessStatus {
    /** Highest store revision announced by a member, and by an entry that is not a known member. */
    readonly peerRevision: number;
    readonly unknownPeerRevision: number;
    /** Age of the pending call for changes. */
    readonly pendingMs: number | undefined;
    /** Time since the store's last response to any call. */
    readonly silentMs: number | undefined;
    /** Time for which the copy has been stale; 0 if it is fresh. */
    readonly staleMs: number;
}

export interface SteeringStatus {
    readonly instance: InstanceId;
    readonly dataCentre: DataCentreId;
    readonly region: RegionId;
    /** Version of the active configuration; 0 before the first. */
    readonly version: number;
    /** Parts of the active configuration that the entry can't read. */
    readonly documentFaults: readonly DocumentFault[];
    /** Store revision up to which the entry is up to date. */
    readonly revision: number;
    /** Whether the entry watches the store directly. */
    readonly isWatching: boolean;
    /** `undefined` from entries of versions before it was reported. */
    readonly freshness: ReplicaFreshnessStatus | undefined;
    readonly isLeaving: boolean;
    readonly inFlight: number;
    /** Other live entries. */
    readonly entries: readonly { readonly instance: InstanceId; readonly control: string; }[];
    readonly services: readonly ServiceStatus[];
    /** `undefined` from entries of versions before it was reported. */
    readonly workspaces: readonly WorkspaceStatus[] | undefined;
    /** Absent from entries of versions before quotas. */
    readonly quotas?: readonly QuotaStatus[];
}

/** How an entry would handle a request; fields are `undefined` if no route matches. */
export interface RouteExplanation {
    readonly version: number;
    readonly route: string | undefined;
    /** Whether the request may belong to a route that the entry can't read. */
    readonly isUnreadable: boolean;
    readonly prefix: string | undefined;
    readonly isIdempotent: boolean | undefined;
    readonly timeoutMs: number | undefined;
    readonly objectiveMs: number | undefined;
    readonly attempts: number | undefined;
    readonly homes: readonly RegionId[];
    /** Services that share the route's requests, with their weights. */
    readonly parts: readonly { readonly service: ServiceId; readonly weight: number; readonly targets: number; }[];
}
