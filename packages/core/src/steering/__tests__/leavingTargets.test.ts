/** What unknown senders say of leaving targets must not grow without bound, nor evict what members said. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { toTargetIncarnationId } from "../../ids.js";
import { createVirtualTimer } from "../../time/virtualTimer.js";
import { createLeavingTargets } from "../leavingTargets.js";

const incarnation = (number: number) => toTargetIncarnationId(`target-${number}@1`);

test("the leaving targets that are remembered are bounded, and unknown senders evict none that a member named", () => {
    const leaving = createLeavingTargets(createVirtualTimer());
    leaving.add(incarnation(1));
    for (let number = 2; number < 30_000; number++) {
        leaving.addUnconfirmed(incarnation(number));
    }
    assert.ok(leaving.has(incarnation(1)));
    assert.equal(leaving.has(incarnation(2)), false);
    assert.ok(leaving.has(incarnation(29_999)));
    for (let number = 30_000; number < 50_000; number++) {
        leaving.add(incarnation(number));
    }
    assert.equal(leaving.has(incarnation(1)), false);
    assert.ok(leaving.has(incarnation(49_999)));
});

test("a leaving target is news once, whoever names it first, and stays known when a member confirms it", () => {
    const leaving = createLeavingTargets(createVirtualTimer());
    assert.ok(leaving.addUnconfirmed(incarnation(1)));
    assert.equal(leaving.add(incarnation(1)), false);
    assert.equal(leaving.addUnconfirmed(incarnation(1)), false);
    assert.deepEqual(leaving.recent(), [incarnation(1)]);
});
