/**
 * Recent uses of a service's objects. Callers choose object ids, so the number of objects that are remembered is bounded, and
 * objects that are used once are forgotten before those that are used again.
 */
import type { Timer } from "../time/timer.js";

export interface ObjectUsage {
    record(key: number): void;
    /** Number of recent requests for the object. */
    recentUses(key: number): number;
    /**
     * Number of objects in recent use. Those used once count for no more than those used again, so that a caller that asks for
     * new objects can at most double it after the first period.
     */
    activeCount(): number;
}

const periodMs = 10_000;
export const maxRememberedObjects = 4_096;
/** Entries that are looked at to find one that was used once. */
const maxEvictionSteps = 8;

interface Period {
    /** Uses by object, in order of insertion. */
    readonly uses: Map<number, number>;
    /** Objects used more than once. */
    repeatedCount: number;
}

const createPeriod = (): Period => ({ uses: new Map(), repeatedCount: 0 });

function setUses(period: Period, key: number, before: number, after: number): void {
    period.uses.set(key, after);
    period.repeatedCount += (after > 1 ? 1 : 0) - (before > 1 ? 1 : 0);
}

const countActive = ({ uses, repeatedCount }: Period): number => Math.min(uses.size, 2 * repeatedCount);

export function createObjectUsage(timer: Timer): ObjectUsage {
    let current = createPeriod();
    let previous = createPeriod();
    let startedAt = timer.now();
    const rotate = (): void => {
        if (timer.now() - startedAt > periodMs) {
            previous = current;
            current = createPeriod();
            startedAt = timer.now();
        }
    };
    /**
     * Makes room for another object. Of the oldest ones, the first that was used just once is forgotten: objects that are never
     * used again displace each other, not those in use. False if all of these were used again.
     */
    const makeRoom = ({ uses }: Period): boolean => {
        for (let step = 0; step < maxEvictionSteps; step++) {
            const [key, count] = uses.entries().next().value!;
            uses.delete(key);
            if (count === 1) {
                return true;
            }
            uses.set(key, count);
        }
        return false;
    };
    return {
        record: key => {
            rotate();
            const count = current.uses.get(key) ?? 0;
            if (count > 0 || current.uses.size < maxRememberedObjects || makeRoom(current)) {
                setUses(current, key, count, count + 1);
            }
        },
        recentUses: key => {
            rotate();
            return (current.uses.get(key) ?? 0) + (previous.uses.get(key) ?? 0);
        },
        activeCount: () => {
            rotate();
            // At first, nothing has been used again yet, and too low a number makes entries copy objects.
            return previous.uses.size === 0 ? current.uses.size : Math.max(countActive(current), countActive(previous));
        },
    };
}
