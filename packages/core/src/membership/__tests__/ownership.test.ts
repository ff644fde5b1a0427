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

function create(seats: number | undefined) {
    const timer = createVirtualTimer();
    const place = { seats, unmet: 0 };
    const ownership = createOwnership({
        timer,
        self,
        maxEntries: () => place.seats,
        maxRunMs: () => longestRunMs,
        isLeaving: () => false,
        undiscoveredCount: () => place.unmet,
    });
    const configure = (): void => ownership.configure([{ service: toServiceId("s"), targets }]);
    const peer = (change: Partial<Peer>): Peer => ({
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
        ...change,
    });
    const allowances = (): number[] => targets.map(target => ownership.allowance(target, slots));
    /** Tells of the other entry twice: its digest is ours only once we count it in. */
    const meet = (foreign: readonly ForeignLoad[] = []): void => {
        ownership.update([peer({})]);
        ownership.update([peer({ foreignLoads: foreign })]);
    };
    return { timer, place, ownership, configure, peer, allowances, meet };
}

test("two that agree own one target each; a silent other leaves the share of the seats and nothing of its target", () => {
    const { timer, ownership, configure, allowances, meet } = create(2);
    configure();
    ownership.recordDiscovery();
    meet();
    const agreed = allowances();
    assert.deepEqual([...agreed].sort(), [0, slots]);
    timer.advance(leaseDurationMs + 1);
    assert.deepEqual(allowances(), agreed.map(allowance => allowance === slots ? slots / 2 : 0));
});

test("the other's target is shared only after its lease and what ran under it have ended", () => {
    const { timer, ownership, configure, peer, allowances, meet } = create(2);
    configure();
    ownership.recordDiscovery();
    meet();
    timer.advance(leaseDurationMs + 1);
    ownership.update([peer({ state: "suspect", leaseExpiresAt: 0, lastAckSentAt: 0 })]);
    timer.advance(leaseDurationMs + leaseMarginMs + longestRunMs - 1);
    assert.ok(allowances().includes(0));
    timer.advance(2);
    assert.deepEqual(allowances(), [slots / 2, slots / 2]);
});

test("what the former owner still has in flight is subtracted, also after proof that it is gone", () => {
    const { timer, ownership, configure, peer, allowances, meet } = create(2);
    configure();
    ownership.recordDiscovery();
    meet(targets.map(target => ({ target, inFlight: 3 })));
    assert.deepEqual([...allowances()].sort(), [0, 1]);
    ownership.update([peer({ state: "gone" })]);
    assert.ok(allowances().includes(0), "inherited at once");
    timer.advance(1_001);
    assert.deepEqual(allowances(), [slots, slots]);
});

test("a fresh entry that has met nobody takes nothing until the list can't lag any more", () => {
    const { timer, place, ownership, configure, allowances } = create(undefined);
    ownership.recordDiscovery();
    timer.advance(1_000);
    ownership.update([]);
    place.seats = 2;
    configure();
    assert.deepEqual(allowances(), [0, 0]);
    timer.advance(maxListLagMs);
    ownership.update([]);
    assert.deepEqual(allowances(), [slots, slots]);
});

test("a listed entry that nobody has met takes the certainty away", () => {
    const { timer, place, ownership, configure, allowances } = create(2);
    configure();
    ownership.recordDiscovery();
    timer.advance(maxListLagMs);
    ownership.update([]);
    place.unmet = 1;
    ownership.update([]);
    assert.deepEqual(allowances(), [slots, slots]);
    timer.advance(leaseDurationMs);
    assert.deepEqual(allowances(), [slots / 2, slots / 2]);
});
