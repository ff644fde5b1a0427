/**
 * Estimates for each route, learned from completed requests: work time at a target of usual speed, and bytes
 * transferred.
 */
import type { Route } from "./steeringDocument.js";

export interface WorkTimes {
    /** Typical work time at a target that has the object cached, in milliseconds. */
    warmMs(route: Route): number;
    /** Typical work time at a target that has not cached the object, in milliseconds. */
    coldObjectMs(route: Route): number;
    /** Typical number of bytes transferred to and from a target for one request and its response. */
    transferBytes(route: Route): number;
    /**
     * Fraction of first runs at a target that were fast because requests of other entries had cached the object there.
     */
    alreadyCachedFraction(route: Route): number;
    /** Records whether the first run of an object at a target was fast. */
    recordFirstRun(route: Route, wasQuick: boolean): void;
    /** Records a request that took `workMs`, normalised to a target of usual speed. */
    record(route: Route, isWarm: boolean, workMs: number, bytes: number): void;
}

interface RouteEstimates {
    warmMs: number;
    coldMs: number;
    bytes: number;
    alreadyCached: number;
}

const smoothingFactor = 0.06;
/**
 * A sample counts as at most this multiple of the estimate, so that the few requests that run many times longer do not
 * distort it.
 */
const maxStepRatio = 2;
/** Initial work time estimates, as a ratio of the route's latency objective. */
const initialWarmRatio = 0.4;
const initialColdRatio = 1;
/** The same for a route whose targets cache nothing. */
const initialNonStickyRatio = 0.6;
/** Bytes of headers and packet overhead in addition to the bodies. */
const headBytes = 1_100;

export function createWorkTimes(): WorkTimes {
    const estimatesByRoute = new Map<string, RouteEstimates>();
    const estimatesOf = (route: Route): RouteEstimates => {
        let estimates = estimatesByRoute.get(route.name);
        if (estimates === undefined) {
            estimates = {
                warmMs: initialWarmRatio * route.objectiveMs,
                coldMs: (route.isSticky ? initialColdRatio : initialNonStickyRatio) * route.objectiveMs,
                bytes: 2 * headBytes,
                alreadyCached: 0,
            };
            estimatesByRoute.set(route.name, estimates);
        }
        return estimates;
    };
    const smooth = (current: number, sample: number): number =>
        current + smoothingFactor * (Math.min(sample, maxStepRatio * current) - current);
    return {
        warmMs: route => estimatesOf(route).warmMs,
        coldObjectMs: route => estimatesOf(route).coldMs,
        transferBytes: route => estimatesOf(route).bytes,
        alreadyCachedFraction: route => estimatesOf(route).alreadyCached,
        recordFirstRun: (route, wasQuick) => {
            const estimates = estimatesOf(route);
            estimates.alreadyCached += smoothingFactor * ((wasQuick ? 1 : 0) - estimates.alreadyCached);
        },
        record: (route, isWarm, workMs, bytes) => {
            const estimates = estimatesOf(route);
            if (isWarm) {
                estimates.warmMs = smooth(estimates.warmMs, workMs);
            }
            else {
                estimates.coldMs = smooth(estimates.coldMs, workMs);
            }
            estimates.bytes += smoothingFactor * (bytes + headBytes - estimates.bytes);
        },
    };
}
