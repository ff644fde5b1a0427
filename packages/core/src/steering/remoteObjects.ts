/**
 * Selects the objects that are served in other regions, and the region of each. The part of a service's load that leaves the
 * region consists of whole objects, chosen by hash: each stays in one region, so that targets there keep it cached.
 */
import { hashText, mixHashes } from "../hash/hash.js";
import type { RegionId, ServiceId } from "../ids.js";
import { type FractionsByRegion, sumOfFractions } from "./regionFractions.js";

export interface RemoteObjects {
    /** Region in which the object is currently served; `undefined` if that is this entry's own. */
    regionOf(service: ServiceId, key: number): RegionId | undefined;
    /**
     * Position of the object, from 0 to 1, among those that are served in other regions, or among those that are not. The
     * latter's begin with the objects that would be the next to leave.
     */
    positionOf(service: ServiceId, key: number): number;
}

export interface RemoteObjectsOptions {
    readonly fractions: (service: ServiceId) => FractionsByRegion;
}

const hashSeed = 0x5eed;
const hashRange = 2 ** 32;

export function createRemoteObjects({ fractions }: RemoteObjectsOptions): RemoteObjects {
    return {
        regionOf: (service, key) => {
            const byRegion = fractions(service);
            return hashPosition(key) < sumOfFractions(byRegion) ? heaviestRegion(key, byRegion) : undefined;
        },
        positionOf: (service, key) => {
            const position = hashPosition(key);
            const remote = sumOfFractions(fractions(service));
            return position < remote ? position / remote : (position - remote) / (1 - remote);
        },
    };
}

const hashPosition = (key: number): number => mixHashes(key, hashSeed) / hashRange;

/** Weighted rendezvous hashing: when a region's weight changes, objects move only to or from that region. */
function heaviestRegion(key: number, weights: FractionsByRegion): RegionId | undefined {
    if (weights.size === 1) {
        return weights.keys().next().value;
    }
    let best: RegionId | undefined;
    let bestScore = -Infinity;
    for (const [region, weight] of weights) {
        const uniform = (mixHashes(key, hashText(region)) + 1) / (hashRange + 1);
        const score = weight === 0 ? -Infinity : Math.log(uniform) / weight;
        if (score > bestScore) {
            best = region;
            bestScore = score;
        }
    }
    return best;
}
