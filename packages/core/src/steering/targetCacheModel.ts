/**
 * What a target is likely to remember of the objects it handled. It keeps the objects used last; how many, and what
 * other entries make it remember instead, is learned from whether its work was quick.
 */

export interface TargetCacheModel {
    /** Whether the target likely remembers the object. */
    isCached(key: string): boolean;
    /** Objects that it is taken to remember. */
    capacity(): number;
    /** Whether one more object would push another one out. */
    isFull(): boolean;
    /** The target begins to work on the object, and knows it from now on. Returns how many others came since it last did. */
    recordAccess(key: string): number | undefined;
    /** Work on an object with that many others in between was quick, or not. */
    adjustCapacity(others: number, wasQuick: boolean): void;
}

const initialCapacity = 48;
const minCapacity = 6;
/** Most objects that are followed for a target. */
const maxTrackedObjects = 160;
/** A failed guess moves the size by more than a right one, since a slow run costs more than a missed chance. */
const shrinkStep = 2;
const growStep = 1;

export function createTargetCacheModel(): TargetCacheModel {
    /** The longest unused object first. */
    const objects = new Map<string, true>();
    let size = initialCapacity;
    /** Number of objects used since this one, or `undefined` if it was never seen. */
    const ageOf = (key: string): number | undefined => {
        if (!objects.has(key)) {
            return undefined;
        }
        let later = objects.size - 1;
        for (const known of objects.keys()) {
            if (known === key) {
                return later;
            }
            later--;
        }
        return undefined;
    };
    return {
        isCached: key => {
            const age = ageOf(key);
            return age !== undefined && age < size;
        },
        capacity: () => size,
        isFull: () => objects.size >= size,
        recordAccess: key => {
            const age = ageOf(key);
            objects.delete(key);
            objects.set(key, true);
            if (objects.size > maxTrackedObjects) {
                objects.delete(objects.keys().next().value!);
            }
            return age;
        },
        adjustCapacity: (others, wasQuick) => {
            if (!wasQuick && others < size) {
                size = Math.max(minCapacity, size - shrinkStep);
            }
            else if (wasQuick && others >= size - 1) {
                size = Math.min(maxTrackedObjects, size + growStep);
            }
        },
    };
}
