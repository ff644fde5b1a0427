/** Secrets in the store's items are not kept, whichever way the items come. */
import { silentLog } from "@pimentospring/runtime/logs/log";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createReplicatedItems } from "../replicatedItems.js";
import type { StoreEvent, StoreItem } from "../store.js";

const item = (key: string, revision: number): StoreItem => ({ key, value: Buffer.from("secret"), revision });
const valuesOf = (items: readonly StoreItem[]): string[] => items.map(({ key, value }) => `${key}: ${value.toString()}`);
const writtenItems = (events: readonly StoreEvent[]): StoreItem[] =>
    events.flatMap(event => event.kind === "written" ? [event.item] : []);

// Guards against secrets from the store, or from a peer of a version that does not redact them, that are kept or passed on.
test("values are redacted in snapshots and changes, before anything is told of them", () => {
    const events: StoreEvent[] = [];
    const items = createReplicatedItems({
        log: silentLog,
        onEvent: event => events.push(event),
        onBatchApplied: () => {},
        onNewEra: () => {},
        redact: (key, value) => key === "other" ? value : Buffer.from("digest"),
    });
    items.applySnapshot({ revision: 2, items: [item("a", 1), item("other", 2)] });
    items.applyChanges([{ kind: "written", item: item("b", 3) }, { kind: "removed", key: "other", revision: 4 }], 4);
    assert.deepEqual(valuesOf(items.snapshot().items), ["a: digest", "b: digest"]);
    const update = items.updateSince(2);
    assert.ok(update.kind === "changes");
    assert.deepEqual(valuesOf(writtenItems(update.events)), ["b: digest"]);
    assert.deepEqual(valuesOf(writtenItems(events)), ["a: digest", "other: secret", "b: digest"]);
});
