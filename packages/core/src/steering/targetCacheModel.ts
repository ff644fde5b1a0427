/** Estimates which objects a target has cached: it keeps those used last, as many as the service's targets can keep. */
import { type CacheCapacity, createCacheCapacity, maxCapacity } from "./cacheCapacity.js";

export interface TargetCacheModel {
    /** Whether the target is likely to have the object cached. */
    isCached(key: number): boolean;
    /** Estimated number of objects that the target keeps. */
    capacity(): number;
    /** Whether caching one more object would evict another. */
    isFull(): boolean;
    /**
     * Records that the target starts work on the object, which caches it. Returns the reuse distance: the number of
     * other objects since its last use.
     */
    recordAccess(key: number): number | undefined;
    /** Adjusts the capacity to whether a request for an object with that reuse distance was fast. */
    adjustCapacity(reuseDistance: number, wasQuick: boolean): void;
}

export function createTargetCacheModel(capacity: CacheCapacity = createCacheCapacity()): TargetCacheModel {
    /** In order of use, least recently used first. */
    const objects = new Map<number, true>();
    /** Number of objects used since this one, or `undefined` if it was never seen. */
    const reuseDistanceOf = (key: number): number | undefined => {
        if (!objects.has(key)) {
            return undefined;
        }
        let laterObjects = objects.size - 1;
        for (const known of objects.keys()) {
            if (known === key) {
                return laterObjects;
            }
            laterObjects--;
        }
        return undefined;
    };
    return {
        isCached: key => {
            const distance = reuseDistanceOf(key);
            return distance !== undefined && distance < capacity.current();
        },
        capacity: capacity.current,
        isFull: () => objects.size >= capacity.current(),
        recordAccess: key => {
            const distance = reuseDistanceOf(key);
            objects.delete(key);
            objects.set(key, true);
            if (objects.size > maxCapacity) {
                objects.delete(objects.keys().next().value!);
            }
            return distance;
        },
        adjustCapacity: capacity.record,
    };
}
