/** Unit tests of the steering modules. */
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { hashText } from "../../hash/hash.js";
import {
    type Fingerprint,
    toDataCentreId,
    toInstanceId,
    toRegionId,
    toServiceId,
    toTargetId,
    toTargetIncarnationId,
} from "../../ids.js";
import { createPoisonList } from "../../poison/poisonList.js";
import { createRandom } from "../../random/random.js";
import type { Timer } from "../../time/timer.js";
import { createVirtualTimer } from "../../time/virtualTimer.js";
import { createCacheCapacity } from "../cacheCapacity.js";
import { coldRateLimitPerEntry } from "../coldTargetLimit.js";
import { nearestEntries } from "../directory.js";
import { createMembers, type MemberRecord } from "../members.js";
import { createObjectAffinity, type RegionHomes } from "../objectAffinity.js";
import { createOfferedLoad } from "../offeredLoad.js";
import { createRegionFractions, type RegionFractions } from "../regionFractions.js";
import { createRegionShiftLimiter } from "../regionShiftLimiter.js";
import { createRemoteObjects } from "../remoteObjects.js";
import { createRetryBudget } from "../retryBudget.js";
import { createRouteTable } from "../routeTable.js";
import { computeAllowances, createSpillover, type EntryLoad, initialAllowances } from "../spillover.js";
import { createTarget, type Target } from "../target.js";
import { createTargetCacheModel } from "../targetCacheModel.js";
import { createTargetRegistry } from "../targetRegistry.js";
import { createWeightedRoundRobin } from "../weightedRoundRobin.js";
import { documentOf, record, route, service } from "./fixture.js";

const member = (id: string, place: string): MemberRecord => ({
    id: toInstanceId(id),
    callers: `${id}:1`,
    mesh: `${id}:2`,
    control: `${id}:3`,
    dataCentre: toDataCentreId(place),
    region: toRegionId(place.split("-")[0]!),
});

test("the longest matching prefix of the host's routes is selected; the query and routes of other hosts are ignored", () => {
    const names = ["/", "/a/", "/a/b/"];
    const table = createRouteTable(documentOf(names.map(prefix => route({ name: prefix, prefix }))));
    assert.equal(table.find("a.example", "/a/b/c")?.name, "/a/b/");
    assert.equal(table.find("A.example:80", "/a/x?y=/a/b/")?.name, "/a/");
    assert.equal(table.find("a.example", "/a")?.name, "/");
    assert.equal(table.find("b.example", "/a/b/c"), undefined);
});

test("weighted round robin over n services keeps each within n requests of its exact share", () => {
    fc.assert(fc.property(fc.array(fc.integer({ min: 1, max: 90 }), { minLength: 2, maxLength: 4 }), weights => {
        const parts = weights.map((weight, index) => ({ service: toServiceId(`s${index}`), weight }));
        const split = route({ weightedServices: parts });
        const roundRobin = createWeightedRoundRobin();
        const counts = new Map<string, number>();
        const total = weights.reduce((sum, weight) => sum + weight, 0);
        for (let count = 1; count <= 300; count++) {
            const next = roundRobin.nextService(split);
            counts.set(next, (counts.get(next) ?? 0) + 1);
            for (const part of parts) {
                const wanted = (count * part.weight) / total;
                assert.ok(Math.abs((counts.get(part.service) ?? 0) - wanted) < weights.length);
            }
        }
    }));
});

test("retries of all entries together stay within the budget without coordination", () => {
    const timer = createVirtualTimer();
    const entries = 8;
    const options = { timer, limit: () => ({ ratio: 0.2, slack: 56 }), windowMs: 10_000, entryCount: () => entries };
    const budgets = Array.from({ length: entries }, () => createRetryBudget(options));
    const retriedAt: number[] = [];
    const requestedAt: number[] = [];
    for (let step = 0; step < 600; step++) {
        timer.advance(50);
        const budget = budgets[step % entries]!;
        budget.deposit(service);
        requestedAt.push(timer.now());
        while (budget.tryWithdraw(service)) {
            retriedAt.push(timer.now());
        }
    }
    for (const start of retriedAt) {
        const within = (at: number): boolean => at >= start && at < start + 10_000;
        assert.ok(retriedAt.filter(within).length <= 0.2 * requestedAt.filter(within).length + 56);
    }
});

