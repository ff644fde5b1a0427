/**
 * Longest-prefix match over IPv4 blocks. Nested blocks are flattened into ranges that don't overlap, kept in sorted
 * typed arrays: 6 bytes a range, found by binary search. A table is built anew for each document and swapped whole,
 * so look-ups never see half a change.
 */
import type { Prefix } from "./prefix.js";

export interface PrefixTable {
    /** Index given with the longest block that holds `address`, or -1. */
    find(address: number): number;
    /** Ranges kept. */
    readonly rangeCount: number;
    /** Bytes of the typed arrays. */
    readonly byteLength: number;
}

export interface PrefixEntry {
    readonly prefix: Prefix;
    /** What `find` returns for the block, 0 to 65,534. */
    readonly value: number;
}

const none = 0xffff;

/** Builds a table; the order of `entries` doesn't matter. */
export function createPrefixTable(entries: readonly PrefixEntry[]): PrefixTable {
    const sorted = [...entries].sort((a, b) => a.prefix.start - b.prefix.start || a.prefix.length - b.prefix.length);
    const starts = new Uint32Array(2 * sorted.length + 1);
    const values = new Uint16Array(2 * sorted.length + 1);
    let size = 0;
    const put = (start: number, value: number): void => {
        if (size > 0 && starts[size - 1] === start) {
            size--;
        }
        if (size > 0 && values[size - 1] === value) {
            return;
        }
        starts[size] = start;
        values[size] = value;
        size++;
    };
    const open: PrefixEntry[] = [];
    const closeBefore = (address: number): void => {
        while (open.length > 0 && open[open.length - 1]!.prefix.end < address) {
            const closed = open.pop()!;
            const outer = open[open.length - 1];
            const next = closed.prefix.end + 1;
            if (next < 2 ** 32) {
                put(next, outer === undefined ? none : outer.value);
            }
        }
    };
    put(0, none);
    for (const entry of sorted) {
        closeBefore(entry.prefix.start);
        put(entry.prefix.start, entry.value);
        open.push(entry);
    }
    closeBefore(Infinity);
    return freeze(starts.slice(0, size), values.slice(0, size));
}

function freeze(starts: Uint32Array, values: Uint16Array): PrefixTable {
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
        return value === none ? -1 : value;
    };
    return { find, rangeCount: starts.length, byteLength: starts.byteLength + values.byteLength };
}
