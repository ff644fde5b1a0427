import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { formatAddress, parseAddress, parsePrefix, type Prefix } from "../prefix.js";
import { createPrefixTable } from "../prefixTable.js";

const prefix = fc.tuple(fc.nat({ max: 0xffffffff }), fc.integer({ min: 0, max: 32 })).map(([bits, length]): Prefix => {
    const size = 2 ** (32 - length);
    const start = bits - (bits % size);
    return { start, end: start + size - 1, length };
});

test("find returns the longest block that contains the address, like a linear scan", () => {
    fc.assert(
        fc.property(
            fc.uniqueArray(prefix, { maxLength: 30, selector: entry => `${entry.start}/${entry.length}` }),
            fc.array(fc.nat({ max: 0xffffffff })),
            (prefixes, addresses) => {
                const table = createPrefixTable(prefixes.map((entry, value) => ({ prefix: entry, value })));
                const edges = prefixes.flatMap(entry => [entry.start, entry.end, Math.min(entry.end + 1, 0xffffffff)]);
                for (const address of [...addresses, ...edges]) {
                    const containing = prefixes.filter(entry => entry.start <= address && address <= entry.end);
                    const longest = containing.sort((a, b) => b.length - a.length)[0];
                    assert.equal(table.find(address), longest === undefined ? -1 : prefixes.indexOf(longest));
                }
            },
        ),
        { seed: 1, numRuns: 300 },
    );
});

test("valid addresses are parsed; malformed addresses and blocks are rejected", () => {
    assert.equal(formatAddress(parseAddress("10.1.2.3")!), "10.1.2.3");
    for (const invalid of ["10.1.2", "10.1.2.256", "a.b.c.d", "", "1.2.3.4.5", "1..2.3"]) {
        assert.equal(parseAddress(invalid), undefined, invalid);
    }
    for (const invalid of ["10.1.0.0", "10.1.0.0/33", "10.1.0.1/24", "10.1.0.0/x"]) {
        assert.equal(parsePrefix(invalid), undefined, invalid);
    }
});
