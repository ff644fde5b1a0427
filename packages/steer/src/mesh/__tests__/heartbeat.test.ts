/** Encoding of heartbeats: size limits, and rejection of foreign or truncated datagrams. */
import {
    type Fingerprint,
    toDataCentreId,
    toInstanceId,
    toRegionId,
    toServiceId,
    toTargetIncarnationId,
} from "@pimentospring/core/ids";
import type { MemberRecord } from "@pimentospring/core/steering/members";
import fc from "fast-check";
import { Packr } from "msgpackr";
import assert from "node:assert/strict";
import { test } from "node:test";
import { toStoreRevision } from "../../store/storeRevision.js";
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
        targetIncarnation: toTargetIncarnationId("i-7f3a91c2@1765000000000"),
        isCleared: false,
        ageMs: 345_000,
    }],
    requestsRecord: false,
    record: undefined,
    leavingTargets: [],
};

test("heartbeats round-trip; one without poison reports takes less than 110 bytes, a poison report at most 60 more", () => {
    const bytes = encodeHeartbeat(heartbeat);
    assert.deepEqual(decodeHeartbeat(bytes), heartbeat);
    const plainBytes = encodeHeartbeat({ ...heartbeat, poison: [] });
    assert.ok(plainBytes.length < 110, `${plainBytes.length} bytes`);
    assert.ok(bytes.length < 110 + 60, `${bytes.length} bytes`);
});

test("a heartbeat carries the sender's record and asks for the receiver's; a malformed record counts as absent", () => {
    const record: MemberRecord = {
        id: heartbeat.sender,
        callers: "10.0.0.1:80",
        mesh: "10.0.0.1:81",
        control: "10.0.0.1:82",
        dataCentre: toDataCentreId("cpt-a"),
        region: toRegionId("cpt"),
    };
    const introduction = { ...heartbeat, requestsRecord: true, record };
    assert.deepEqual(decodeHeartbeat(encodeHeartbeat(introduction)), introduction);
    const malformed = encodeHeartbeat({ ...introduction, record: { ...record, mesh: "nowhere" } });
    assert.deepEqual(decodeHeartbeat(malformed), { ...introduction, record: undefined });
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

test("a datagram brings a bounded number of rows, and overlong names are refused", () => {
    const rows = Array.from({ length: 3_000 }, (_, index) => index);
    const flood = decodeHeartbeat(encodeHeartbeat({
        ...heartbeat,
        loads: rows.map(index => ({ dataCentre: toDataCentreId(`d-${index}`), entry: `e-${index}`, loads: [] })),
        poison: rows.map(index => ({ ...heartbeat.poison[0]!, fingerprint: `f-${index}` as Fingerprint })),
        leavingTargets: rows.map(index => toTargetIncarnationId(`t-${index}@1`)),
    }))!;
    assert.ok(flood.loads.length <= 512 && flood.poison.length <= 64 && flood.leavingTargets.length <= 64);
    assert.equal(decodeHeartbeat(encodeHeartbeat({ ...heartbeat, sender: toInstanceId("a".repeat(10_000)) })), undefined);
});

test("a revision round-trips with its era; in era 0 the datagram is that of versions without eras", () => {
    const later = { ...heartbeat, revision: toStoreRevision(3, 412) };
    assert.deepEqual(decodeHeartbeat(encodeHeartbeat(later)), later);
    const leaving = { ...later, leavingTargets: [toTargetIncarnationId("t-1@1")] };
    assert.deepEqual(decodeHeartbeat(encodeHeartbeat(leaving)), leaving);
    const fields = new Packr({ useRecords: false }).unpack(encodeHeartbeat(heartbeat)) as unknown[];
    assert.equal(fields.length, 5);
    assert.equal(fields[2], 412);
});
