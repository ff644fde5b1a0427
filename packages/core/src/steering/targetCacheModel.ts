/**
 * Estimates which objects a target has cached. The target keeps the objects used last; its capacity, less what other
 * entries make it cache instead, is learned from whether its responses were fast.
 */

export interface TargetCacheModel {
    /** Whether the target is likely to have the object cached. */
    isCached(key: string): boolean;
    /** Estimated number of objects that the target keeps. */
    capacity(): number;
    /** Whether caching one more object would evict another. */
    isFull(): boolean;
    /**
     * Records that the target starts work on the object, which caches it. Returns the reuse distance: the number of
     * other objects since its last use.
     */
    recordAccess(key: string): number | undefined;
    /** Adjusts the capacity to whether a request for an object with that reuse distance was fast. */
    adjustCapacity(reuseDistance: number, wasQuick: boolean): void;
}

const initialCapacity = 48;
const minCapacity = 6;
/** Maximum number of objects tracked for a target. */
const maxTrackedObjects = 160;
/**
 * A wrong prediction changes the capacity by more than a right one, since a slow run costs more than a missed cache
 * hit.
 */
const shrinkStep = 2;
const growStep = 1;

export function createTargetCacheModel(): TargetCacheModel {
    /** In order of use, least recently used first. */
    const objects = new Map<string, true>();
    let capacity = initialCapacity;
    /** Number of objects used since this one, or `undefined` if it was never seen. */
    const reuseDistanceOf = (key: string): number | undefined => {
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
            return distance !== undefined && distance < capacity;
        },
        capacity: () => capacity,
        isFull: () => objects.size >= capacity,
        recordAccess: key => {
            const distance = reuseDistanceOf(key);
            objects.delete(key);
            objects.set(key, true);
            if (objects.size > maxTrackedObjects) {
                objects.delete(objects.keys().next().value!);
            }
            return distance;
        },
        adjustCapacity: (reuseDistance, wasQuick) => {
            if (!wasQuick && reuseDistance < capacity) {
                capacity = Math.max(minCapacity, capacity - shrinkStep);
            }
            else if (wasQuick && reuseDistance >= capacity - 1) {
                capacity = Math.min(maxTrackedObjects, capacity + growStep);
            }
        },
    };
}
