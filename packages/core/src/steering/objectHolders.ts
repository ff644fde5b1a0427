/**
 * Index of the targets to which each object was sent, so that finding those that may have it cached costs their number
 * and not the number of all targets.
 */
import type { Target } from "./target.js";

export interface ObjectHolders {
    add(object: number, target: Target): void;
    remove(object: number, target: Target): void;
    holdersOf(object: number): Iterable<Target>;
}

const noTargets: readonly Target[] = [];

export function createObjectHolders(): ObjectHolders {
    const holders = new Map<number, Set<Target>>();
    return {
        add: (object, target) => {
            const known = holders.get(object);
            if (known === undefined) {
                holders.set(object, new Set([target]));
            }
            else {
                known.add(target);
            }
        },
        remove: (object, target) => {
            const known = holders.get(object);
            known?.delete(target);
            if (known?.size === 0) {
                holders.delete(object);
            }
        },
        holdersOf: object => holders.get(object) ?? noTargets,
    };
}