test("the entries' shares of a cold target's rate limit add up to no more than the limit", () => {
    const bound = { requestsPerSecond: 5.8, overshoot: 1.5, slack: 5 };
    for (const entryCount of [1, 2, 3, 5, 8, 22, 65, 800]) {
        const ranks = Array.from({ length: entryCount }, (_, rank) => rank);
        const total = ranks.reduce((sum, rank) => sum + coldRateLimitPerEntry(bound, entryCount, rank), 0);
        assert.ok(total <= 5.8 * 1.5 + 5);
        assert.ok(total >= 0.6 * (5.8 * 1.5 + 5), `${entryCount} entries use ${total} together`);
    }
    assert.equal(coldRateLimitPerEntry(bound, 0, 0), 0);
});

const goldenRatio = (Math.sqrt(5) - 1) / 2;

test("the fraction of requests leaving a region changes by no more than the limit from window to window", () => {
    const timer = createVirtualTimer();
    const shift = createRegionShiftLimiter({ timer, maxFractionChange: () => 0.15 });
    const sent: { readonly at: number; readonly isRemote: boolean; }[] = [];
    for (let step = 0; step < 2_400; step++) {
        timer.advance(10);
        const wantsRemote = timer.now() > 4_000 && timer.now() < 14_000;
        // Evenly distributed, as hashes of many objects are.
        const position = (step * goldenRatio) % 1;
        const isRemote = wantsRemote ? shift.mayMove(service, position) : shift.hasToMove(service, position);
        shift.recordArrival(service);
        if (isRemote) {
            shift.recordMoved(service);
        }
        sent.push({ at: timer.now(), isRemote });
    }
    const share = (from: number): number => {
        const within = sent.filter(item => item.at >= from && item.at < from + 2_000);
        return within.filter(item => item.isRemote).length / within.length;
    };
    for (let from = 0; from + 4_000 <= 24_000; from += 100) {
        const [before, after] = [share(from), share(from + 2_000)];
        assert.ok(Math.abs(after - before) <= 0.15, `at ${from} ms from ${before} to ${after}`);
    }
    assert.ok(share(12_000) > 0.4);
});

test("a restart under the same id creates a new target; an older record does not restore the previous one", () => {
    const timer = createVirtualTimer();
    const registry = createTargetRegistry({ timer, onChanged: () => {} });
    registry.put(record("one", { startedAt: 5 }));
    const first = registry.find(toTargetId("one"))!;
    registry.put(record("one", { startedAt: 9, coldMs: 3_000 }));
    const second = registry.find(toTargetId("one"))!;
    assert.ok(first.isRemoved);
    assert.notEqual(second, first);
    registry.put(record("one", { startedAt: 5 }));
    assert.equal(registry.find(toTargetId("one")), second);
});

test("a draining target is not selected for new requests", () => {
    const timer = createVirtualTimer();
    const registry = createTargetRegistry({ timer, onChanged: () => {} });
    const one = record("one");
    registry.put(one);
    assert.equal(registry.targetsIn(service, one.dataCentre).length, 1);
    registry.put({ ...one, isDraining: true });
    assert.equal(registry.targetsIn(service, one.dataCentre).length, 0);
});

test("a retired target is used again once its record is announced anew", () => {
    const timer = createVirtualTimer();
    const registry = createTargetRegistry({ timer, onChanged: () => {} });
    const one = record("one");
    registry.put(one);
    registry.retire(registry.find(one.id)!);
    assert.equal(registry.targetsIn(service, one.dataCentre).length, 0);
    registry.put({ ...one, slots: 3 });
    assert.equal(registry.targetsIn(service, one.dataCentre).length, 1);
    assert.equal(registry.find(one.id)!.isRemoved, false);
});

