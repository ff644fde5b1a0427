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
import { createRegistration, type Registration } from "../registration.js";
import type { Store, StoreEvent } from "../store.js";
import { createStoreCalls, type StoreCalls } from "../storeCalls.js";
import { createStoreFailures } from "../storeFailures.js";
import { decodeMember, encodeMember, memberKey, type StoreItemDecoder } from "../storeItems.js";
import { createStoreProjection } from "../storeProjection.js";
import { createStoreReplica, type StoreReplica } from "../storeReplica.js";
import { createWatcherElection } from "../watcherElection.js";
import { emptyDocument } from "./deploymentItems.js";
import { createFakeStore, type FakeStore } from "./fakeStore.js";

const location = { dataCentre: toDataCentreId("cpt-a"), region: toRegionId("cpt") };

/** Advances the clock in steps, letting promises settle before each. */
async function advance(timer: VirtualTimer, durationMs: number): Promise<void> {
    for (let passed = 0; passed < durationMs; passed += 50) {
        await new Promise(resolve => setImmediate(resolve));
        timer.advance(50);
    }
    await new Promise(resolve => setImmediate(resolve));
}

const watchNeed = { isNeeded: true };

function startReplica(
    store: FakeStore,
    onEvent: (event: StoreEvent) => void = () => {},
): { readonly timer: VirtualTimer; readonly replica: StoreReplica; readonly events: StoreEvent[]; } {
    const timer = createVirtualTimer();
    const events: StoreEvent[] = [];
    const replica = createStoreReplica({
        store,
        timer,
        random: createRandom(1),
        log: silentLog,
        prefix: "",
        watchPauseMs: () => 100,
        isWatchNeeded: () => watchNeed.isNeeded,
        looksForChanges: () => false,
        maxRetryIntervalMs: () => 1_000,
        onEvent: event => {
            events.push(event);
            onEvent(event);
        },
        onBatchApplied: () => {},
        onNewEra: () => {},
        onStoreAdvanced: () => {},
    });
    replica.start();
    return { timer, replica, events };
}

function startRegistration(store: StoreCalls, timer: VirtualTimer, key: string, value: Buffer): Registration {
    const registration = createRegistration({
        store,
        timer,
        random: createRandom(1),
        log: silentLog,
        key,
        value,
        onSilence: () => {},
        onResponse: () => {},
    });
    registration.start();
    return registration;
}

const keysOf = (replica: StoreReplica): string[] => replica.snapshot().items.map(item => item.key).sort();

test("reads a snapshot in pages, then watches for changes", async () => {
    const store = createFakeStore();
    ["a", "b", "c", "d", "e"].forEach(key => store.put(key, "1"));
    const { timer, replica } = startReplica(store);
    await advance(timer, 200);
    assert.deepEqual(keysOf(replica), ["a", "b", "c", "d", "e"]);
    store.put("f", "1");
    store.remove("a");
    await advance(timer, 300);
    assert.deepEqual(keysOf(replica), ["b", "c", "d", "e", "f"]);
});

test("keeps its items while the store is unavailable and continues afterwards", async () => {
    const store = createFakeStore();
    store.put("a", "1");
    const { timer, replica } = startReplica(store);
    await advance(timer, 200);
    store.failure = { kind: "unknown", reason: "reset" };
    await advance(timer, 5_000);
    assert.deepEqual(keysOf(replica), ["a"]);
    assert.equal(replica.isConnected(), false);
    store.failure = undefined;
    store.put("b", "1");
    await advance(timer, 2_000);
    assert.deepEqual(keysOf(replica), ["a", "b"]);
});

test("backs off while the store is unavailable", async () => {
    const store = createFakeStore();
    store.failure = { kind: "refused", reason: "status 429" };
    const { timer } = startReplica(store);
    await advance(timer, 10_000);
    assert.ok(store.calls.length <= 40, `${store.calls.length} calls`);
});

test("reads a snapshot again after compaction, dropping items removed meanwhile", async () => {
    const store = createFakeStore();
    store.put("a", "1");
    store.put("b", "1");
    const { timer, replica, events } = startReplica(store);
    await advance(timer, 200);
    store.failure = { kind: "unknown", reason: "silent" };
    await advance(timer, 500);
    store.remove("a");
    store.put("c", "1");
    store.compactedBefore = 1_000;
    store.failure = undefined;
    await advance(timer, 2_000);
    assert.deepEqual(keysOf(replica), ["b", "c"]);
    assert.ok(events.some(event => event.kind === "removed" && event.key === "a"));
});

test("applies a peer's snapshot only if it is newer", async () => {
    const store = createFakeStore();
    store.put("a", "1");
    const { timer, replica } = startReplica(store);
    await advance(timer, 200);
    const knownRevision = replica.revision();
    assert.equal(replica.applyUpdate({ kind: "state", revision: knownRevision, items: [] }), false);
    assert.deepEqual(keysOf(replica), ["a"]);
    const item = { key: "b", value: Buffer.from("1"), revision: knownRevision + 1 };
    assert.equal(replica.applyUpdate({ kind: "state", revision: knownRevision + 2, items: [item] }), true);
    assert.deepEqual(keysOf(replica), ["b"]);
});

