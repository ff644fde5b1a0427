/** State of an entry while its store responds, fails, compacts its history or holds malformed items. */
import { toDataCentreId, toInstanceId, toRegionId, toServiceId, toTargetId } from "@pimentospring/core/ids";
import { createRandom } from "@pimentospring/core/random/random";
import { createMembers, type MemberRecord } from "@pimentospring/core/steering/members";
import type { SteeringDocument } from "@pimentospring/core/steering/steeringDocument";
import { createTargetRegistry } from "@pimentospring/core/steering/targetRegistry";
import { createVirtualTimer, type VirtualTimer } from "@pimentospring/core/time/virtualTimer";
import { silentLog } from "@pimentospring/runtime/logs/log";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createDeferredRemovals, removalDelayMs } from "../deferredRemovals.js";
import { createRegistration } from "../registration.js";
import type { StoreEvent } from "../store.js";
import { decodeMember, encodeMember, memberKey, type StoreItemDecoder } from "../storeItems.js";
import { createStoreProjection } from "../storeProjection.js";
import { createStoreReplica, type StoreReplica } from "../storeReplica.js";
import { createWatcherElection } from "../watcherElection.js";
import { createFakeStore, type FakeStore } from "./fakeStore.js";

const place = { dataCentre: toDataCentreId("cpt-a"), region: toRegionId("cpt") };

/** Advances the clock in steps, letting promises settle before each. */
async function run(timer: VirtualTimer, durationMs: number): Promise<void> {
    for (let passed = 0; passed < durationMs; passed += 50) {
        await new Promise(resolve => setImmediate(resolve));
        timer.advance(50);
    }
    await new Promise(resolve => setImmediate(resolve));
}

const need = { isNeeded: true };

function follow(
    store: FakeStore,
): { readonly timer: VirtualTimer; readonly follower: StoreReplica; readonly events: StoreEvent[]; } {
    const timer = createVirtualTimer();
    const events: StoreEvent[] = [];
    const follower = createStoreReplica({
        store,
        timer,
        random: createRandom(1),
        log: silentLog,
        prefix: "",
        watchPauseMs: 100,
        isWatchNeeded: () => need.isNeeded,
        onEvent: event => events.push(event),
        onBatchApplied: () => {},
    });
    follower.start();
    return { timer, follower, events };
}

const keysOf = (follower: StoreReplica): string[] => follower.snapshot().items.map(item => item.key).sort();

test("everything is read in pages, then changes are followed", async () => {
    const store = createFakeStore();
    ["a", "b", "c", "d", "e"].forEach(key => store.put(key, "1"));
    const { timer, follower } = follow(store);
    await run(timer, 200);
    assert.deepEqual(keysOf(follower), ["a", "b", "c", "d", "e"]);
    store.put("f", "1");
    store.remove("a");
    await run(timer, 300);
    assert.deepEqual(keysOf(follower), ["b", "c", "d", "e", "f"]);
});

test("what is known stays while the store is away, and goes on after it", async () => {
    const store = createFakeStore();
    store.put("a", "1");
    const { timer, follower } = follow(store);
    await run(timer, 200);
    store.failure = { kind: "unknown", reason: "reset" };
    await run(timer, 5_000);
    assert.deepEqual(keysOf(follower), ["a"]);
    assert.equal(follower.isConnected(), false);
    store.failure = undefined;
    store.put("b", "1");
    await run(timer, 2_000);
    assert.deepEqual(keysOf(follower), ["a", "b"]);
});

test("a store that is away is not asked more than a few times a second", async () => {
    const store = createFakeStore();
    store.failure = { kind: "refused", reason: "status 429" };
    const { timer } = follow(store);
    await run(timer, 10_000);
    assert.ok(store.calls.length <= 40, `${store.calls.length} calls`);
});