test("an entry of the local data centre counts as dead when its heartbeats stop, even while the store lists it", () => {
    const timer = createVirtualTimer();
    const members = createMembers(timer, member("me", "cpt-a"));
    members.addRegistered(member("other", "cpt-a"));
    members.recordHeartbeat(toInstanceId("other"), false);
    assert.equal(members.liveCountIn(toDataCentreId("cpt-a")), 2);
    timer.advance(3_000);
    assert.equal(members.liveMembers().length, 0);
    assert.equal(members.budgetSharerCount(), 2);
    members.recordHeartbeat(toInstanceId("other"), true);
    assert.equal(members.liveMembers().length, 0);
});

test("callers get entries of their data centre, else of their region, else any", () => {
    const [own, sibling, far] = [member("a", "cpt-a"), member("b", "cpt-b"), member("c", "jhb-a")];
    const ask = (...entries: readonly MemberRecord[]): string[] =>
        nearestEntries(entries, toRegionId("cpt"), toDataCentreId("cpt-a")).map(entry => entry.id);
    assert.deepEqual(ask(own, sibling, far), ["a"]);
    assert.deepEqual(ask(sibling, far), ["b"]);
    assert.deepEqual(ask(far), ["c"]);
});

test("the capacity of a target's cache is learned from slow and fast requests", () => {
    const memory = createTargetCacheModel({ capacity: createCacheCapacity(), onAdded: () => {}, onDropped: () => {} });
    const real = 20;
    const random = createRandom(3);
    const recent: number[] = [];
    for (let step = 0; step < 3_000; step++) {
        const key = random.below(40);
        const isKnown = recent.slice(-real).includes(key);
        const others = memory.recordAccess(key);
        if (others !== undefined) {
            memory.adjustCapacity(others, isKnown);
        }
        recent.splice(0, recent.length, ...recent.filter(other => other !== key), key);
    }
    assert.ok(memory.capacity() <= real + 3, `learned ${memory.capacity()}`);
});

test("an object has one first target that all data centres of the region agree on, and a local one if they can cache all", () => {
    const timer = createVirtualTimer();
    const homes = createObjectAffinity(timer);
    const own = [createTarget(record("one"), timer), createTarget(record("three"), timer)];
    const others = [createTarget(record("fives"), timer), createTarget(record("sevens1"), timer)];
    const isUsable = (): boolean => true;
    const homesOf = (key: number, local: readonly Target[], near: readonly Target[], objectCount: number): RegionHomes =>
        homes.homesInRegion(key, { local, sameRegion: [near], isUsable }, objectCount);
    for (const key of ["a", "b", "c", "d"].map(name => hashText(name))) {
        const { first, local, near } = homesOf(key, own, others, 12);
        assert.deepEqual([own.includes(local!), others.includes(near!)], [true, true]);
        assert.ok(first === local || first === near);
        assert.deepEqual(homesOf(key, [...own].reverse(), others, 12), { first, local, near });
        assert.equal(homesOf(key, others, own, 12).first, first);
    }
    assert.equal(homesOf(1, own, others, 20).local, undefined);
    const spread = new Set(
        Array.from({ length: 200 }, (_, index) => homesOf(hashText(`o${index}`), own, others, 180).first!.record.id),
    );
    assert.equal(spread.size, 4);
});

const entryLoad = (entry: string, place: string, slots: number): EntryLoad => ({
    entry,
    dataCentre: toDataCentreId(place),
    slots,
    extraSlots: 0,
});

