/**
 * Selects by rendezvous hashing the few targets that may cache an object, the same at all entries, so that each target
 * handles few objects and keeps them cached. Without it, load balancing spreads each object over all targets, all
 * requests miss the cache and are slow, and the load stays high.
 */
import { hashText } from "../hash/hash.js";
import type { ServiceId } from "../ids.js";
import type { Timer } from "../time/timer.js";
import type { Target } from "./target.js";

export interface ObjectAffinity {
    /** Records that a request uses an object of the service. */
    recordUse(service: ServiceId, key: string): void;
    /** Number of the service's objects that were used recently. */
    activeObjectCount(service: ServiceId): number;
    /**
     * Targets of the region that may cache an object, best first. Targets of the local data centre come first if they
     * can cache all objects in use.
     */
    homesInRegion(key: string, local: readonly Target[], sameRegion: readonly Target[], objectCount: number): readonly Target[];
    /** The only target in other regions that may cache the object. */
    homeInOtherRegion(key: string, targets: readonly Target[]): Target | undefined;
}

/** Maximum number of targets in a group that cache the same object. */
const maxCopies = 1;
/** Fraction of the estimated cache capacity that is relied on. */
const usableCacheFraction = 0.95;
const usagePeriodMs = 10_000;

interface Usage {
    current: Set<string>;
    previous: Set<string>;
    startedAt: number;
}

const scoreOf = (key: string, target: Target): number => hashText(key, target.hashSeed);

const byScore = (key: string, targets: readonly Target[]): Target[] =>
    targets
        .map(target => ({ target, score: scoreOf(key, target) }))
        .sort((a, b) => b.score - a.score)
        .map(entry => entry.target);

/** Number of times that the targets together can cache all objects in use. */
function copyCount(targets: readonly Target[], objectCount: number): number {
    const cacheCapacity = targets.reduce((sum, target) => sum + target.cache.capacity(), 0);
    return Math.min(maxCopies, Math.floor((usableCacheFraction * cacheCapacity) / Math.max(1, objectCount)));
}

export function createObjectAffinity(timer: Timer): ObjectAffinity {
    const usageByService = new Map<ServiceId, Usage>();
    const usageOf = (service: ServiceId): Usage => {
        let usage = usageByService.get(service);
        if (usage === undefined) {
            usage = { current: new Set(), previous: new Set(), startedAt: timer.now() };
            usageByService.set(service, usage);
        }
        if (timer.now() - usage.startedAt > usagePeriodMs) {
            usage.previous = usage.current;
            usage.current = new Set();
            usage.startedAt = timer.now();
        }
        return usage;
    };
    return {
        recordUse: (service, key) => usageOf(service).current.add(key),
        activeObjectCount: service => {
            const usage = usageOf(service);
            return Math.max(usage.current.size, usage.previous.size);
        },
        homesInRegion: (key, local, sameRegion, objectCount) => {
            const localCopies = copyCount(local, objectCount);
            if (localCopies >= 1) {
                return [...byScore(key, local).slice(0, localCopies), ...byScore(key, sameRegion).slice(0, 1)];
            }
            const all = [...local, ...sameRegion];
            return byScore(key, all).slice(0, Math.max(1, copyCount(all, objectCount)));
        },
        homeInOtherRegion: (key, targets) => byScore(key, targets)[0],
    };
}
