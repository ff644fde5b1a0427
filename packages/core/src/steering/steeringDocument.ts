/**
 * What operators ask for on a deployment that routes by host and path: routes, services and limits on callers.
 * The adapter of a platform decodes its own format into these types.
 */
import type { RegionId, ServiceId } from "../ids.js";

/** One part of a route's traffic. */
export interface WeightedService {
    readonly service: ServiceId;
    /** Share of the route's requests, relative to the other parts; above 0. */
    readonly weight: number;
}

export interface Route {
    readonly name: string;
    readonly host: string;
    /** Begins and ends with a slash; the longest one that begins the path selects the route. */
    readonly prefix: string;
    /** Whether a request may run more than once. */
    readonly isIdempotent: boolean;
    /** Longest time that a request may stay unanswered, in milliseconds. */
    readonly timeoutMs: number;
    /** Time within which an answer earns its full worth, in milliseconds. */
    readonly objectiveMs: number;
    /** Rank among routes of a service; 0 is the most urgent. */
    readonly priority: number;
    /** Most targets to which one request may be sent. */
    readonly maxAttempts: number;
    /** Whether a target that handled the same object lately works faster. */
    readonly isSticky: boolean;
    /** Regions in which the route's requests may run; empty means all. */
    readonly homeRegions: readonly RegionId[];
    /** At least one; several split the traffic by weight. */
    readonly weightedServices: readonly WeightedService[];
}

export interface Service {
    readonly id: ServiceId;
    /** Path of the target's health answer. */
    readonly healthCheckPath: string;
    /** Most connections that a target accepts from all callers. */
    readonly maxConnections: number;
    /** Time after its start for which a target is cold, in milliseconds. */
    readonly coldMs: number;
    /** Requests a second that a cold target bears; `undefined` means no bound. */
    readonly maxColdRequestsPerSecond: number | undefined;
}

/** What callers may send, and how long they may take. */
export interface CallerLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

export interface SteeringDocument {
    /** Grows with each change, in uneven steps. */
    readonly version: number;
    readonly routes: readonly Route[];
    readonly services: readonly Service[];
    readonly limits: CallerLimits;
}