test("data centres with too few slots share the spare slots of others, so that all serve the same fraction of their load", () => {
    const loads = [
        entryLoad("a1", "cpt-a", 5),
        entryLoad("a2", "cpt-a", 5),
        entryLoad("b1", "cpt-b", 10),
        entryLoad("j1", "jhb-a", 10),
        entryLoad("d1", "dbn-a", 10),
    ];
    const slots = new Map(
        [["cpt-a", 4], ["cpt-b", 4], ["jhb-a", 8], ["dbn-a", 16]].map(([place, count]) =>
            [toDataCentreId(place as string), count as number] as const
        ),
    );
    const served = 32 / 40;
    const servedOf = (place: string): number => {
        const own = loads.filter(load => load.dataCentre === toDataCentreId(place));
        const load = own.reduce((sum, entry) => sum + entry.slots, 0);
        const borrowed = own.flatMap(entry => [...computeAllowances(entry.entry, loads, slots).values()]);
        const lentSlots = loads.filter(entry => entry.dataCentre !== toDataCentreId(place))
            .map(entry => computeAllowances(entry.entry, loads, slots).get(toDataCentreId(place))!);
        const sum = (amounts: readonly number[]): number => amounts.reduce((total, amount) => total + amount, 0);
        return (slots.get(toDataCentreId(place))! + sum(borrowed) - sum(lentSlots)) / load;
    };
    for (const place of ["cpt-a", "cpt-b", "jhb-a", "dbn-a"]) {
        assert.ok(Math.abs(servedOf(place) - served) < 1e-9, `${place} serves ${servedOf(place)}`);
    }
    const [ofHalf, ofWhole] = ["a1", "b1"].map(entry => computeAllowances(entry, loads, slots).get(toDataCentreId("dbn-a"))!);
    assert.equal(ofHalf! * 2, ofWhole);
});

const far = toRegionId("dbn");

/** Fractions whose plan sends one part of the load to a single other region. */
const fractionsFor = (timer: Timer, planned: () => number): RegionFractions =>
    createRegionFractions({
        timer,
        plannedFractions: () => new Map([[far, planned()]]),
        isServed: () => true,
        maxFractionChange: () => 0.15,
    });

test("the planned fraction of whole objects is served in other regions from the first request, and it changes slowly", () => {
    const timer = createVirtualTimer();
    let planned = 0.5;
    const remoteObjects = createRemoteObjects({ fractions: fractionsFor(timer, () => planned).current });
    const keys = Array.from({ length: 1_000 }, (_, index) => hashText(`o${index}`));
    const isRemote = (key: number): boolean => remoteObjects.regionOf(service, key) === far;
    const remoteKeys = (): number[] => keys.filter(isRemote);
    const share = (): number => remoteKeys().length / keys.length;
    assert.ok(Math.abs(share() - 0.5) < 0.05);
    planned = 0.8;
    let before = share();
    for (let window = 0; window < 6; window++) {
        const earlier = remoteKeys();
        timer.advance(2_000);
        assert.ok(share() - before <= 0.15 && earlier.every(isRemote));
        before = share();
    }
    assert.ok(Math.abs(share() - 0.8) < 0.08);
    planned = 0;
    timer.advance(2_000);
    assert.ok(before - share() > 0 && before - share() <= 0.15);
});

test("as long as the load is not known, some of the objects stay in their region", () => {
    const remoteObjects = createRemoteObjects({ fractions: fractionsFor(createVirtualTimer(), () => 1).current });
    const regions = Array.from({ length: 1_000 }, (_, index) => remoteObjects.regionOf(service, hashText(`o${index}`)));
    assert.ok(regions.filter(region => region === far).length <= 750);
});

test("load that exceeds a region's slots is planned for other regions, the same at all of its data centres", () => {
    const timer = createVirtualTimer();
    const slots = new Map(
        [["cpt-a", 4], ["cpt-b", 4], ["dbn-a", 16], ["jhb-a", 8]].map(([place, count]) =>
            [toDataCentreId(place as string), count as number] as const
        ),
    );
    const loads: readonly (readonly [string, number])[] = [["cpt-a", 4], ["cpt-b", 12], ["dbn-a", 4], ["jhb-a", 4]];
    for (const own of ["cpt-a", "cpt-b"]) {
        const spillover = createSpillover({
            timer,
            self: { entry: own, dataCentre: toDataCentreId(own) },
            ownLoadSlots: () => loads.find(([place]) => place === own)![1],
            loadAgeMs: () => 5_000,
            pressure: () => 0,
            availableSlots: (_, place) => slots.get(place)!,
            dataCentres: () => slots.keys(),
            ownEntryCount: () => 1,
            regionOf: place => toRegionId(place.split("-")[0]!),
        });
        loads.filter(([place]) => place !== own).forEach(([place, count]) =>
            spillover.recordPeerLoads(toDataCentreId(place), place, [{ service, slots: count }])
        );
        const planned = spillover.plannedFractions(service);
        assert.ok(Math.abs(planned.get(toRegionId("dbn"))! - 0.5 * (16 / 24)) < 1e-9, own);
        assert.ok(Math.abs(planned.get(toRegionId("jhb"))! - 0.5 * (8 / 24)) < 1e-9, own);
        assert.equal(planned.size, 2);
    }
});

