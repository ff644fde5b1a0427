/** Ejection of slow targets never leaves an entry with several targets without a usable one. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { Service, Target } from "../../document/schema.js";
import { toTargetId } from "../../ids.js";
import { pickLeastInFlight } from "../../policy/pick.js";
import { createRandom } from "../../random/random.js";
import { createVirtualTimer, type VirtualTimer } from "../../time/virtualTimer.js";
import { createTargetPool, type TargetPool, type TargetPoolOptions } from "../targetPool.js";

const service: Service = { id: "tokens", classes: [], regions: [], shortShare: 0, warmUpMs: 0 };
const target = (id: string): Target => ({
    id,
    service: "tokens",
    dataCentre: "dbn-a",
    address: "127.0.0.1:7001",
    slots: 4,
    state: "serving",
});

function createPool(timer: VirtualTimer, options: Partial<TargetPoolOptions>): TargetPool {
    return createTargetPool({
        timer,
        random: createRandom(1),
        pick: pickLeastInFlight,
        isEjectionEnabled: true,
        allowance: (_id, slots) => slots,
        ownsTarget: () => true,
        peerTargetSummary: () => ({ mediansMs: [], owned: 0, ejected: 0 }),
        sendProbe: () => {},
        onStateChange: () => {},
        ...options,
    });
}

/** States of the local targets after each answered slowly while the targets of peers were fast. */
function statesAfterSlowness(ids: readonly string[]): string[] {
    const timer = createVirtualTimer();
    const pool = createPool(timer, { peerTargetSummary: () => ({ mediansMs: [10, 10, 10], owned: 10, ejected: 0 }) });
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

interface NoticedPool {
    readonly timer: VirtualTimer;
    readonly pool: TargetPool;
    readonly probed: string[];
}

function createNoticedPool(): NoticedPool {
    const timer = createVirtualTimer();
    const probed: string[] = [];
    const pool = createPool(timer, { sendProbe: id => probed.push(id) });
    pool.configure(service, [target("a")], true);
    return { timer, pool, probed };
}

const acquireAny = (pool: TargetPool): boolean =>
    pool.acquire("short", { excludedTargets: [], mayProbe: true, isLastResort: true }) !== undefined;
const only = toTargetId("a");

test("a target that asks for a pause gets nothing until its end, and is tried again after a minute at the latest", () => {
    const { timer, pool } = createNoticedPool();
    pool.recordNotice(only, { isLeaving: false, pauseMs: 700 });
    assert.deepEqual([acquireAny(pool), pool.freeSlots("short"), pool.capacity()], [false, 0, 0]);
    timer.advance(701);
    assert.equal(acquireAny(pool), true);
    pool.recordNotice(only, { isLeaving: false, pauseMs: 1e12 });
    timer.advance(60_001);
    assert.equal(acquireAny(pool), true);
});

test("a target that leaves gets nothing until its process has ended, the document orders it anew, or ten minutes are over", () => {
    const leaving = { isLeaving: true, pauseMs: undefined };
    const ended = createNoticedPool();
    ended.pool.recordNotice(only, leaving);
    ended.pool.configure(service, [target("a")], false);
    ended.pool.recordProbeResult(only, true);
    assert.equal(acquireAny(ended.pool), false);
    ended.timer.advance(1_001);
    ended.pool.tick();
    assert.deepEqual(ended.probed, ["a"]);
    ended.pool.recordProbeResult(only, false);
    assert.equal(acquireAny(ended.pool), false);
    ended.pool.recordProbeResult(only, true);
    assert.equal(acquireAny(ended.pool), true);

    const ordered = createNoticedPool();
    ordered.pool.recordNotice(only, leaving);
    ordered.pool.configure(service, [{ ...target("a"), state: "draining" }], false);
    ordered.pool.configure(service, [target("a")], false);
    assert.equal(acquireAny(ordered.pool), true);

    const forgotten = createNoticedPool();
    forgotten.pool.recordNotice(only, leaving);
    forgotten.timer.advance(599_000);
    assert.equal(acquireAny(forgotten.pool), false);
    forgotten.timer.advance(2_000);
    assert.equal(acquireAny(forgotten.pool), true);
});
