/**
 * Where a service's work ran since the previous reading: how much of it on warm objects, by region of the targets, which
 * object and which target got the most requests, and how many copies of objects were added.
 */
import type { RegionId, ServiceId, TargetId } from "@pimentospring/core/ids";
import type { Attempt } from "@pimentospring/core/steering/job";
import { objectKey } from "@pimentospring/core/steering/target";
import type { ScoredTarget } from "@pimentospring/core/steering/targetSelector";
import type { TargetResponse } from "../targets/targetResponse.js";

export interface WarmStatistics {
    /** Returns whether the attempt adds a copy of an object that is cached elsewhere. */
    recordStart(attempt: Attempt<TargetResponse>, choice: ScoredTarget): boolean;
    /** Records an attempt that succeeded; `wasQuick` if it was as fast as with a cached object. */
    recordRun(attempt: Attempt<TargetResponse>, wasQuick: boolean): void;
    /** Returns the service's counts and resets them. */
    takeCounts(service: ServiceId): WarmCounts;
}

export interface WarmCounts {
    /** Share of the runs that were as fast as with a cached object, by region of their targets. */
    readonly warmShares: Readonly<Record<RegionId, number>>;
    /** Share of all attempts, by region of their targets. */
    readonly attemptShares: Readonly<Record<RegionId, number>>;
    /** Object with the most attempts, by the hash of its key, and target with the most, with their shares of all attempts. */
    readonly hottestObject: HottestItem | undefined;
    readonly hottestTarget: HottestItem | undefined;
    readonly copiesAdded: number;
}

export interface HottestItem {
    readonly name: string;
    readonly share: number;
}

interface RunCount {
    runs: number;
    quickRuns: number;
}

interface ServiceCounts {
    readonly runsByRegion: Map<RegionId, RunCount>;
    readonly attemptsByRegion: Map<RegionId, number>;
    readonly attemptsByObject: Map<number, number>;
    readonly attemptsByTarget: Map<TargetId, number>;
    attempts: number;
    copiesAdded: number;
}

/** Callers choose object ids; an object that first occurs when this many are counted is left out. */
const maxCountedObjects = 4_096;

const createCounts = (): ServiceCounts => ({
    runsByRegion: new Map(),
    attemptsByRegion: new Map(),
    attemptsByObject: new Map(),
    attemptsByTarget: new Map(),
    attempts: 0,
    copiesAdded: 0,
});

const increment = <Key>(counts: Map<Key, number>, key: Key): void => void counts.set(key, (counts.get(key) ?? 0) + 1);

function hottest<Key>(counts: ReadonlyMap<Key, number>, total: number, nameOf: (key: Key) => string): HottestItem | undefined {
    const [first, ...others] = counts;
    if (first === undefined) {
        return undefined;
    }
    const [key, count] = others.reduce((top, item) => (item[1] > top[1] ? item : top), first);
    return { name: nameOf(key), share: Number((count / total).toFixed(3)) };
}

const shareOf = ({ runs, quickRuns }: RunCount): number => Number((quickRuns / runs).toFixed(3));

export function createWarmStatistics(): WarmStatistics {
    const services = new Map<ServiceId, ServiceCounts>();
    const countsOf = (service: ServiceId): ServiceCounts => {
        const counts = services.get(service) ?? createCounts();
        services.set(service, counts);
        return counts;
    };
    return {
        recordStart: ({ job, target }, { isWarm, isFirstRun }) => {
            const counts = countsOf(job.service);
            const { objectId } = job.request;
            counts.attempts++;
            increment(counts.attemptsByTarget, target.record.id);
            increment(counts.attemptsByRegion, target.record.region);
            if (!job.route.isSticky || objectId === undefined) {
                return false;
            }
            const key = objectKey(job.route, objectId);
            if (counts.attemptsByObject.has(key) || counts.attemptsByObject.size < maxCountedObjects) {
                increment(counts.attemptsByObject, key);
            }
            const isCopy = !isWarm && !isFirstRun;
            counts.copiesAdded += isCopy ? 1 : 0;
            return isCopy;
        },
        recordRun: ({ job, target }, wasQuick) => {
            const { runsByRegion } = countsOf(job.service);
            const count = runsByRegion.get(target.record.region) ?? { runs: 0, quickRuns: 0 };
            count.runs++;
            count.quickRuns += wasQuick ? 1 : 0;
            runsByRegion.set(target.record.region, count);
        },
        takeCounts: service => {
            const { runsByRegion, attemptsByRegion, attemptsByObject, attemptsByTarget, attempts, copiesAdded } = countsOf(
                service,
            );
            services.delete(service);
            return {
                warmShares: Object.fromEntries([...runsByRegion].map(([region, count]) => [region, shareOf(count)])),
                attemptShares: Object.fromEntries(
                    [...attemptsByRegion].map(([region, count]) => [region, Number((count / attempts).toFixed(3))]),
                ),
                hottestObject: hottest(attemptsByObject, attempts, key => key.toString(16).padStart(8, "0")),
                hottestTarget: hottest(attemptsByTarget, attempts, String),
                copiesAdded,
            };
        },
    };
}