test("offered load is estimated in full from the first second on", () => {
    const timer = createVirtualTimer();
    const offered = createOfferedLoad(timer);
    const at: number[] = [];
    for (let arrival = 0; arrival < 400; arrival++) {
        offered.recordArrival(service, 100);
        timer.advance(20);
        if (arrival % 25 === 24) {
            at.push(offered.requiredSlots(service));
        }
    }
    assert.ok(at.every(slots => Math.abs(slots - 5) < 0.6), at.join(" "));
});

test("the death of a target's incarnation counts once, even if a peer reported it too; that of the next one counts again", () => {
    const poison = createPoisonList({ timer: createVirtualTimer() });
    const popular = "popular" as Fingerprint;
    const [first, second, third] = ["one@1", "one@2", "one@3"].map(toTargetIncarnationId);
    poison.recordReport({ fingerprint: popular, targetIncarnation: first!, isCleared: false, ageMs: 0 });
    assert.deepEqual(poison.recordDeath([popular], first!), []);
    assert.equal(poison.deathCount(popular), 1);
    assert.equal(poison.recordDeath([popular], second!).length, 1);
    assert.equal(poison.deathCount(popular), 2);
    assert.equal(poison.isRefused(() => popular), true);
    [first, second].forEach(targetIncarnation =>
        poison.recordReport({ fingerprint: popular, targetIncarnation: targetIncarnation!, isCleared: true, ageMs: 0 })
    );
    assert.equal(poison.isRefused(() => popular), false);
    poison.recordDeath([popular], third!);
    assert.equal(poison.deathCount(popular), 1);
    assert.equal(poison.recordSuccess(() => popular).length, 1);
    assert.equal(poison.recordSuccess(() => popular).length, 0);
});

test("before any load is known, a data centre with few slots gets its share of the slots that others have above the mean", () => {
    const slots = new Map(
        [["cpt-a", 4], ["cpt-b", 4], ["dbn-a", 16]].map(([place, count]) =>
            [toDataCentreId(place as string), count as number] as const
        ),
    );
    const inDbn = (own: string, entries: number): number =>
        initialAllowances(toDataCentreId(own), entries, slots).get(toDataCentreId("dbn-a")) ?? 0;
    assert.equal(inDbn("cpt-a", 1), 4);
    assert.equal(inDbn("cpt-b", 2), 2);
    assert.equal(inDbn("dbn-a", 1), 0);
});

test("no slot allowance in a data centre without recent load reports, or one that needs its slots itself", () => {
    const timer = createVirtualTimer();
    const place = toDataCentreId("dbn-a");
    const spillover = createSpillover({
        timer,
        self: { entry: "me", dataCentre: toDataCentreId("cpt-a") },
        ownLoadSlots: () => 8,
        loadAgeMs: () => 5_000,
        pressure: () => 0,
        availableSlots: () => 4,
        dataCentres: () => [toDataCentreId("cpt-a"), place],
        ownEntryCount: () => 1,
        regionOf: place => toRegionId(place),
    });
    spillover.recordPeerLoads(toDataCentreId("cpt-b"), "other", [{ service, slots: 1 }]);
    assert.equal(spillover.slotAllowance(service, place), undefined);
    spillover.recordPeerLoads(place, "there", [{ service, slots: 1 }]);
    timer.advance(300);
    assert.ok(spillover.slotAllowance(service, place)! > 2);
    spillover.recordPeerLoads(place, "there", [{ service, slots: 12 }]);
    timer.advance(300);
    assert.equal(spillover.slotAllowance(service, place), 0);
    timer.advance(4_000);
    assert.equal(spillover.slotAllowance(service, place), undefined);
});