test("when the history is gone everything is read again, and what went meanwhile is gone", async () => {
    const store = createFakeStore();
    store.put("a", "1");
    store.put("b", "1");
    const { timer, follower, events } = follow(store);
    await run(timer, 200);
    store.failure = { kind: "unknown", reason: "silent" };
    await run(timer, 500);
    store.remove("a");
    store.put("c", "1");
    store.compactedBefore = 1_000;
    store.failure = undefined;
    await run(timer, 2_000);
    assert.deepEqual(keysOf(follower), ["b", "c"]);
    assert.ok(events.some(event => event.kind === "removed" && event.key === "a"));
});

test("a peer's state is taken only if it is newer, and changes what it says", async () => {
    const store = createFakeStore();
    store.put("a", "1");
    const { timer, follower } = follow(store);
    await run(timer, 200);
    const known = follower.revision();
    assert.equal(follower.applyUpdate({ kind: "state", isUnsettled: false, revision: known, items: [] }), false);
    assert.deepEqual(keysOf(follower), ["a"]);
    const item = { key: "b", value: Buffer.from("1"), revision: known + 1 };
    assert.equal(follower.applyUpdate({ kind: "state", isUnsettled: false, revision: known + 2, items: [item] }), true);
    assert.deepEqual(keysOf(follower), ["b"]);
});

test("an entry that need not watch leaves the store alone and takes changes from a peer, or everything after a gap", async () => {
    const store = createFakeStore();
    store.put("a", "1");
    const { timer, follower: first } = follow(store);
    await run(timer, 200);
    const second = follow(store);
    await run(second.timer, 200);
    need.isNeeded = false;
    await run(second.timer, 1_000);
    const calls = store.calls.length;
    await run(second.timer, 5_000);
    need.isNeeded = true;
    assert.equal(store.calls.length, calls);
    store.put("b", "1");
    store.remove("a");
    await run(timer, 1_000);
    const news = first.updateSince(second.follower.revision());
    assert.equal(news.kind, "changes");
    assert.equal(second.follower.applyUpdate(news), true);
    assert.deepEqual(keysOf(second.follower), ["b"]);
    assert.equal(second.follower.revision(), first.revision());
    assert.equal(first.updateSince(0).kind, "state");
});

test("two entries of a data centre watch the store, and any that hears of none that does", () => {
    const timer = createVirtualTimer();
    const record = (id: string): MemberRecord => ({ id: toInstanceId(id), callers: "", mesh: id, control: "", ...place });
    const duties = ["a", "b", "c", "d"].map((id, index, ids) => {
        const members = createMembers(timer, record(id));
        ids.filter(other => other !== id).forEach(other => members.addAnnounced(record(other)));
        return { index, members, duty: createWatcherElection({ timer, self: record(id), members }) };
    });
    const watching = (): number[] => duties.filter(({ duty }) => duty.isWatcher()).map(({ index }) => index);
    assert.deepEqual(watching(), [0, 1, 2, 3]);
    duties.forEach(({ duty }) => duty.recordWatcherHeartbeat(record("a")));
    assert.deepEqual(watching(), [0, 1]);
    duties.forEach(({ members }) => ["c", "d"].forEach(id => members.recordHeartbeat(toInstanceId(id), false)));
    timer.advance(1_900);
    assert.deepEqual(watching(), [0, 1, 2, 3]);
});

test("an entry's record is written again when its lease ends or its key is taken away", async () => {
    const store = createFakeStore();
    const timer = createVirtualTimer();
    const key = memberKey(toInstanceId("me"));
    const registration = createRegistration({
        store,
        timer,
        random: createRandom(1),
        log: silentLog,
        key,
        value: Buffer.from("{}"),
    });
    registration.start();
    await run(timer, 2_000);
    assert.equal(store.writes.length, 1);
    store.expireLeases();
    await run(timer, 4_000);
    assert.equal(store.writes.length, 2);
    registration.markLost();
    await run(timer, 4_000);
    assert.equal(store.writes.length, 3);
    await registration.deregister();
    await run(timer, 10_000);
    assert.equal(store.writes.length, 3);
});

