/** What a steering entry tells operators of itself: JSON on its control address. */
import type { DataCentreId, InstanceId, RegionId, ServiceId, TargetId } from "../ids.js";

export interface TargetStatus {
    readonly id: TargetId;
    readonly dataCentre: DataCentreId;
    readonly state: "serving" | "cold" | "suspect" | "ejected";
    readonly slots: number;
    /** Requests that the entry has there. */
    readonly inFlight: number;
    /** Slots that are free as far as the entry knows; below 0 where others fill the queue. */
    readonly free: number;
}

export interface ServiceStatus {
    readonly service: ServiceId;
    /** Requests that wait for a slot. */
    readonly waiting: number;
    /** Slots that serving all that the entry's callers offer would keep busy. */
    readonly load: number;
    /** Share of the objects that are served in other regions. */
    readonly farShare: number;
    /** Slots agreed in other data centres, in short. */
    readonly agreedElsewhere: string;
    readonly targets: readonly TargetStatus[];
}

export interface SteeringStatus {
    readonly instance: InstanceId;
    readonly dataCentre: DataCentreId;
    readonly region: RegionId;
    /** Version of the configuration in force; 0 before the first. */
    readonly version: number;
    /** Revision of the store up to which the entry knows. */
    readonly revision: number;
    /** Whether it watches the store itself. */
    readonly isWatching: boolean;
    readonly isLeaving: boolean;
    readonly inFlight: number;
    /** Other entries that it takes to live. */
    readonly entries: readonly { readonly instance: InstanceId; readonly control: string; }[];
    readonly services: readonly ServiceStatus[];
}

/** How an entry would treat a request; `undefined` fields where no route fits. */
export interface RouteExplanation {
    readonly version: number;
    readonly route: string | undefined;
    readonly prefix: string | undefined;
    readonly isIdempotent: boolean | undefined;
    readonly timeoutMs: number | undefined;
    readonly objectiveMs: number | undefined;
    readonly attempts: number | undefined;
    readonly homes: readonly RegionId[];
    /** Services that share its requests, with their weights. */
    readonly parts: readonly { readonly service: ServiceId; readonly weight: number; readonly targets: number; }[];
}
