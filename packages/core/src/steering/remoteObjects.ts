/**
 * Selects the objects that are served in other regions, and the region of each. The part of a service's load that leaves the
 * region consists of whole objects, chosen by hash: each stays in one region, so that targets there keep it cached.
 */
import { hashText, mixHashes } from "../hash/hash.js";
import type { RegionId, ServiceId } from "../ids.js";
import type { FractionsByRegion } from "./regionFractions.js";

export interface RemoteObjects {
    /** Region in which the object is currently served; `undefined` if that is this entry's own. */
    regionOf(service: ServiceId, key: number): RegionId | undefined;
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
            const position = mixHashes(key, hashSeed) / hashRange;
            let sum = 0;
            for (const fraction of byRegion.values()) {
                sum += fraction;
            }
            return position < sum ? heaviestRegion(key, byRegion) : undefined;
        },
    };
}

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
