/**
 * Estimates how many objects the targets of a service keep cached, from whether work on an object was fast after a given
 * number of other objects. Shared by the service's targets: one entry sees too few requests of each of hundreds of them.
 */

export interface CacheCapacity {
    /** Estimated number of objects that a target keeps. */
    current(): number;
    /** Records whether a request was fast that came after `reuseDistance` other objects at its target. */
    record(reuseDistance: number, wasQuick: boolean): void;
}

/** Number of objects assumed before anything is known. */
const initialCapacity = 48;
export const maxCapacity = 160;
/** Distances are counted in groups of this size. */
const groupSize = 4;
/** Weight of the latest request in the fraction of fast ones. */
const smoothingFactor = 0.2;
/** Fraction of fast requests from which on a distance counts as within the capacity. */
const minQuickFraction = 0.5;

export function createCacheCapacity(): CacheCapacity {
    const quickFractions: number[] = Array.from(
        { length: maxCapacity / groupSize },
        (_, group) => group * groupSize < initialCapacity ? 1 : 0,
    );
    let capacity = initialCapacity;
    const computeCapacity = (): number => {
        const firstSlow = quickFractions.findIndex(fraction => fraction < minQuickFraction);
        return Math.max(groupSize, firstSlow === -1 ? maxCapacity : firstSlow * groupSize);
    };
    return {
        current: () => capacity,
        record: (reuseDistance, wasQuick) => {
            const group = Math.min(quickFractions.length - 1, Math.floor(reuseDistance / groupSize));
            quickFractions[group]! += smoothingFactor * ((wasQuick ? 1 : 0) - quickFractions[group]!);
            // What holds after so many objects holds after fewer, or after more, too: groups without requests follow.
            for (let other = 0; other < quickFractions.length; other++) {
                const isImplied = wasQuick ? other < group : other > group;
                if (isImplied) {
                    const bound = quickFractions[group]!;
                    quickFractions[other] = wasQuick
                        ? Math.max(quickFractions[other]!, bound)
                        : Math.min(quickFractions[other]!, bound);
                }
            }
            capacity = computeCapacity();
        },
    };
}
