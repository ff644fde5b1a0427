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

/** Number of objects assumed before anything is known. Objects beyond it still go to their home targets, so a low value is corrected. */
const initialCapacity = 16;
export const maxCapacity = 160;
/** Distances are counted in groups of this size. */
const groupSize = 4;
/** Weight of the initial capacity against observations, as a number of requests in each group. */
const initialVotes = 0.5;
/** Fraction of the earlier votes that remains when a request is recorded. */
const retainedFraction = 0.995;

export function createCacheCapacity(): CacheCapacity {
    /** Fast requests less slow ones in each group; recent requests count more. */
    const votes: number[] = Array.from(
        { length: maxCapacity / groupSize },
        (_, group) => group * groupSize < initialCapacity ? initialVotes : -initialVotes,
    );
    let capacity = initialCapacity;
    /**
     * The capacity that most requests confirm: fast below it, slow above it. Single slow requests, of which a busy target
     * has many at any distance, don't move it.
     */
    const computeCapacity = (): number => {
        let sum = 0;
        let highestSum = -Infinity;
        let confirmedGroups = 1;
        votes.forEach((vote, group) => {
            sum += vote;
            if (sum > highestSum) {
                highestSum = sum;
                confirmedGroups = group + 1;
            }
        });
        return confirmedGroups * groupSize;
    };
    return {
        current: () => capacity,
        record: (reuseDistance, wasQuick) => {
            const group = Math.min(votes.length - 1, Math.floor(reuseDistance / groupSize));
            for (let other = 0; other < votes.length; other++) {
                votes[other]! *= retainedFraction;
            }
            votes[group]! += wasQuick ? 1 : -1;
            capacity = computeCapacity();
        },
    };
}
