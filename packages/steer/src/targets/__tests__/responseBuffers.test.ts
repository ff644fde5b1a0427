/** Which responses are aborted when those in memory exceed their limit. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { createResponseBuffers, type ResponseBuffer } from "../responseBuffers.js";

function createBuffer(name: string, bytes: number, sentBytes: number, aborted: string[]): ResponseBuffer {
    return { bytes: () => bytes, unsentBytes: () => bytes - sentBytes, abort: () => void aborted.push(name) };
}

test("unread responses are aborted before those that are received, and first the one with most bytes to send", () => {
    const aborted: string[] = [];
    const buffers = createResponseBuffers(100);
    buffers.addReceived(createBuffer("received", 30, 0, aborted));
    buffers.addUnread(createBuffer("almost sent", 40, 35, aborted));
    buffers.addUnread(createBuffer("just begun", 20, 0, aborted));
    assert.deepEqual(aborted, []);
    buffers.recordBytes(11);
    assert.deepEqual(aborted, ["just begun"]);
    buffers.recordBytes(20);
    assert.deepEqual(aborted, ["just begun", "almost sent"]);
    assert.equal(buffers.unreadBytes(), 0);
    assert.equal(buffers.abortedCount(), 2);
});

test("an unread response counts until it is removed", () => {
    const aborted: string[] = [];
    const buffers = createResponseBuffers(100);
    const read = createBuffer("read", 90, 0, aborted);
    buffers.addUnread(read);
    buffers.remove(read);
    buffers.remove(read);
    buffers.addUnread(createBuffer("next", 90, 0, aborted));
    assert.equal(buffers.unreadBytes(), 90);
    assert.deepEqual(aborted, []);
});
