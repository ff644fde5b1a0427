/** What an entry believes of a target that others use too. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { createVirtualTimer } from "../../time/virtualTimer.js";
import { createTarget, freeSlots, recordLoadReport, type Target } from "../target.js";
import { record } from "./fixture.js";

const busy = { running: 4, waiting: 0, slots: 4, slowness: 1 };

/** A target of four slots that reported them all in use, `own` of them by this entry. */
function reported(own: number): Target {
    const target = createTarget(record("one", { slots: 4 }), createVirtualTimer());
    target.inFlight = own;
    for (let index = 0; index < 20; index++) {
        recordLoadReport(target, busy, 0);
    }
    target.inFlight = 0;
    return target;
}

test("slots that others fill with long work stay theirs for as long as the work takes", () => {
    const target = reported(0);
    assert.ok(freeSlots(target, 700, 1_200) < 1, `${freeSlots(target, 700, 1_200)} slots taken to be free`);
    assert.ok(freeSlots(target, 10_000, 1_200) > 3, "an entry that hears nothing has to try again");
});

test("slots are taken to come free after the same part of the work, however long it is", () => {
    const target = reported(0);
    for (const stays of [0.1, 0.5, 1, 2]) {
        assert.equal(freeSlots(target, stays * 300, 300), freeSlots(target, stays * 1_500, 1_500));
    }
});

test("the request that a report comes with is not taken for another entry's", () => {
    assert.equal(freeSlots(reported(4), 0, 300), 4);
});
