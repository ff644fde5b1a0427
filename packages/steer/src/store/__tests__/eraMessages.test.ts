/** Eras in messages between entries, and the bounds of what is remembered of removals. */
import { toInstanceId } from "@pimentospring/core/ids";
import { createVirtualTimer } from "@pimentospring/core/time/virtualTimer";
import { Packr } from "msgpackr";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
    decodeStateRequest,
    decodeStoreUpdate,
    encodeStateRequest,
    encodeStoreUpdate,
    type StoreUpdate,
} from "../peerMessages.js";
import { createRemovalRecord } from "../removalRecord.js";
import { toStoreRevision } from "../storeRevision.js";

const packr = new Packr({ useRecords: false });
const request = { id: toInstanceId("a"), record: Buffer.from("{}") };

const updateIn = (era: number): StoreUpdate[] => {
    const item = { key: "k", value: Buffer.from("v"), revision: toStoreRevision(era, 3) };
    return [
        { kind: "state", failureAgeMs: undefined, revision: toStoreRevision(era, 5), items: [item] },
        {
            kind: "changes",
            failureAgeMs: 7,
            revision: toStoreRevision(era, 5),
            events: [{ kind: "written", item }, { kind: "removed", key: "x", revision: toStoreRevision(era, 4) }],
        },
    ];
};

test("requests and updates round-trip with their era", () => {
    for (const era of [0, 1, 4_095]) {
        const after = toStoreRevision(era, 2 ** 40 - 1);
        assert.deepEqual(decodeStateRequest(encodeStateRequest({ ...request, after })), { ...request, after });
        updateIn(era).forEach(update => assert.deepEqual(decodeStoreUpdate(encodeStoreUpdate(update)), update));
    }
});

test("messages of era 0 are those of versions without eras, and eras out of range are refused", () => {
    assert.deepEqual(Object.keys(packr.unpack(encodeStateRequest({ ...request, after: 5 })) as object), [
        "id",
        "record",
        "after",
    ]);
    assert.equal(Object.hasOwn(packr.unpack(encodeStoreUpdate(updateIn(0)[0]!)) as object, "era"), false);
    for (const era of [-1, 1.5, 4_096, Number.NaN, "1"]) {
        assert.equal(decodeStateRequest(packr.pack({ ...request, after: 5, era })), undefined);
        assert.equal(decodeStoreUpdate(packr.pack({ kind: "state", revision: 5, items: [], era })), undefined);
    }
});

test("removals are remembered for a bounded time and number, and a later generation is not one that was removed", () => {
    const timer = createVirtualTimer();
    const removals = createRemovalRecord(timer);
    removals.add("a", 5);
    assert.deepEqual([4, 5, 6].map(generation => removals.has("a", generation)), [true, true, false]);
    for (let number = 0; number < 10_000; number++) {
        removals.add(`b${number}`);
    }
    assert.equal(removals.has("a", 5), false);
    assert.ok(removals.has("b0") && removals.has("b9999"));
    removals.delete("b0");
    assert.equal(removals.has("b0"), false);
    timer.advance(120_000);
    assert.equal(removals.has("b9999"), false);
});
