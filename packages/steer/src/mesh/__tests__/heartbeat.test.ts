/** Encoding of heartbeats: size limits, and rejection of foreign or truncated datagrams. */
import { type Fingerprint, toDataCentreId, toInstanceId, toServiceId, toTargetIncarnationId } from "@pimentospring/core/ids";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { decodeHeartbeat, encodeHeartbeat, type Heartbeat } from "../heartbeat.js";

const news: Heartbeat = {
    sender: toInstanceId("front-cpt-a-1/abc"),
    isLeaving: false,
    isWatching: true,
    revision: 412,
    loads: [{
        dataCentre: toDataCentreId("cpt-a"),
        entry: "front-cpt-a-1",
        loads: [{ service: toServiceId("tokens"), slots: 3.4 }, { service: toServiceId("trails"), slots: 12 }],
    }],
    poison: [{
        fingerprint: "0123456789abcdef" as Fingerprint,
        deaths: 2,
        targetIncarnation: toTargetIncarnationId("i-7f3a91c2@1765000000000"),
    }],
};

test("news survive the way; a heartbeat takes less than 110 bytes, the run of a target that died 60 more", () => {
    const bytes = encodeHeartbeat(news);
    assert.deepEqual(decodeHeartbeat(bytes), news);
    const heartbeat = encodeHeartbeat({ ...news, poison: [] });
    assert.ok(heartbeat.length < 110, `${heartbeat.length} bytes`);
    assert.ok(bytes.length < 110 + 60, `${bytes.length} bytes`);
});

test("bytes that are not ours are nothing, whatever they are", () => {
    fc.assert(fc.property(fc.uint8Array({ maxLength: 200 }), bytes => {
        const read = decodeHeartbeat(Buffer.from(bytes));
        assert.ok(read === undefined || typeof read.sender === "string");
    }));
    const cut = encodeHeartbeat(news);
    for (let length = 0; length < cut.length; length++) {
        decodeHeartbeat(cut.subarray(0, length));
    }
});
