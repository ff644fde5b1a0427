/** Which entries count as live and which share budgets, where only some of them are heard from directly. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { toDataCentreId, toInstanceId, toRegionId } from "../../ids.js";
import { createVirtualTimer } from "../../time/virtualTimer.js";
import { createMembers, type MemberRecord } from "../members.js";
import { createTopology } from "../topology.js";

const record = (id: string, dataCentre: string): MemberRecord => ({
    id: toInstanceId(id),
    callers: "",
    mesh: id,
    control: "",
    dataCentre: toDataCentreId(dataCentre),
    region: toRegionId(dataCentre.slice(0, 3)),
});

const dataCentres = ["cpt-a", "cpt-b", "jhb-a"];
const entriesPerDataCentre = 20;
const self = record("cpt-a-0", "cpt-a");
const regions = new Map(dataCentres.map(name => [toDataCentreId(name), toRegionId(name.slice(0, 3))]));

/** A member list in which the entries of other data centres are registered and never heard from directly. */
function createFleet() {
    const timer = createVirtualTimer();
    const members = createMembers(timer, self);
    for (const dataCentre of dataCentres) {
        for (let index = 0; index < entriesPerDataCentre; index++) {
            members.addRegistered(record(`${dataCentre}-${index}`, dataCentre));
        }
    }
    /** Seconds in which the own data centre sends heartbeats and its relay passes on the loads of the given others. */
    const run = (seconds: number, heardDataCentres: readonly string[]): void => {
        for (let second = 0; second < seconds; second++) {
            timer.advance(1_000);
            for (let index = 1; index < entriesPerDataCentre; index++) {
                members.recordHeartbeat(toInstanceId(`cpt-a-${index}`), false);
            }
            heardDataCentres.forEach(name => members.recordDataCentreAlive(toDataCentreId(name)));
        }
    };
    return { members, run, topology: createTopology({ self, regions: () => regions, members }) };
}

test("registered entries that send no heartbeats here still share the budget", () => {
    const { members, run } = createFleet();
    run(30, []);
    assert.equal(members.budgetSharerCount(), dataCentres.length * entriesPerDataCentre);
    members.markUnregistered(toInstanceId("jhb-a-3"));
    assert.equal(members.budgetSharerCount(), dataCentres.length * entriesPerDataCentre - 1);
});

test("a data centre that only its relay is heard of is not taken for one without entries", () => {
    const { members, run, topology } = createFleet();
    run(30, ["cpt-b", "jhb-a"]);
    assert.equal(topology.coversDataCentre(toDataCentreId("jhb-a")), false);
    assert.equal(topology.coversDataCentre(toDataCentreId("cpt-b")), false);
    assert.equal(members.liveCountIn(toDataCentreId("jhb-a")), entriesPerDataCentre);
    run(6, ["cpt-b"]);
    assert.equal(topology.coversDataCentre(toDataCentreId("jhb-a")), true);
    assert.equal(topology.coversDataCentre(toDataCentreId("cpt-b")), false);
});

test("an entry of another data centre that lost its registration is dead, though its data centre is alive", () => {
    const { members, run } = createFleet();
    members.markUnregistered(toInstanceId("jhb-a-3"));
    run(13, ["cpt-b", "jhb-a"]);
    assert.equal(members.liveCountIn(toDataCentreId("jhb-a")), entriesPerDataCentre - 1);
});

test("a record at an entry's own address, such as that of its previous incarnation, makes no member", () => {
    const { members } = createFleet();
    const count = members.liveMembers().length;
    const previous = { ...record("cpt-a-0/previous", "cpt-a"), mesh: self.mesh };
    members.addRegistered(previous);
    members.addAnnounced(previous);
    assert.equal(members.isKnown(previous.id), false);
    assert.equal(members.liveMembers().length, count);
});

test("an entry that is cut off still counts among those that share limits; one that has announced that it leaves doesn't", () => {
    const timer = createVirtualTimer();
    const members = createMembers(timer, self);
    const cutOff = record("cpt-b-1", "cpt-b");
    const leaving = record("cpt-a-1", "cpt-a");
    members.replaceAll([cutOff, leaving]);
    const sharersAfter = (durationMs: number): readonly string[] => {
        timer.advance(durationMs);
        return members.limitSharers();
    };
    assert.deepEqual(sharersAfter(0), [self.id, leaving.id, cutOff.id]);
    members.recordHeartbeat(leaving.id, true);
    members.replaceAll([]);
    assert.deepEqual(sharersAfter(60_000), [self.id, cutOff.id]);
    members.addRegistered({ ...cutOff, id: toInstanceId("cpt-b-1/2") });
    assert.deepEqual(sharersAfter(1_000), [self.id, toInstanceId("cpt-b-1/2")]);
    members.replaceAll([]);
    assert.deepEqual(sharersAfter(400_000), [self.id]);
});

test("entries that only announced themselves are bounded, and those that the store lists are told of once", () => {
    const registered: string[] = [];
    const members = createMembers(createVirtualTimer(), self, member => registered.push(member.record.id));
    for (let index = 0; index < 10_000; index++) {
        members.addAnnounced(record(`made-up-${index}`, "cpt-a"));
    }
    assert.ok([...members.all()].length <= 2_000);
    const listed = record("listed", "cpt-a");
    members.addRegistered(listed);
    members.markUnregistered(listed.id);
    members.addRegistered(listed);
    members.addRegistered(record("made-up-0", "cpt-a"));
    assert.deepEqual(registered, ["listed", "made-up-0"]);
});
