/** Where the list of the store's items ends. */
import { createRandom } from "@pimentospring/core/random/random";
import { createVirtualTimer } from "@pimentospring/core/time/virtualTimer";
import { silentLog } from "@pimentospring/runtime/logs/log";
import assert from "node:assert/strict";
import { test } from "node:test";
import { setImmediate as nextTurn } from "node:timers/promises";
import type { StoreEvent } from "../store.js";
import { createStoreReplica } from "../storeReplica.js";
import { createFakeStore } from "./fakeStore.js";

const stepMs = 50;

// Guards against items that vanish: a page that says that more follow, and holds none, ended the list.
test("a list of pages ends only with a page that says so", async () => {
    const timer = createVirtualTimer();
    const store = createFakeStore();
    const events: StoreEvent[] = [];
    const replica = createStoreReplica({
        store,
        timer,
        random: createRandom(1),
        log: silentLog,
        prefix: "",
        watchPauseMs: () => 100,
        isWatchNeeded: () => true,
        looksForChanges: () => false,
        maxRetryIntervalMs: () => 1_000,
        onEvent: event => void events.push(event),
        onBatchApplied: () => {},
        onNewEra: () => {},
        onStoreAdvanced: () => {},
    });
    const advance = async (durationMs: number): Promise<void> => {
        for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
            await nextTurn();
            timer.advance(stepMs);
        }
        await nextTurn();
    };
    const keys = (): string[] => replica.snapshot().items.map(item => item.key).sort();
    ["a", "b", "c"].forEach(key => store.put(key, "1"));
    replica.start();
    await advance(200);
    assert.deepEqual(keys(), ["a", "b", "c"]);
    const { range } = store;
    store.range = async (prefix, after, limits) =>
        (await range(prefix, after, limits)).map(page => after === undefined ? page : { ...page, items: [], hasMore: true });
    store.put("d", "1");
    store.compactedBefore = 1_000;
    await advance(2_000);
    assert.deepEqual(keys(), ["a", "b", "c"]);
    assert.deepEqual(events.filter(({ kind }) => kind === "removed"), []);
    store.range = range;
    await advance(2_000);
    assert.deepEqual(keys(), ["a", "b", "c", "d"]);
});
