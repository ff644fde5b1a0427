import assert from "node:assert/strict";
import { test } from "node:test";
import { leaseDurationMs, leaseMarginMs, maxListLagMs } from "../../constants.js";
import { toDataCentreId, toInstanceId, toRevision, toServiceId, toTargetId } from "../../ids.js";
import { createVirtualTimer } from "../../time/virtualTimer.js";
import type { ForeignLoad } from "../messages.js";
import { createOwnership } from "../ownership.js";
import type { Peer } from "../peers.js";

const self = toInstanceId("10.0.0.1:7000/a");
const other = toInstanceId("10.0.0.2:7000/b");
const targets = [toTargetId("t-1"), toTargetId("t-2")];
const slots = 4;
const longestRunMs = 1_000;

function create(maxEntries: number | undefined) {
    const timer = createVirtualTimer();
    const membership = { maxEntries, undiscoveredCount: 0 };
    const ownership = createOwnership({
        timer,
        self,
        maxEntries: () => membership.maxEntries,
        maxRunMs: () => longestRunMs,
        isLeaving: () => false,
        undiscoveredCount: () => membership.undiscoveredCount,
    });
    const configure = (): void => ownership.configure([{ service: toServiceId("s"), targets }]);
    const peer = (overrides: Partial<Peer>): Peer => ({
        instance: other,
        dataCentre: toDataCentreId("dc"),
        url: "",
        state: "alive",
        leaseExpiresAt: timer.now() + leaseDurationMs,
        lastAckSentAt: timer.now(),
        viewDigest: ownership.digest(),
        foreignLoads: [],
        revision: toRevision(1),
        roundTripMs: 1,
        lastReportNumber: 1,
        deliveredReportNumber: 1,
        ...overrides,
    });
    const allowances = (): number[] => targets.map(target => ownership.allowance(target, slots));
    /** Updates twice, because the digest of the other entry matches ours only after the view contains that entry. */
    const addOther = (foreign: readonly ForeignLoad[] = []): void => {
        ownership.update([peer({})]);
        ownership.update([peer({ foreignLoads: foreign })]);
    };
    return { timer, membership, ownership, configure, peer, allowances, addOther };
}

test("two entries that agree own one target each; without a lease the owner keeps its even share and gets none of the other", () => {
    const { timer, ownership, configure, allowances, addOther } = create(2);
    configure();
    ownership.recordDiscovery();
    addOther();
    const agreedAllowances = allowances();
    assert.deepEqual([...agreedAllowances].sort(), [0, slots]);
    timer.advance(leaseDurationMs + 1);
    assert.deepEqual(allowances(), agreedAllowances.map(allowance => allowance === slots ? slots / 2 : 0));
});

test("the target of a silent entry is shared only after its lease and the requests that ran under it have ended", () => {
    const { timer, ownership, configure, peer, allowances, addOther } = create(2);
    configure();
    ownership.recordDiscovery();
    addOther();
    timer.advance(leaseDurationMs + 1);
    ownership.update([peer({ state: "suspect", leaseExpiresAt: 0, lastAckSentAt: 0 })]);
    timer.advance(leaseDurationMs + leaseMarginMs + longestRunMs - 1);
    assert.ok(allowances().includes(0));
    timer.advance(2);
    assert.deepEqual(allowances(), [slots / 2, slots / 2]);
});

test("requests in flight of the former owner are subtracted, also after it is known to be gone", () => {
    const { timer, ownership, configure, peer, allowances, addOther } = create(2);
    configure();
    ownership.recordDiscovery();
    addOther(targets.map(target => ({ target, inFlight: 3 })));
    assert.deepEqual([...allowances()].sort(), [0, 1]);
    ownership.update([peer({ state: "gone" })]);
    assert.ok(allowances().includes(0), "inherited at once");
    timer.advance(1_001);
    assert.deepEqual(allowances(), [slots, slots]);
});

test("a new entry without peers uses no slots until the maximum lag of the list has passed", () => {
    const { timer, membership, ownership, configure, allowances } = create(undefined);
    ownership.recordDiscovery();
    timer.advance(1_000);
    ownership.update([]);
    membership.maxEntries = 2;
    configure();
    assert.deepEqual(allowances(), [0, 0]);
    timer.advance(maxListLagMs);
    ownership.update([]);
    assert.deepEqual(allowances(), [slots, slots]);
});

test("an undiscovered listed entry reduces the allowance to the even share once the lease duration has passed", () => {
    const { timer, membership, ownership, configure, allowances } = create(2);
    configure();
    ownership.recordDiscovery();
    timer.advance(maxListLagMs);
    ownership.update([]);
    membership.undiscoveredCount = 1;
    ownership.update([]);
    assert.deepEqual(allowances(), [slots, slots]);
    timer.advance(leaseDurationMs);
    assert.deepEqual(allowances(), [slots / 2, slots / 2]);
});
