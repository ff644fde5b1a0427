import type { Document } from "@pimentospring/core/document/schema";
import assert from "node:assert/strict";
import { test } from "node:test";
import { err, ok } from "true-myth/result";
import { readHistory, submitChange } from "../platform/changes.js";
import type { CompareAndSwap, Store, StoredValue } from "../platform/store.js";

interface FakeStore extends Store {
    /** Results of the next compare-and-swaps: applied, applied with the response lost, not applied with the response lost. */
    readonly swapResults: ("applied" | "lost" | "dropped")[];
    isDown: boolean;
    swapCount: number;
}

function createFakeStore(): FakeStore {
    const values = new Map<string, StoredValue>();
    let revision = 0;
    const store: FakeStore = {
        swapResults: [],
        isDown: false,
        swapCount: 0,
        get: async key => store.isDown ? err({ reason: "down" }) : ok(values.get(key)),
        list: async prefix =>
            store.isDown
                ? err({ reason: "down" })
                : ok([...values].filter(([key]) => key.startsWith(prefix)).map(([, value]) => value)),
        compareAndSwap: async (swap: CompareAndSwap) => {
            const result = store.swapResults.shift() ?? "applied";
            store.swapCount++;
            const isUnchanged = (values.get(swap.key)?.modRevision ?? 0) === swap.modRevision;
            if (result !== "dropped" && isUnchanged) {
                revision++;
                swap.puts.forEach(put => values.set(put.key, { text: put.text, modRevision: revision }));
            }
            return result === "applied" ? ok(isUnchanged) : err({ reason: "response lost" });
        },
        watch: () => () => {},
        close: async () => {},
    };
    return store;
}

const document = { schema: 1, regions: [{ id: "cpt", dataCentres: [{ id: "cpt-a", entries: 2 }] }] };
const leaving = (address: string) => (current: Document | undefined) => ({ ...current!, leavingEntries: [address] });
const submit = (store: Store, edit: (current: Document | undefined) => unknown, basedOn?: number) =>
    submitChange(store, { by: "test", at: 0, basedOn, edit });

test("a write whose response is lost is found by reading back, and applied once", async () => {
    for (const result of ["lost", "dropped"] as const) {
        const store = createFakeStore();
        await submit(store, () => document);
        store.swapResults.push(result);
        const outcome = await submit(store, leaving("10.0.0.1:7000"));
        assert.equal(outcome.code.name, "applied", result);
        assert.equal(outcome.revision, 2);
        const history = (await readHistory(store)).unwrapOr([]);
        assert.deepEqual(history.map(record => record.revision), [1, 2]);
    }
});

test("a write whose response is lost is reported as applied even when another operator's change follows it", async () => {
    const store = createFakeStore();
    await submit(store, () => document);
    store.swapResults.push("lost");
    const swap = store.compareAndSwap;
    let isFirst = true;
    store.compareAndSwap = async given => {
        const answer = await swap(given);
        if (isFirst) {
            isFirst = false;
            await submit(store, leaving("10.0.0.2:7000"));
        }
        return answer;
    };
    assert.equal((await submit(store, leaving("10.0.0.1:7000"))).code.name, "applied");
    assert.equal((await readHistory(store)).unwrapOr([]).length, 3);
});

test("a dropped write is reported as a conflict when another operator's change comes first", async () => {
    const store = createFakeStore();
    await submit(store, () => document);
    store.swapResults.push("dropped");
    const swap = store.compareAndSwap;
    let isFirst = true;
    store.compareAndSwap = async given => {
        const answer = await swap(given);
        if (isFirst) {
            isFirst = false;
            await submit(store, leaving("10.0.0.2:7000"));
        }
        return answer;
    };
    const outcome = await submit(store, leaving("10.0.0.1:7000"));
    assert.equal(outcome.code.name, "conflict");
    assert.equal(outcome.inStore?.revision, 2);
});

test("of two changes based on one revision exactly one is applied", async () => {
    const store = createFakeStore();
    await submit(store, () => document);
    const outcomes = await Promise.all([1, 2].map(number => submit(store, leaving(`10.0.0.${number}:7000`), 1)));
    assert.deepEqual(outcomes.map(outcome => outcome.code.name).sort(), ["applied", "conflict"]);
});

test("nothing is written for an invalid document, for no change or while the store is down", async () => {
    const store = createFakeStore();
    await submit(store, () => document);
    assert.equal((await submit(store, () => ({ schema: 2 }))).code.name, "invalidDocument");
    assert.equal((await submit(store, current => current)).code.name, "noChange");
    store.isDown = true;
    assert.equal((await submit(store, leaving("10.0.0.1:7000"))).code.name, "storeUnreachable");
    assert.equal(store.swapCount, 1);
});
