/** What this entry learned of each route: how long its work takes at a target at its usual speed, and its bytes. */
import type { Route } from "./steeringDocument.js";

export interface WorkTimes {
    /** Usual work of the route at a target that remembers the object, in milliseconds. */
    warmMs(route: Route): number;
    /** The same at a target that does not. */
    coldObjectMs(route: Route): number;
    /** Bytes on the link to a target for one request and its answer. */
    transferBytes(route: Route): number;
    /** Share of first runs at an agreed target that were quick: other entries had made the object known there. */
    alreadyCachedFraction(route: Route): number;
    /** A first run of an object at an agreed target was quick, or not. */
    recordFirstRun(route: Route, wasQuick: boolean): void;
    /** A request took `workMs` at a target of the given slowness. */
    record(route: Route, isWarm: boolean, workMs: number, bytes: number): void;
}

interface Learned {
    warmMs: number;
    coldMs: number;
    bytes: number;
    knownBefore: number;
}

const weight = 0.06;
/** One request moves what was learned by at most this factor: the few that run many times longer are not usual. */
const maxStepRatio = 2;
/** Work as a share of the route's objective before anything was learned. */
const initialWarmRatio = 0.4;
const initialColdRatio = 1;
/** The same for a route whose targets remember nothing. */
const initialNonStickyRatio = 0.6;
/** Bytes of heads and packets that come with the bodies. */
const headBytes = 1_100;

export function createWorkTimes(): WorkTimes {
    const routes = new Map<string, Learned>();
    const of = (route: Route): Learned => {
        let learned = routes.get(route.name);
        if (learned === undefined) {
            learned = {
                warmMs: initialWarmRatio * route.objectiveMs,
                coldMs: (route.isSticky ? initialColdRatio : initialNonStickyRatio) * route.objectiveMs,
                bytes: 2 * headBytes,
                knownBefore: 0,
            };
            routes.set(route.name, learned);
        }
        return learned;
    };
    const follow = (known: number, seen: number): number => known + weight * (Math.min(seen, maxStepRatio * known) - known);
    return {
        warmMs: route => of(route).warmMs,
        coldObjectMs: route => of(route).coldMs,
        transferBytes: route => of(route).bytes,
        alreadyCachedFraction: route => of(route).knownBefore,
        recordFirstRun: (route, wasQuick) => {
            const learned = of(route);
            learned.knownBefore += weight * ((wasQuick ? 1 : 0) - learned.knownBefore);
        },
        record: (route, isWarm, workMs, bytes) => {
            const learned = of(route);
            if (isWarm) {
                learned.warmMs = follow(learned.warmMs, workMs);
            }
            else {
                learned.coldMs = follow(learned.coldMs, workMs);
            }
            learned.bytes += weight * (bytes + headBytes - learned.bytes);
        },
    };
}
