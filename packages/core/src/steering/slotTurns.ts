/**
 * Rounds shares of slots to whole ones. Many entries share few slots of another data centre, so that each share is below
 * one; rounded down, the slots would stay free while requests wait. Each entry is granted the fraction of its share in some
 * turns and not in others, so that the shares add up over the entries and over time.
 */
import { hashText, mixHashes } from "../hash/hash.js";
import type { Timer } from "../time/timer.js";

/** About the time that a request keeps a slot. */
const turnMs = 500;
const hashRange = 2 ** 32;

/** Returns a function that rounds a share of the slots named by `key`; entries take different turns. */
export function createSlotTurns(timer: Timer, entry: string): (key: string, share: number) => number {
    return (key, share) => {
        const turn = Math.floor(timer.now() / turnMs);
        const threshold = mixHashes(hashText(`${entry} ${key}`), turn) / hashRange;
        return Math.floor(share + threshold);
    };
}
