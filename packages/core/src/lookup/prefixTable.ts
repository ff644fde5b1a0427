/**
 * Longest-prefix match over IPv4 blocks. Nested blocks are flattened into disjoint ranges in sorted typed arrays (6 bytes
 * per range) and found by binary search. Tables are immutable: each document gets a new one, so a look-up never sees a
 * partial change.
 */
import type { Prefix } from "./prefix.js";

export interface PrefixTable {
    /** Returns the value of the longest block that contains `address`, or -1. */
    find(address: number): number;
    /** Number of ranges in the table. */
    readonly rangeCount: number;
    /** Size of the typed arrays in bytes. */
    readonly byteLength: number;
}

export interface PrefixEntry {
    readonly prefix: Prefix;
    /** Value that `find` returns for the block, 0 to 65,534. */
    readonly value: number;
}

const noValue = 0xffff;

/** Builds a table from `entries` in any order. */
export function createPrefixTable(entries: readonly PrefixEntry[]): PrefixTable {
    const sorted = [...entries].sort((a, b) => a.prefix.start - b.prefix.start || a.prefix.length - b.prefix.length);
    const starts = new Uint32Array(2 * sorted.length + 1);
    const values = new Uint16Array(2 * sorted.length + 1);
    let rangeCount = 0;
    const appendRange = (start: number, value: number): void => {
        if (rangeCount > 0 && starts[rangeCount - 1] === start) {
            rangeCount--;
        }
        if (rangeCount > 0 && values[rangeCount - 1] === value) {
            return;
        }
        starts[rangeCount] = start;
        values[rangeCount] = value;
        rangeCount++;
    };
    const enclosing: PrefixEntry[] = [];
    const closeBefore = (address: number): void => {
        while (enclosing.length > 0 && enclosing[enclosing.length - 1]!.prefix.end < address) {
            const closed = enclosing.pop()!;
            const outer = enclosing[enclosing.length - 1];
            const next = closed.prefix.end + 1;
            if (next < 2 ** 32) {
                appendRange(next, outer === undefined ? noValue : outer.value);
            }
        }
    };
    appendRange(0, noValue);
    for (const entry of sorted) {
        closeBefore(entry.prefix.start);
        appendRange(entry.prefix.start, entry.value);
        enclosing.push(entry);
    }
    closeBefore(Infinity);
    return createTable(starts.slice(0, rangeCount), values.slice(0, rangeCount));
}

function createTable(starts: Uint32Array, values: Uint16Array): PrefixTable {
    const find = (address: number): number => {
        let low = 0;
        let high = starts.length - 1;
        while (low < high) {
            const middle = (low + high + 1) >>> 1;
            if (starts[middle]! <= address) {
                low = middle;
            }
            else {
                high = middle - 1;
            }
        }
        const value = values[low]!;
        return value === noValue ? -1 : value;
    };
    return { find, rangeCount: starts.length, byteLength: starts.byteLength + values.byteLength };
}
