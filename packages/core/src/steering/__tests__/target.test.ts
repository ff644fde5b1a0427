/** An entry's estimate of free slots at a target that other entries use too. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { createVirtualTimer } from "../../time/virtualTimer.js";
import { createTarget, freeSlots, recordLoadReport, type Target } from "../target.js";
import { record } from "./fixture.js";

const busy = { running: 4, waiting: 0, slots: 4, slowness: 1 };

/** A target whose four slots are all reported as in use, `own` of them by this entry. */
function targetWithReport(own: number): Target {
    const target = createTarget(record("one", { slots: 4 }), createVirtualTimer());
    target.inFlight = own;
    for (let index = 0; index < 20; index++) {
        recordLoadReport(target, busy, 0);
    }
    target.inFlight = 0;
    return target;
}

test("slots that other entries fill with long-running requests count as taken for about as long as the requests run", () => {
    const target = targetWithReport(0);
    assert.ok(freeSlots(target, 700, 1_200) < 1, `${freeSlots(target, 700, 1_200)} slots estimated as free`);
    assert.ok(freeSlots(target, 10_000, 1_200) > 3, "an entry without new reports has to try again");
});

test("the estimate of taken slots decays in proportion to the mean work time", () => {
    const target = targetWithReport(0);
    for (const stays of [0.1, 0.5, 1, 2]) {
        assert.equal(freeSlots(target, stays * 300, 300), freeSlots(target, stays * 1_500, 1_500));
    }
});

test("the request whose response carries a report is not counted as another entry's", () => {
    assert.equal(freeSlots(targetWithReport(4), 0, 300), 4);
});
