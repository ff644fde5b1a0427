/**
 * Where an object may be made known: at few targets, the same for all entries, so that each target keeps to few objects
 * and remembers them. Without it, load spreads each object over all targets, all work is slow, and the load stays.
 */
import { hashText } from "../hash/hash.js";
import type { ServiceId } from "../ids.js";
import type { Timer } from "../time/timer.js";
import type { Target } from "./target.js";

export interface ObjectAffinity {
    /** Notes that an object of the service is in use. */
    recordUse(service: ServiceId, key: string): void;
    /** Objects of the service in use lately. */
    activeObjectCount(service: ServiceId): number;
    /**
     * Targets at which an object may be made known, best first. Those of the own data centre come first if they can
     * remember all that is in use.
     */
    homesInRegion(key: string, own: readonly Target[], others: readonly Target[], objects: number): readonly Target[];
    /** The one target elsewhere at which it may be made known. */
    homeInOtherRegion(key: string, targets: readonly Target[]): Target | undefined;
}

/** Most targets of a group at which an object is made known. */
const maxCopies = 1;
/** Part of the memory that is counted on. */
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

/** How many times the targets together can remember all objects in use. */
function copiesOf(targets: readonly Target[], objects: number): number {
    const room = targets.reduce((sum, target) => sum + target.cache.capacity(), 0);
    return Math.min(maxCopies, Math.floor((usableCacheFraction * room) / Math.max(1, objects)));
}

export function createObjectAffinity(timer: Timer): ObjectAffinity {
    const usages = new Map<ServiceId, Usage>();
    const usageOf = (service: ServiceId): Usage => {
        let usage = usages.get(service);
        if (usage === undefined) {
            usage = { current: new Set(), previous: new Set(), startedAt: timer.now() };
            usages.set(service, usage);
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
        homesInRegion: (key, own, others, objects) => {
            const ownCopies = copiesOf(own, objects);
            if (ownCopies >= 1) {
                return [...byScore(key, own).slice(0, ownCopies), ...byScore(key, others).slice(0, 1)];
            }
            const all = [...own, ...others];
            return byScore(key, all).slice(0, Math.max(1, copiesOf(all, objects)));
        },
        homeInOtherRegion: (key, targets) => byScore(key, targets)[0],
    };
}
