/** Removals that wait, as the records may merely have expired in an outage of the store. */
import { type TargetId, toTargetId } from "@pimentospring/core/ids";
import { createVirtualTimer, type VirtualTimer } from "@pimentospring/core/time/virtualTimer";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
    batchRemovalDelayMs,
    createDeferredRemovals,
    type DeferredRemovals,
    type DeferredRemovalsOptions,
    removalDelayMs,
} from "../deferredRemovals.js";

interface TestBench {
    readonly timer: VirtualTimer;
    readonly removals: DeferredRemovals;
    readonly retiredIds: TargetId[];
    readonly removedIds: TargetId[];
}

function createTestBench(options: Partial<DeferredRemovalsOptions> = {}): TestBench {
    const timer = createVirtualTimer();
    const retiredIds: TargetId[] = [];
    const removedIds: TargetId[] = [];
    const removals = createDeferredRemovals({
        timer,
        storeFailureAgeMs: () => undefined,
        ownFailureAgeMs: () => 0,
        targetCount: () => 32,
        isDraining: () => false,
        isDispensable: () => false,
        onDeferred: () => {},
        retire: id => retiredIds.push(id),
        remove: id => removedIds.push(id),
        ...options,
    });
    return { timer, removals, retiredIds, removedIds };
}

const createIds = (count: number): TargetId[] => Array.from({ length: count }, (_, index) => toTargetId(`t${index}`));
const [live, dead] = ["live", "dead"].map(toTargetId) as [TargetId, TargetId];

test("a target whose record expired during a store outage is removed unless the record is written again in time", () => {
    const { timer, removals, retiredIds, removedIds } = createTestBench({
        storeFailureAgeMs: () => 1_000,
        targetCount: () => 30,
    });
    [live, dead].forEach(removals.schedule);
    removals.decide();
    timer.advance(1_500);
    removals.cancel(live);
    timer.advance(removalDelayMs);
    assert.deepEqual(retiredIds, []);
    assert.deepEqual(removedIds, [dead]);
});

test("where the store served the entry throughout, targets that others can replace are out of use at once, and the rest in time", () => {
    const { timer, removals, retiredIds, removedIds } = createTestBench({
        storeFailureAgeMs: () => 0,
        ownFailureAgeMs: () => undefined,
        isDispensable: id => id === dead,
    });
    [live, dead].forEach(removals.schedule);
    removals.decide();
    assert.deepEqual(retiredIds, [dead]);
    timer.advance(batchRemovalDelayMs);
    assert.deepEqual(retiredIds, [dead, live]);
    assert.deepEqual(removedIds, []);
    removals.cancel(live);
    timer.advance(removalDelayMs);
    assert.deepEqual(removedIds, [dead]);
});

test("records that vanish together stay in use after a failure that a peer saw, whoever could replace them", () => {
    const { timer, removals, retiredIds, removedIds } = createTestBench({
        storeFailureAgeMs: () => 0,
        ownFailureAgeMs: () => undefined,
        isDispensable: () => true,
    });
    const ids = createIds(32);
    ids.forEach(removals.schedule);
    removals.decide();
    timer.advance(removalDelayMs - 1);
    assert.deepEqual([...retiredIds, ...removedIds], []);
    ids.forEach(removals.cancel);
    timer.advance(removalDelayMs);
    assert.deepEqual(removedIds, []);
});

test("a target that leaves while the store is available is removed immediately", () => {
    const { removals, removedIds } = createTestBench({ targetCount: () => 30 });
    removals.schedule(dead);
    removals.decide();
    assert.deepEqual(removedIds, [dead]);
});

test("targets that leave are removed at once, however many of a large deployment are in one batch of changes", () => {
    for (const targetCount of [32, 600]) {
        const { removals, removedIds } = createTestBench({ targetCount: () => targetCount });
        const leaving = createIds(targetCount / 4);
        leaving.forEach(removals.schedule);
        removals.decide();
        assert.deepEqual(removedIds, leaving);
    }
});

test("records that vanish together, as by an outage of the store that went unnoticed, are not removed at once", () => {
    const { timer, removals, removedIds } = createTestBench();
    const ids = createIds(32);
    ids.forEach(removals.schedule);
    removals.decide();
    assert.equal(removedIds.length, 0);
    timer.advance(batchRemovalDelayMs);
    assert.equal(removedIds.length, ids.length);
});

// Guards against DRAIN: targets that had said that they leave made a release look like an outage.
test("removals of targets that drain do not make a batch of removals an expiry", () => {
    const { removals, removedIds } = createTestBench({ isDraining: id => id !== "t0" });
    const ids = createIds(12);
    ids.forEach(removals.schedule);
    removals.decide();
    assert.deepEqual(removedIds, ids);
});