test("an entry that need not watch makes no store calls and takes changes from a peer, or a snapshot after a gap", async () => {
    const store = createFakeStore();
    store.put("a", "1");
    const { timer, replica: first } = startReplica(store);
    await advance(timer, 200);
    const second = startReplica(store);
    await advance(second.timer, 200);
    watchNeed.isNeeded = false;
    await advance(second.timer, 1_000);
    const calls = store.calls.length;
    await advance(second.timer, 5_000);
    watchNeed.isNeeded = true;
    assert.equal(store.calls.length, calls);
    store.put("b", "1");
    store.remove("a");
    await advance(timer, 1_000);
    const update = first.updateSince(second.replica.revision());
    assert.equal(update.kind, "changes");
    assert.equal(second.replica.applyUpdate(update), true);
    assert.deepEqual(keysOf(second.replica), ["b"]);
    assert.equal(second.replica.revision(), first.revision());
    assert.equal(first.updateSince(0).kind, "state");
});

test("two entries per data centre watch the store, and so does any that hears from no watcher", () => {
    const timer = createVirtualTimer();
    const record = (id: string): MemberRecord => ({ id: toInstanceId(id), callers: "", mesh: id, control: "", ...location });
    const elections = ["a", "b", "c", "d"].map((id, index, ids) => {
        const members = createMembers(timer, record(id));
        ids.filter(other => other !== id).forEach(other => members.addAnnounced(record(other)));
        return { index, members, election: createWatcherElection({ timer, self: record(id), members }) };
    });
    const watchers = (): number[] => elections.filter(({ election }) => election.isWatcher()).map(({ index }) => index);
    assert.deepEqual(watchers(), [0, 1, 2, 3]);
    elections.forEach(({ election }) => election.recordWatcherHeartbeat(record("a")));
    assert.deepEqual(watchers(), [0, 1]);
    assert.deepEqual(elections.map(({ election }) => election.isFirstWatcher()), [true, false, false, false]);
    elections.forEach(({ members }) => ["c", "d"].forEach(id => members.recordHeartbeat(toInstanceId(id), false)));
    timer.advance(1_900);
    assert.deepEqual(watchers(), [0, 1, 2, 3]);
});

test("a watch that stays silent while peers have newer revisions does not count as watching, until the store responds", async () => {
    const store = createFakeStore();
    store.put("a", "1");
    const { timer, replica } = startReplica(store);
    await advance(timer, 400);
    store.silence();
    await advance(timer, 2_000);
    assert.equal(replica.isWatching(), true);
    replica.recordPeerRevision(replica.revision() + 1);
    await advance(timer, 200);
    assert.equal(replica.isWatching(), true);
    await advance(timer, 200);
    assert.equal(replica.isWatching(), false);
    store.speak();
    await advance(timer, 300);
    assert.equal(replica.isWatching(), true);
});

test("an item that can't be applied keeps neither the others nor the watch from going on", async () => {
    const store = createFakeStore();
    ["a", "b", "c"].forEach(key => store.put(key, "1"));
    const applied: string[] = [];
    const { timer } = startReplica(store, event => {
        assert.ok(event.kind === "written" && event.item.key !== "b");
        applied.push(event.item.key);
    });
    await advance(timer, 500);
    assert.deepEqual(applied, ["a", "c"]);
    store.put("d", "1");
    await advance(timer, 500);
    assert.deepEqual(applied, ["a", "c", "d"]);
});

test("a renewal that the store does not serve counts as a failure of the store, a lease that ended does not", async () => {
    const store = createFakeStore();
    const timer = createVirtualTimer();
    const value = Buffer.from("{}");
    const key = memberKey(toInstanceId("me"));
    const failures = createStoreFailures(timer);
    startRegistration(createStoreCalls(timer, store as unknown as Store, failures), timer, key, value);
    await advance(timer, 2_000);
    store.expireLeases();
    await advance(timer, 4_000);
    assert.equal(failures.ageMs(), undefined);
    store.failure = { kind: "unknown", reason: "no response" };
    await advance(timer, 3_000);
    assert.ok(failures.ageMs()! < 3_000);
});

test("an entry's record is written again after its lease expires or its key is removed", async () => {
    const store = createFakeStore();
    const timer = createVirtualTimer();
    const key = memberKey(toInstanceId("me"));
    const registration = startRegistration(store, timer, key, Buffer.from("{}"));
    await advance(timer, 2_000);
    assert.equal(store.writes.length, 1);
    store.expireLeases();
    await advance(timer, 4_000);
    assert.equal(store.writes.length, 2);
    registration.markLost();
    await advance(timer, 4_000);
    assert.equal(store.writes.length, 3);
    await registration.deregister();
    await advance(timer, 10_000);
    assert.equal(store.writes.length, 3);
});

