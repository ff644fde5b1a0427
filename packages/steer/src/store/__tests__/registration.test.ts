/** An entry's record in the store when the entry stops, or when the store's calls take long. */
import { toInstanceId } from "@pimentospring/core/ids";
import { createRandom } from "@pimentospring/core/random/random";
import { createVirtualTimer, type VirtualTimer } from "@pimentospring/core/time/virtualTimer";
import { silentLog } from "@pimentospring/runtime/logs/log";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createRegistration, type Registration } from "../registration.js";
import type { StoreCalls } from "../storeCalls.js";
import { memberKey } from "../storeItems.js";
import { createFakeStore } from "./fakeStore.js";

const stepMs = 10;

async function advance(timer: VirtualTimer, ms: number): Promise<void> {
    for (let passedMs = 0; passedMs < ms; passedMs += stepMs) {
        timer.advance(stepMs);
        await new Promise(resolve => setImmediate(resolve));
    }
}

function startRegistration(store: StoreCalls, timer: VirtualTimer): Registration {
    const registration = createRegistration({
        store,
        timer,
        random: createRandom(1),
        log: silentLog,
        key: memberKey(toInstanceId("me")),
        value: Buffer.from("{}"),
        onSilence: () => {},
        onResponse: () => {},
    });
    registration.start();
    return registration;
}

test("an entry that stops while it waits for a lease does not write its record afterwards", async () => {
    const store = createFakeStore();
    const timer = createVirtualTimer();
    let answer: () => void = () => {};
    const answered = new Promise<void>(resolve => answer = resolve);
    const slowStore = { ...store, grantLease: (lifetimeMs: number) => answered.then(() => store.grantLease(lifetimeMs)) };
    const registration = startRegistration(slowStore, timer);
    await advance(timer, 100);
    await registration.deregister();
    answer();
    await advance(timer, 5_000);
    assert.equal(store.writes.length, 0);
    assert.deepEqual(store.calls, ["grantLease", "revokeLease"]);
});

// Guards against a record that hangs from a lease which the store has given to another entry since.
test("a record is written again with a new lease once the store is in a new era, though the old lease can be renewed", async () => {
    const store = createFakeStore();
    const timer = createVirtualTimer();
    startRegistration(store, timer);
    await advance(timer, 1_000);
    store.currentEra = 1;
    await advance(timer, 6_000);
    assert.equal(store.writes.length, 2);
    const [before, after] = store.writes.map(({ puts }) => puts[0]!.lease);
    assert.notEqual(before, after);
});

test("an entry that stops after the store came back removes its record and not a lease of the era before", async () => {
    const store = createFakeStore();
    const timer = createVirtualTimer();
    const registration = startRegistration(store, timer);
    await advance(timer, 1_000);
    store.currentEra = 1;
    await registration.deregister();
    assert.equal(store.calls.includes("revokeLease"), false);
    assert.deepEqual(store.writes.at(-1)!.removes, [memberKey(toInstanceId("me"))]);
});