test("a target that lapsed while the store was away stays if it is written again, and goes if not", () => {
    const timer = createVirtualTimer();
    const gone: string[] = [];
    const removals = createDeferredRemovals({ timer, hasStoreFailedRecently: () => true, remove: id => gone.push(id) });
    removals.schedule(toTargetId("lives"));
    removals.schedule(toTargetId("dead"));
    timer.advance(1_500);
    removals.cancel(toTargetId("lives"));
    timer.advance(removalDelayMs);
    assert.deepEqual(gone, ["dead"]);
});

test("a target that leaves while the store is well goes at once", () => {
    const gone: string[] = [];
    const removals = createDeferredRemovals({
        timer: createVirtualTimer(),
        hasStoreFailedRecently: () => false,
        remove: id => gone.push(id),
    });
    removals.schedule(toTargetId("one"));
    assert.deepEqual(gone, ["one"]);
});

/** Decodes documents from their version and targets from their address; anything else is malformed. */
const decoder: StoreItemDecoder = {
    parseKey: key =>
        key === "config"
            ? { kind: "document" }
            : key.startsWith("empty/")
            ? { kind: "evacuation", dataCentre: toDataCentreId(key.slice(6)) }
            : { kind: "target", id: toTargetId(key) },
    decodeDocument: value => {
        const version = Number(value.toString());
        const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
        return Number.isNaN(version)
            ? { isValid: false, reason: "no number" }
            : { isValid: true, value: { version, routes: [], services: [], limits } };
    },
    decodeTarget: (id, value) =>
        value.length === 0
            ? { isValid: false, reason: "empty" }
            : {
                isValid: true,
                value: {
                    id,
                    service: toServiceId("s"),
                    address: value.toString(),
                    ...place,
                    slots: 1,
                    isDraining: false,
                    coldMs: 0,
                    startedAt: 1,
                },
            },
};

test("an older configuration and malformed items change nothing; a malformed record names no target", () => {
    const timer = createVirtualTimer();
    const registry = createTargetRegistry({ timer, onChanged: () => {} });
    const self = { id: toInstanceId("me"), callers: "", mesh: "", control: "", ...place };
    const inForce: SteeringDocument[] = [];
    const keeper = createStoreProjection({
        timer,
        log: silentLog,
        decoder,
        registry,
        members: createMembers(timer, self),
        self: self.id,
        hasStoreFailedRecently: () => false,
        onRegistrationLost: () => {},
        onDocumentAccepted: document => inForce.push(document),
    });
    const write = (key: string, value: string, revision: number): void =>
        keeper.apply({ kind: "written", item: { key, value: Buffer.from(value), revision } });
    write("config", "7", 1);
    write("config", "5", 2);
    write("config", "seven", 3);
    keeper.apply({ kind: "removed", key: "config", revision: 4 });
    assert.deepEqual(inForce.map(document => document.version), [7]);
    write("one", "10.0.0.1:80", 5);
    write("two", "", 6);
    assert.deepEqual([...registry.all()].map(target => target.record.id), ["one"]);
    write("one", "", 7);
    assert.deepEqual([...registry.all()], []);
    write("empty/cpt-a", "{}", 8);
    assert.equal(keeper.isEvacuated(place.dataCentre), true);
    keeper.apply({ kind: "removed", key: "empty/cpt-a", revision: 9 });
    assert.equal(keeper.isEvacuated(place.dataCentre), false);
});

test("an entry's record survives encoding, and a malformed one is refused", () => {
    const record = { id: toInstanceId("me"), callers: "a:1", mesh: "a:2", control: "a:3", ...place };
    const decoded = decodeMember(record.id, encodeMember(record));
    assert.deepEqual(decoded.isValid ? decoded.value : decoded.reason, record);
    assert.equal(decodeMember(record.id, Buffer.from("{}")).isValid, false);
    assert.equal(decodeMember(record.id, Buffer.from("[")).isValid, false);
});
