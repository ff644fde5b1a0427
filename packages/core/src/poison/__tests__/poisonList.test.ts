/** Evidence on requests that crash targets: how it joins, what it proves and how long it holds. */
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type Fingerprint, type TargetIncarnationId, toTargetIncarnationId } from "../../ids.js";
import { createVirtualTimer } from "../../time/virtualTimer.js";
import { createPoisonList, type PoisonList, type PoisonReport } from "../poisonList.js";

const fingerprints = ["a", "b", "c"] as Fingerprint[];
const incarnations = ["one@1", "two@1", "three@1", "four@1"].map(toTargetIncarnationId);
const killer = "killer" as Fingerprint;
const bystander = "bystander" as Fingerprint;
const incarnation = (number: number): TargetIncarnationId => toTargetIncarnationId(`target-${number}@1`);

/** What happens at one of three entries; `send` passes all its reports on to another, `times` times. */
const step = fc.oneof(
    fc.record({
        kind: fc.constant("death" as const),
        at: fc.nat(2),
        accused: fc.subarray(fingerprints, { minLength: 1 }),
        incarnation: fc.constantFrom(...incarnations),
    }),
    fc.record({ kind: fc.constant("success" as const), at: fc.nat(2), fingerprint: fc.constantFrom(...fingerprints) }),
    fc.record({ kind: fc.constant("send" as const), at: fc.nat(2), to: fc.nat(2), times: fc.integer({ min: 0, max: 2 }) }),
);

test("entries that can talk agree on what crashes targets, whatever was lost, doubled or late", () => {
    fc.assert(fc.property(fc.array(step, { maxLength: 40 }), fc.func(fc.integer()), (steps, order) => {
        const timer = createVirtualTimer();
        const lists = [0, 1, 2].map(() => createPoisonList({ timer }));
        const pass = (from: PoisonList, to: PoisonList): void => {
            const reports = from.reports(Infinity);
            reports.sort((x, y) => order(x.fingerprint, x.targetIncarnation) - order(y.fingerprint, y.targetIncarnation));
            reports.forEach(to.recordReport);
        };
        for (const event of steps) {
            const list = lists[event.at]!;
            switch (event.kind) {
                case "death":
                    list.recordDeath(event.accused, event.incarnation);
                    break;
                case "success":
                    list.recordSuccess(() => event.fingerprint);
                    break;
                case "send":
                    for (let count = 0; count < event.times; count++) {
                        pass(list, lists[event.to]!);
                    }
                    break;
            }
            timer.advance(10);
        }
        lists.forEach(from => lists.forEach(to => pass(from, to)));
        lists.forEach(from => lists.forEach(to => pass(from, to)));
        for (const fingerprint of fingerprints) {
            assert.equal(new Set(lists.map(list => list.deathCount(fingerprint))).size, 1);
            assert.equal(new Set(lists.map(list => list.verdictOf(() => fingerprint))).size, 1);
        }
    }));
});

test("deaths that two entries see at the same time count together", () => {
    const timer = createVirtualTimer();
    const [first, second] = [createPoisonList({ timer }), createPoisonList({ timer })];
    const reports = [first.recordDeath([killer], incarnation(1)), second.recordDeath([killer], incarnation(2))];
    reports[0]!.forEach(second.recordReport);
    reports[1]!.forEach(first.recordReport);
    assert.ok([first, second].every(list => list.isRefused(() => killer)));
});

test("a request that was served is cleared of the deaths known then, not of those reported later", () => {
    const timer = createVirtualTimer();
    const [server, other] = [createPoisonList({ timer }), createPoisonList({ timer })];
    server.recordDeath([killer], incarnation(1));
    const cleared = server.recordSuccess(() => killer);
    [2, 3].forEach(number => other.recordDeath([killer], incarnation(number)));
    cleared.forEach(other.recordReport);
    assert.equal(other.deathCount(killer), 2);
    // The death that was cleared is reported after that.
    other.recordReport({ fingerprint: killer, targetIncarnation: incarnation(1), isCleared: false, ageMs: 0 });
    assert.equal(other.deathCount(killer), 2);
});

test("a request that ran beside a poison request on two targets is not refused once the other has crashed a third", () => {
    const list = createPoisonList({ timer: createVirtualTimer() });
    list.recordDeath([killer, bystander], incarnation(1));
    list.recordDeath([killer, bystander], incarnation(2));
    assert.deepEqual([list.verdictOf(() => killer), list.verdictOf(() => bystander)], ["suspected", "suspected"]);
    list.recordDeath([killer, "another" as Fingerprint], incarnation(3));
    assert.deepEqual([list.verdictOf(() => killer), list.verdictOf(() => bystander)], ["refused", "suspected"]);
});

