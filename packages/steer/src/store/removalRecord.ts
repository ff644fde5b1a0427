/**
 * What was removed lately, so that a store that comes back from an older copy does not bring it back. Bounded by time, which
 * is longer than such a copy is old, and by count.
 */
import type { Timer } from "@pimentospring/core/time/timer";

export interface RemovalRecord {
    /** Records a removal. What restarts under the same name has a higher generation. */
    add(name: string, generation?: number): void;
    /** Whether this generation of the name, or a later one, was removed. */
    has(name: string, generation?: number): boolean;
    /** Forgets a removal, because the store has written the item since. */
    delete(name: string): void;
}

interface Removal {
    readonly at: number;
    readonly generation: number;
}

const retentionMs = 120_000;
const maxNames = 10_000;

export function createRemovalRecord(timer: Timer): RemovalRecord {
    /** Oldest first. */
    const removals = new Map<string, Removal>();
    const isExpired = ({ at }: Removal): boolean => timer.now() - at >= retentionMs;
    const makeRoom = (): void => {
        for (const [name, removal] of removals) {
            if (!isExpired(removal) && removals.size < maxNames) {
                return;
            }
            removals.delete(name);
        }
    };
    return {
        add: (name, generation = 0) => {
            removals.delete(name);
            makeRoom();
            removals.set(name, { at: timer.now(), generation });
        },
        has: (name, generation = 0) => {
            const removal = removals.get(name);
            return removal !== undefined && !isExpired(removal) && generation <= removal.generation;
        },
        delete: name => void removals.delete(name),
    };
}
