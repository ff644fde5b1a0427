/** What an entry learns from the digests of others: taken slots, cached objects, and targets that were tried. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { toInstanceId } from "../../ids.js";
import { createVirtualTimer } from "../../time/virtualTimer.js";
import { createOwnAttempts, maxStartedObjects } from "../attemptDigest.js";
import { createObjectAffinity } from "../objectAffinity.js";
import { createPeerAttempts } from "../peerAttempts.js";
import { freeSlots, recordLoadReport, type Target } from "../target.js";
import { createTargetRegistry } from "../targetRegistry.js";
import { record } from "./fixture.js";

const [first, second] = [toInstanceId("first"), toInstanceId("second")];
const meanWorkMs = 1_000;
const startedAt = 5;

function createView() {
    const timer = createVirtualTimer();
    const registry = createTargetRegistry({ timer, onChanged: () => {} });
    registry.put(record("one", { slots: 4, startedAt }));
    const objectAffinity = createObjectAffinity(timer);
    const peerAttempts = createPeerAttempts({ timer, registry, objectAffinity });
    const target = (): Target => [...registry.all()][0]!;
    const hash = target().hashSeed;
    const tell = (entry: typeof first, count: number, ...objects: readonly number[]): void =>
        peerAttempts.apply(entry, {
            inFlight: count === 0 ? [] : [{ target: hash, count }],
            started: objects.map(object => ({ target: hash, object })),
        });
    const free = (): number => freeSlots(target(), timer.now(), meanWorkMs);
    return { timer, registry, objectAffinity, target, tell, free };
}

test("slots that peers tell of are not free, whoever tells, until they tell otherwise or fall silent", () => {
    const { timer, tell, free } = createView();
    tell(first, 1);
    tell(second, 2);
    assert.equal(free(), 1);
    tell(first, 0);
    assert.equal(free(), 2);
    timer.advance(1_400);
    tell(first, 1);
    timer.advance(700);
    assert.equal(free(), 3);
});

test("requests that peers told of are not counted again from the target's load report", () => {
    const { timer, target, tell, free } = createView();
    tell(first, 2);
    recordLoadReport(target(), { running: 2, waiting: 0, slots: 4, slowness: 1 }, timer.now());
    assert.equal(free(), 2);
    recordLoadReport(target(), { running: 3, waiting: 0, slots: 4, slowness: 1 }, timer.now());
    assert.equal(free(), 1);
});

test("an object on which a peer's request started is known to be cached, and counts as used", () => {
    const { objectAffinity, target, tell } = createView();
    tell(first, 1, 42);
    assert.equal(target().cache.isCached(42), true);
    assert.equal(objectAffinity.recentUses(target().record.service, 42), 1);
});

test("what peers told of a target's earlier incarnation does not count for the next one", () => {
    const { registry, target, tell, free } = createView();
    tell(first, 3, 42);
    registry.put(record("one", { slots: 4, startedAt: startedAt + 1 }));
    assert.deepEqual([free(), target().cache.isCached(42)], [4, false]);
    tell(first, 1);
    assert.equal(free(), 3);
});

test("a digest holds all attempts in flight and each started object once; without attempts there is none", () => {
    const { target } = createView();
    const own = createOwnAttempts();
    assert.equal(own.takeDigest(), undefined);
    const one = target();
    one.inFlight = 1;
    own.recordInFlight(one);
    own.recordStarted(one, 42);
    const inFlight = [{ target: one.hashSeed, count: 1 }];
    assert.deepEqual(own.takeDigest(), { inFlight, started: [{ target: one.hashSeed, object: 42 }] });
    assert.deepEqual(own.takeDigest(), { inFlight, started: [] });
    one.inFlight = 0;
    own.recordInFlight(one);
    assert.deepEqual(own.takeDigest(), { inFlight: [], started: [] });
    assert.equal(own.takeDigest(), undefined);
});

test("objects that don't fit into a digest follow in the next one", () => {
    const { target } = createView();
    const own = createOwnAttempts();
    const objects = Array.from({ length: maxStartedObjects + 10 }, (_, index) => index);
    objects.forEach(object => own.recordStarted(target(), object));
    const [full, rest] = [own.takeDigest()!, own.takeDigest()!];
    assert.equal(full.started.length, maxStartedObjects);
    assert.deepEqual([...full.started, ...rest.started].map(({ object }) => object), objects);
});
