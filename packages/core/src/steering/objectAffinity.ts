/**
 * Selects by rendezvous hashing the few targets that may cache an object, the same at all entries, so that each target
 * handles few objects and keeps them cached. Without it, load balancing spreads each object over all targets, all
 * requests miss the cache and are slow, and the load stays high.
 */
import { mixHashes } from "../hash/hash.js";
import type { ServiceId } from "../ids.js";
import type { Timer } from "../time/timer.js";
import { createObjectUsage, type ObjectUsage } from "./objectUsage.js";
import type { Target } from "./target.js";

/** Targets of a region that may cache an object. */
export interface RegionHomes {
    /** The first to cache it, the same for all data centres of the region: the sooner it is warm for all of them. */
    readonly first: Target | undefined;
    /** The local one, if the local targets can cache all objects in use. */
    readonly local: Target | undefined;
    /** The one in the region's other data centres, if there is a local one. */
    readonly near: Target | undefined;
}

export interface ObjectAffinity {
    /** Records that a request of this entry or of a peer uses an object of the service. */
    recordUse(service: ServiceId, key: number): void;
    /** Number of recent requests for the object. */
    recentUses(service: ServiceId, key: number): number;
    /** Number of the service's objects that were used recently. */
    activeObjectCount(service: ServiceId): number;
    /** Usable targets of the region that may cache an object. */
    homesInRegion(key: number, targets: RegionTargets, objectCount: number): RegionHomes;
    /** The only usable target in other regions that may cache the object. */
    homeInOtherRegion(key: number, targets: readonly TargetGroup[], isUsable: (target: Target) => boolean): Target | undefined;
}

/** Targets of one service in one data centre. */
export type TargetGroup = readonly Target[];

export interface RegionTargets {
    readonly local: TargetGroup;
    /** In the region's other data centres. */
    readonly sameRegion: readonly TargetGroup[];
    readonly isUsable: (target: Target) => boolean;
}

/**
 * Fraction of a data centre's estimated cache capacity that its own copies of objects may take. The rest is for objects of
 * other data centres and regions, whose requests this entry does not learn of.
 */
const usableCacheFraction = 0.5;

const scoreOf = (key: number, target: Target): number => mixHashes(key, target.hashSeed);

/** The usable target with the highest score. Few targets are checked for being usable, since that costs more than a score. */
function best(key: number, groups: readonly TargetGroup[], isUsable: (target: Target) => boolean): Target | undefined {
    let bestTarget: Target | undefined;
    let bestScore = -1;
    for (const group of groups) {
        for (const target of group) {
            const score = scoreOf(key, target);
            if (score > bestScore && isUsable(target)) {
                bestTarget = target;
                bestScore = score;
            }
        }
    }
    return bestTarget;
}

/** Whether the targets together can cache all objects in use. */
function canCacheAll(targets: readonly Target[], objectCount: number): boolean {
    const cacheCapacity = targets.reduce((sum, target) => sum + (target.isSuspect ? 0 : target.cache.capacity()), 0);
    return usableCacheFraction * cacheCapacity >= Math.max(1, objectCount);
}

export function createObjectAffinity(timer: Timer): ObjectAffinity {
    const usageByService = new Map<ServiceId, ObjectUsage>();
    const usageOf = (service: ServiceId): ObjectUsage => {
        const usage = usageByService.get(service) ?? createObjectUsage(timer);
        usageByService.set(service, usage);
        return usage;
    };
    return {
        recordUse: (service, key) => usageOf(service).record(key),
        recentUses: (service, key) => usageOf(service).recentUses(key),
        activeObjectCount: service => usageOf(service).activeCount(),
        homesInRegion: (key, { local, sameRegion, isUsable }, objectCount) => {
            const bestLocal = best(key, [local], isUsable);
            const bestNear = best(key, sameRegion, isUsable);
            const first = bestLocal === undefined || bestNear === undefined
                ? bestLocal ?? bestNear
                : scoreOf(key, bestLocal) >= scoreOf(key, bestNear)
                ? bestLocal
                : bestNear;
            return canCacheAll(local, objectCount)
                ? { first, local: bestLocal, near: bestNear }
                : { first, local: undefined, near: undefined };
        },
        homeInOtherRegion: best,
    };
}
