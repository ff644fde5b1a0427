/** Encoding of heartbeats: size limits, and rejection of foreign or truncated datagrams. */
import { type Fingerprint, toDataCentreId, toInstanceId, toServiceId, toTargetIncarnationId } from "@pimentospring/core/ids";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { decodeHeartbeat, encodeHeartbeat, type Heartbeat } from "../heartbeat.js";

const heartbeat: Heartbeat = {
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

test("heartbeats round-trip; one without poison reports takes less than 110 bytes, a poison report at most 60 more", () => {
    const bytes = encodeHeartbeat(heartbeat);
    assert.deepEqual(decodeHeartbeat(bytes), heartbeat);
    const plainBytes = encodeHeartbeat({ ...heartbeat, poison: [] });
    assert.ok(plainBytes.length < 110, `${plainBytes.length} bytes`);
    assert.ok(bytes.length < 110 + 60, `${bytes.length} bytes`);
});

test("decoding arbitrary or truncated bytes never throws", () => {
    fc.assert(fc.property(fc.uint8Array({ maxLength: 200 }), bytes => {
        const decoded = decodeHeartbeat(Buffer.from(bytes));
        assert.ok(decoded === undefined || typeof decoded.sender === "string");
    }));
    const complete = encodeHeartbeat(heartbeat);
    for (let length = 0; length < complete.length; length++) {
        decodeHeartbeat(complete.subarray(0, length));
    }
});
