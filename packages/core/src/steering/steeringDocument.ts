/**
 * Operators' configuration of a deployment that routes by host and path: routes, services, workspaces and caller limits. A
 * platform adapter decodes its own format into these types.
 */
import type { KeyDigest, RegionId, ServiceId, WorkspaceId } from "../ids.js";
import type { Quota } from "../limits/sharedLimit.js";

/** A service that receives part of a route's requests. */
export interface WeightedService {
    readonly service: ServiceId;
    /** Share of the route's requests, relative to the route's other services; greater than 0. */
    readonly weight: number;
}

export interface Route {
    readonly name: string;
    readonly host: string;
    /** Begins and ends with a slash; the longest prefix that matches the path selects the route. */
    readonly prefix: string;
    /** Whether a request may run more than once. */
    readonly isIdempotent: boolean;
    /** Maximum time without a response, in milliseconds. */
    readonly timeoutMs: number;
    /** Latency objective, in milliseconds. */
    readonly objectiveMs: number;
    /** Priority among the routes of a service; 0 is the most urgent. */
    readonly priority: number;
    /** Maximum number of targets to which one request may be sent. */
    readonly maxAttempts: number;
    /** Whether a target is faster on objects that it handled recently. */
    readonly isSticky: boolean;
    /** Regions in which the route's requests may run; empty means all. */
    readonly homeRegions: readonly RegionId[];
    /** At least one; several split the traffic by weight. */
    readonly weightedServices: readonly WeightedService[];
    /** Whether requests need no key where the document has workspaces. */
    readonly isPublic: boolean;
}

/** A customer of the deployment's operator, whose requests carry one of its keys. */
export interface Workspace {
    readonly id: WorkspaceId;
    readonly keys: readonly KeyDigest[];
    /** Replaces the priority of the route; `undefined` leaves it. */
    readonly priority: number | undefined;
    /** Regions in which the workspace's requests may run; empty means all. */
    readonly homeRegions: readonly RegionId[];
    /** Limit on the workspace's requests over all entries; `undefined` means none. */
    readonly quota: Quota | undefined;
    /** Whether too much could not be decoded to serve the workspace, such as its quota. Its requests are refused. */
    readonly isUnreadable: boolean;
}

export interface Service {
    readonly id: ServiceId;
    /** Path of the target's health check. */
    readonly healthCheckPath: string;
    /** Maximum number of connections that a target accepts from all callers. */
    readonly maxConnections: number;
    /** Duration of a target's cold start, in milliseconds. */
    readonly coldMs: number;
    /** Requests a second that a cold target can handle; `undefined` means no limit. */
    readonly maxColdRequestsPerSecond: number | undefined;
}

/** Limits on the size and duration of callers' requests. */
export interface CallerLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

/** A route of which too much could not be decoded to serve it. Its requests are refused, not sent along another route. */
export interface UnreadableRoute {
    readonly name: string;
    /** `undefined` if the host itself could not be decoded. */
    readonly host: string | undefined;
    /** `undefined` if the prefix itself could not be decoded. */
    readonly prefix: string | undefined;
}

/** A part of a document that could not be decoded, for example because a newer version wrote it. */
export interface DocumentFault {
    /** Kind and name of the resource, such as `routes checkout`. */
    readonly resource: string;
    /** What was found, and what was expected. */
    readonly reason: string;
    /** What applies instead. */
    readonly effect: string;
}

export interface SteeringDocument {
    /** Increases with each change, not necessarily by one. */
    readonly version: number;
    readonly routes: readonly Route[];
    readonly unreadableRoutes: readonly UnreadableRoute[];
    readonly services: readonly Service[];
    /** If there are any, requests need a key. */
    readonly workspaces: readonly Workspace[];
    /** Whether a key that is not listed may be one that could not be decoded. */
    readonly hasUnreadableKeys: boolean;
    readonly limits: CallerLimits;
    readonly faults: readonly DocumentFault[];
}
