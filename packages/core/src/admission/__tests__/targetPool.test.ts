/** Ejection of slow targets never leaves an entry with several targets without a usable one. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { Service, Target } from "../../document/schema.js";
import { toTargetId } from "../../ids.js";
import { pickLeastInFlight } from "../../policy/pick.js";
import { createRandom } from "../../random/random.js";
import { createVirtualTimer } from "../../time/virtualTimer.js";
import { createTargetPool } from "../targetPool.js";

const service: Service = { id: "tokens", classes: [], regions: [], shortShare: 0, warmUpMs: 0 };
const target = (id: string): Target => ({
    id,
    service: "tokens",
    dataCentre: "dbn-a",
    address: "127.0.0.1:7001",
    slots: 4,
    state: "serving",
});

/** States of the local targets after each answered slowly while the targets of peers were fast. */
function statesAfterSlowness(ids: readonly string[]): string[] {
    const timer = createVirtualTimer();
    const pool = createTargetPool({
        timer,
        random: createRandom(1),
        pick: pickLeastInFlight,
        isEjectionEnabled: true,
        allowance: (_id, slots) => slots,
        ownsTarget: () => true,
        peerTargetSummary: () => ({ mediansMs: [10, 10, 10], owned: 10, ejected: 0 }),
        sendProbe: () => {},
        onStateChange: () => {},
    });
    pool.configure(service, ids.map(target), true);
    for (let round = 0; round < 40; round++) {
        const acquiredSlots = ids.map(() => pool.acquire("short", { excludedTargets: [], mayProbe: false, isLastResort: false }));
        acquiredSlots.forEach(slot => {
            if (slot !== undefined) {
                pool.release(toTargetId(slot.target), "short", { kind: "answered", latencyMs: 400 });
            }
        });
        timer.advance(10);
    }
    return pool.status().map(status => status.state);
}

test("of several local targets that are all slow, one stays in use", () => {
    assert.equal(statesAfterSlowness(["a", "b"]).filter(state => state !== "ejected").length, 1);
    assert.equal(statesAfterSlowness(["a", "b", "c", "d"]).filter(state => state !== "ejected").length, 1);
});

test("a slow single target may be ejected, because other entries have more targets", () => {
    assert.deepEqual(statesAfterSlowness(["a"]), ["ejected"]);
});
