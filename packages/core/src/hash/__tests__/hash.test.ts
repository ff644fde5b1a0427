/** Hashes of long byte arrays and of several parts. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { hashBytes, hashParts } from "../hash.js";

test("the hash of bytes does not depend on how they are split", () => {
    for (const size of [0, 10, 65_536, 65_537, 300_001]) {
        const bytes = Buffer.alloc(size, "some bytes");
        const hash = hashBytes(bytes);
        assert.equal(hashParts([bytes.subarray(0, 7), bytes.subarray(7)]), hash);
        assert.equal(hashParts([bytes.subarray(0, size / 2), Buffer.alloc(0), bytes.subarray(size / 2)]), hash);
    }
    // Entries of other versions tell each other of requests by these hashes.
    assert.equal(hashBytes(Buffer.alloc(100_000, "a")), "57ba7e3afdfe4e2f");
});

// Guards against FAULT: the hasher grew to the size of the largest body and stayed so.
test("hashing a long byte array does not keep its memory", () => {
    const bytes = Buffer.alloc(40_000_000, "x");
    const before = process.memoryUsage().rss;
    hashBytes(bytes);
    assert.ok(process.memoryUsage().rss - before < 10_000_000);
});