test("two deaths under a request alone refuse it; beside other requests it takes three", () => {
    const list = createPoisonList({ timer: createVirtualTimer() });
    list.recordDeath([killer], incarnation(1));
    list.recordDeath([killer, bystander], incarnation(2));
    assert.equal(list.verdictOf(() => killer), "suspected");
    list.recordDeath([killer], incarnation(3));
    assert.equal(list.verdictOf(() => killer), "refused");
    const beside = createPoisonList({ timer: createVirtualTimer() });
    beside.recordDeath([killer], incarnation(1));
    beside.recordDeath([killer, bystander], incarnation(2));
    beside.recordSuccess(() => bystander);
    assert.equal(beside.verdictOf(() => killer), "refused");
    list.recordDeath(["lone" as Fingerprint], incarnation(4));
    list.recordDeath(["lone" as Fingerprint], incarnation(5));
    assert.equal(list.verdictOf(() => "lone" as Fingerprint), "refused");
});

test("a refused request is tried again by one entry, later after each trial", () => {
    const timer = createVirtualTimer();
    const trialEntry = createPoisonList({ timer, isTrialEntry: () => true });
    const other = createPoisonList({ timer });
    for (const list of [trialEntry, other]) {
        [1, 2].forEach(number => list.recordDeath([killer], incarnation(number)));
    }
    const verdicts = (): string[] => [trialEntry, other].map(list => list.verdictOf(() => killer));
    timer.advance(29_000);
    assert.deepEqual(verdicts(), ["refused", "refused"]);
    timer.advance(1_000);
    assert.deepEqual(verdicts(), ["trial", "refused"]);
    trialEntry.recordTrial(killer);
    timer.advance(29_000);
    assert.deepEqual(verdicts(), ["refused", "refused"]);
    timer.advance(1_000);
    assert.deepEqual(verdicts(), ["trial", "refused"]);
});

test("evidence expires everywhere at once, although entries repeat it to each other", () => {
    const timer = createVirtualTimer();
    const [first, second] = [createPoisonList({ timer }), createPoisonList({ timer })];
    [1, 2].forEach(number => first.recordDeath([killer], incarnation(number)));
    timer.advance(300_000);
    first.reports(24).forEach(second.recordReport);
    assert.ok(second.isRefused(() => killer));
    timer.advance(300_000);
    second.reports(24).forEach(first.recordReport);
    assert.deepEqual([first, second].map(list => list.verdictOf(() => killer)), ["clean", "clean"]);
});

test("reports that don't fit into one datagram are repeated in turns", () => {
    const list = createPoisonList({ timer: createVirtualTimer() });
    for (let number = 0; number < 100; number++) {
        list.recordDeath([`f${number}` as Fingerprint], incarnation(number));
    }
    const seen = new Set<PoisonReport["fingerprint"]>();
    for (let round = 0; round < 5; round++) {
        const reports = list.reports(24);
        assert.equal(reports.length, 24);
        reports.forEach(({ fingerprint }) => seen.add(fingerprint));
    }
    assert.equal(seen.size, 100);
});

test("a popular request that gathers a death a minute and is served in between keeps those of the last ten minutes", () => {
    const timer = createVirtualTimer();
    const list = createPoisonList({ timer });
    for (let minute = 0; minute < 100; minute++) {
        list.recordDeath([killer], incarnation(minute));
        list.recordSuccess(() => killer);
        timer.advance(60_000);
    }
    list.recordDeath([killer], incarnation(100));
    list.recordDeath([killer], incarnation(101));
    assert.equal(list.reports(Infinity).length, 11);
});

test("reports of unknown senders take no place of others and don't grow without bound", () => {
    const list = createPoisonList({ timer: createVirtualTimer() });
    list.recordDeath([killer], incarnation(1));
    list.recordDeath([killer], incarnation(2));
    for (let number = 0; number < 20_000; number++) {
        const fingerprint = `made-up-${number}` as Fingerprint;
        list.recordUnconfirmedReport({ fingerprint, targetIncarnation: incarnation(number), isCleared: false, ageMs: 0 });
        list.recordUnconfirmedReport({
            fingerprint: bystander,
            targetIncarnation: incarnation(number),
            isCleared: false,
            ageMs: 0,
        });
    }
    assert.ok(list.isRefused(() => killer));
    assert.ok(list.reports(Infinity).length < 300, `${list.reports(Infinity).length} reports`);
});

test("a request that unknown senders reported is refused, and stays so once a member reports it too", () => {
    const list = createPoisonList({ timer: createVirtualTimer() });
    const deaths = [1, 2].map(number => ({
        fingerprint: killer,
        targetIncarnation: incarnation(number),
        isCleared: false,
        ageMs: 0,
    }));
    deaths.forEach(list.recordUnconfirmedReport);
    assert.ok(list.isRefused(() => killer));
    list.recordReport({ ...deaths[0]!, targetIncarnation: incarnation(3) });
    for (let number = 0; number < 1_000; number++) {
        const fingerprint = `made-up-${number}` as Fingerprint;
        list.recordUnconfirmedReport({ fingerprint, targetIncarnation: incarnation(9), isCleared: false, ageMs: 0 });
    }
    assert.ok(list.isRefused(() => killer));
});

test("the deaths that are remembered of a request are bounded", () => {
    const list = createPoisonList({ timer: createVirtualTimer() });
    for (let number = 0; number < 2_000; number++) {
        list.recordReport({ fingerprint: killer, targetIncarnation: incarnation(number), isCleared: false, ageMs: 0 });
    }
    assert.equal(list.deathCount(killer), 256);
});
