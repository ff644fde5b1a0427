/** Guards against a caller whose endless new objects exhaust memory, or make an entry forget what others use again. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { createVirtualTimer } from "../../time/virtualTimer.js";
import { createObjectUsage, maxRememberedObjects } from "../objectUsage.js";

test("a caller that asks for new objects neither grows the table nor evicts objects that others ask for again", () => {
    const timer = createVirtualTimer();
    const usage = createObjectUsage(timer);
    const usualObjects = Array.from({ length: 250 }, (_, index) => index);
    let nextObject = 1_000;
    for (let round = 0; round < 200; round++) {
        usualObjects.forEach(usage.record);
        for (let count = 0; count < 500; count++) {
            usage.record(nextObject++);
        }
    }
    assert.ok(usualObjects.every(key => usage.recentUses(key) > 1));
    timer.advance(11_000);
    assert.ok(usage.activeCount() >= usualObjects.length && usage.activeCount() <= 2 * usualObjects.length);
    const remembered = Array.from({ length: nextObject }, (_, key) => usage.recentUses(key)).filter(uses => uses > 0);
    assert.equal(remembered.length, maxRememberedObjects);
});

test("uses are forgotten after two periods", () => {
    const timer = createVirtualTimer();
    const usage = createObjectUsage(timer);
    usage.record(1);
    timer.advance(11_000);
    assert.equal(usage.recentUses(1), 1);
    timer.advance(11_000);
    assert.equal(usage.recentUses(1), 0);
});
