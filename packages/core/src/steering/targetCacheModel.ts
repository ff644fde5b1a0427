/** Estimates which objects a target has cached: it keeps those used last, as many as the service's targets can keep. */
import { type CacheCapacity, maxCapacity } from "./cacheCapacity.js";

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
    /** Forgets all objects, because the target is gone. */
    clear(): void;
}

export interface TargetCacheModelOptions {
    readonly capacity: CacheCapacity;
    /** An object is remembered from now on. */
    readonly onAdded: (key: number) => void;
    /** An object is no longer remembered. */
    readonly onDropped: (key: number) => void;
}

export function createTargetCacheModel({ capacity, onAdded, onDropped }: TargetCacheModelOptions): TargetCacheModel {
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
            if (!objects.delete(key)) {
                onAdded(key);
            }
            objects.set(key, true);
            if (objects.size > maxCapacity) {
                const oldest = objects.keys().next().value!;
                objects.delete(oldest);
                onDropped(oldest);
            }
            return distance;
        },
        adjustCapacity: capacity.record,
        clear: () => {
            const dropped = [...objects.keys()];
            objects.clear();
            dropped.forEach(onDropped);
        },
    };
}
