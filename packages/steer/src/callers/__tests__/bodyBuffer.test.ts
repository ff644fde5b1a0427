/** Bodies that are collected in one place or in blocks, and the memory that they count. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { type BodyBuffer, createBodyBuffer } from "../bodyBuffer.js";
import { createMemoryQuota, type MemoryQuota } from "../memoryQuota.js";

const chunk = Buffer.alloc(60_000, "x");

function create(expectedBytes: number, allocations: MemoryQuota, held = createMemoryQuota(1e9)): BodyBuffer {
    return createBodyBuffer({ expectedBytes, allocations, reserve: held.tryTake, release: held.giveBack });
}

test("a body of a declared length is held once, and gives its allocation back", () => {
    const allocations = createMemoryQuota(200_000);
    const body = create(120_000, allocations);
    assert.equal(allocations.usedBytes(), 0);
    body.add(chunk);
    assert.equal(allocations.usedBytes(), 120_000);
    body.add(chunk);
    const whole = body.take();
    assert.equal(whole.buffer.byteLength, 120_000);
    assert.ok(whole.equals(Buffer.alloc(120_000, "x")));
    body.clear();
    assert.equal(allocations.usedBytes(), 0);
});

test("bodies that are declared larger than there is room for, or not at all, are collected as they arrive", () => {
    const allocations = createMemoryQuota(100_000);
    for (const declaredBytes of [0, 120_000, 1e15]) {
        const body = create(declaredBytes, allocations);
        body.add(chunk);
        body.add(chunk);
        assert.equal(allocations.usedBytes(), 0);
        assert.ok(body.take().equals(Buffer.alloc(120_000, "x")));
    }
});

test("a body that ends early has the length that arrived", () => {
    const body = create(120_000, createMemoryQuota(200_000));
    body.add(chunk);
    assert.ok(body.take().equals(chunk));
});

// Guards against FAULT: each chunk was kept as a buffer of its own, and counted by its bytes.
test("a body of small chunks is held in few blocks, which count whole", () => {
    const held = createMemoryQuota(1e9);
    const body = create(0, createMemoryQuota(0), held);
    const sent = Buffer.from(Array.from({ length: 150_000 }, (_, index) => index % 251));
    sent.forEach((_, index) => body.add(sent.subarray(index, index + 1)));
    assert.ok(held.usedBytes() >= sent.length && held.usedBytes() < sent.length + 64 * 1_024, `${held.usedBytes()}`);
    assert.ok(body.take().equals(sent));
    body.clear();
    assert.equal(held.usedBytes(), 0);
});

test("a chunk of one byte counts the block that it takes", () => {
    const held = createMemoryQuota(4_095);
    assert.equal(create(0, createMemoryQuota(0), held).add(Buffer.from("x")), false);
    assert.equal(held.usedBytes(), 0);
});