// Guards against DRAIN: the rate limit of one entry put removals off at all that it told.
test("a call beyond the rate limit is no failure of the store, one that it refuses is", async () => {
    const store = createFakeStore();
    const timer = createVirtualTimer();
    const failures = createStoreFailures(timer);
    startRegistration(
        createStoreCalls(timer, store as unknown as Store, failures),
        timer,
        memberKey(toInstanceId("me")),
        Buffer.from("{}"),
    );
    store.failure = { kind: "rateLimited", reason: "status 429" };
    await advance(timer, 4_000);
    assert.equal(failures.ageMs(), undefined);
    store.failure = { kind: "refused", reason: "status 503" };
    await advance(timer, 4_000);
    assert.ok(failures.ageMs()! < 3_000);
});

// Guards against DRAIN: a call into a silent store ended after the store's return, and counted as a failure of that moment.
test("a call that the store leaves without a response counts from its start, one that it refuses from the refusal", async () => {
    const timer = createVirtualTimer();
    const failures = createStoreFailures(timer);
    const store = createFakeStore();
    const silentStore = { ...store, renewLease: () => new Promise(() => {}) };
    const calls = createStoreCalls(timer, silentStore as unknown as Store, failures);
    void calls.renewLease(1);
    await advance(timer, 1_500);
    assert.equal(failures.ageMs(), 1_500);
    store.failure = { kind: "refused", reason: "status 503" };
    await createStoreCalls(timer, store as unknown as Store, failures).grantLease(6_000);
    assert.equal(failures.ageMs(), 0);
});

test("a failure that entries tell each other of is never younger than it was", () => {
    const timer = createVirtualTimer();
    const entries = [createStoreFailures(timer), createStoreFailures(timer)];
    entries[0]!.record(timer.now());
    for (let round = 0; round < 20; round++) {
        const [from, to] = round % 2 === 0 ? entries : [entries[1], entries[0]];
        const askedAt = timer.now();
        timer.advance(100);
        const ageMs = from!.ageMs();
        timer.advance(100);
        if (ageMs !== undefined) {
            to!.recordTold("peer:1", ageMs, askedAt);
        }
    }
    assert.deepEqual(entries.map(failures => failures.ageMs()), [undefined, undefined]);
});

/** Decodes documents from their version and targets from their address; anything else is malformed. */
const itemDecoder: StoreItemDecoder = {
    redact: (_key, value) => value,
    parseKey: key =>
        key === "config"
            ? { kind: "document" }
            : key.startsWith("empty/")
            ? { kind: "evacuation", dataCentre: toDataCentreId(key.slice(6)) }
            : { kind: "target", id: toTargetId(key) },
    decodeDocument: value => {
        const version = Number(value.toString());
        return Number.isNaN(version)
            ? { isValid: false, reason: "no number" }
            : { isValid: true, value: { ...emptyDocument, version } };
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
                    ...location,
                    slots: 1,
                    isDraining: false,
                    coldMs: 0,
                    startedAt: 1,
                },
            },
};

test("ignores older configurations and malformed items; removes a target whose record becomes malformed", () => {
    const timer = createVirtualTimer();
    const registry = createTargetRegistry({ timer, onChanged: () => {} });
    const self = { id: toInstanceId("me"), callers: "", mesh: "me:1", control: "", ...location };
    const acceptedDocuments: SteeringDocument[] = [];
    const projection = createStoreProjection({
        timer,
        log: silentLog,
        decoder: itemDecoder,
        registry,
        members: createMembers(timer, self),
        self: self.id,
        storeFailureAgeMs: () => undefined,
        ownStoreFailureAgeMs: () => undefined,
        storeFailureSource: () => "own",
        copyRevision: () => 0,
        onRegistrationLost: () => {},
        onDocumentAccepted: document => acceptedDocuments.push(document),
    });
    const write = (key: string, value: string, revision: number): void =>
        projection.apply({ kind: "written", item: { key, value: Buffer.from(value), revision } });
    write("config", "7", 1);
    write("config", "5", 2);
    write("config", "seven", 3);
    projection.apply({ kind: "removed", key: "config", revision: 4 });
    assert.deepEqual(acceptedDocuments.map(document => document.version), [7]);
    write("one", "10.0.0.1:80", 5);
    write("two", "", 6);
    assert.deepEqual([...registry.all()].map(target => target.record.id), ["one"]);
    write("one", "", 7);
    assert.deepEqual([...registry.all()], []);
    write("empty/cpt-a", "{}", 8);
    assert.equal(projection.isEvacuated(location.dataCentre), true);
    projection.apply({ kind: "removed", key: "empty/cpt-a", revision: 9 });
    assert.equal(projection.isEvacuated(location.dataCentre), false);
});

test("a member record round-trips through its encoding, and malformed records are refused", () => {
    const record = { id: toInstanceId("me"), callers: "a:1", mesh: "a:2", control: "a:3", ...location };
    const decoded = decodeMember(record.id, encodeMember(record));
    assert.deepEqual(decoded.isValid ? decoded.value : decoded.reason, record);
    assert.equal(decodeMember(record.id, Buffer.from("{}")).isValid, false);
    assert.equal(decodeMember(record.id, Buffer.from("[")).isValid, false);
});
