/** Load of a data centre as received by entries of other data centres. */
import {
    type Fingerprint,
    toDataCentreId,
    toInstanceId,
    toRegionId,
    toServiceId,
    toTargetIncarnationId,
} from "@pimentospring/core/ids";
import type { PoisonReport } from "@pimentospring/core/poison/poisonList";
import { createMembers, type MemberRecord } from "@pimentospring/core/steering/members";
import { createVirtualTimer, type VirtualTimer } from "@pimentospring/core/time/virtualTimer";
import type { Log } from "@pimentospring/runtime/logs/log";
import assert from "node:assert/strict";
import { createSocket } from "node:dgram";
import { test } from "node:test";
import { createUdpSocket } from "../datagramSocket.js";
import { decodeHeartbeat, encodeHeartbeat, type Heartbeat } from "../heartbeat.js";
import { createMesh, type Mesh, type MeshOptions } from "../mesh.js";

const service = toServiceId("tokens");
const silentLog = { write: () => {} } as unknown as Log;
const pause = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

/** Returns a loopback UDP address with a port that was free when probed. */
function freeAddress(): Promise<string> {
    return new Promise(resolve => {
        const socket = createSocket("udp4");
        socket.bind(0, "127.0.0.1", () => {
            const { port } = socket.address();
            socket.close(() => resolve(`127.0.0.1:${port}`));
        });
    });
}

async function recordOf(id: string, dataCentre: string): Promise<MemberRecord> {
    return {
        id: toInstanceId(id),
        callers: "",
        mesh: await freeAddress(),
        control: "",
        dataCentre: toDataCentreId(dataCentre),
        region: toRegionId(dataCentre.split("-")[0]!),
    };
}

type MeshParts = Pick<MeshOptions, "ownLoads" | "revision" | "onHeartbeat">;

/** Starts the mesh of an entry that knows all of `records`. */
async function startMesh(
    timer: VirtualTimer,
    self: MemberRecord,
    records: readonly MemberRecord[],
    parts: MeshParts,
): Promise<Mesh> {
    const members = createMembers(timer, self);
    members.replaceAll(records.filter(record => record !== self));
    const mesh = createMesh({
        timer,
        log: silentLog,
        socket: createUdpSocket(),
        self,
        members,
        leavingTargets: () => [],
        poisonReports: () => [],
        isWatching: () => true,
        onUnknownHeartbeat: () => {},
        takeDigest: () => undefined,
        onDigest: () => {},
        ...parts,
    });
    await mesh.start();
    return mesh;
}

test("other data centres receive the total load of a data centre's entries", { timeout: 10_000 }, async () => {
    const timer = createVirtualTimer();
    const records = [await recordOf("a1", "cpt-a"), await recordOf("a2", "cpt-a"), await recordOf("b1", "jhb-a")];
    const slots = new Map([["a1", 5], ["a2", 7], ["b1", 1]]);
    const receivedSlots = new Map<string, number>();
    const start = (self: MemberRecord): Promise<Mesh> =>
        startMesh(timer, self, records, {
            ownLoads: () => ({ dataCentre: self.dataCentre, entry: self.id, loads: [{ service, slots: slots.get(self.id)! }] }),
            revision: () => 1,
            onHeartbeat: heartbeat => {
                const cptLoads = heartbeat.loads.filter(({ dataCentre }) => dataCentre === "cpt-a");
                if (self.id === "b1") {
                    cptLoads.forEach(({ entry, loads }) => receivedSlots.set(entry, loads[0]!.slots));
                }
            },
        });
    const meshes = await Promise.all(records.map(start));
    for (let round = 0; round < 3; round++) {
        timer.advance(1_000);
        await pause(50);
    }
    meshes.forEach(mesh => mesh.close());
    assert.equal([...receivedSlots.values()].reduce((sum, count) => sum + count, 0), 12);
});

test(
    "a revision announced everywhere reaches the relays of other data centres before the next heartbeat",
    { timeout: 10_000 },
    async () => {
        const timer = createVirtualTimer();
        const records = [await recordOf("a1", "cpt-a"), await recordOf("b1", "jhb-a"), await recordOf("b2", "jhb-a")];
        const heard = new Map<string, number[]>(records.map(({ id }) => [id, []]));
        const start = (self: MemberRecord): Promise<Mesh> =>
            startMesh(timer, self, records, {
                ownLoads: () => ({ dataCentre: self.dataCentre, entry: self.id, loads: [] }),
                revision: () => 7,
                onHeartbeat: heartbeat => heard.get(self.id)!.push(heartbeat.revision),
            });
        const meshes = await Promise.all(records.map(start));
        // Entries that have just started send their first heartbeats at once.
        timer.advance(100);
        await pause(50);
        heard.forEach(revisions => revisions.length = 0);
        meshes[0]!.announceRevision("dataCentre");
        timer.advance(100);
        await pause(50);
        assert.deepEqual([...heard.values()], [[], [], []]);
        meshes[0]!.announceRevision("dataCentre");
        meshes[0]!.announceRevision("everywhere");
        meshes[0]!.announceRevision("dataCentre");
        timer.advance(100);
        await pause(50);
        meshes.forEach(mesh => mesh.close());
        assert.deepEqual([...heard.values()], [[], [7], []]);
    },
);

const heartbeatFrom = (id: string): Heartbeat => ({
    sender: toInstanceId(id),
    isLeaving: false,
    isWatching: true,
    revision: 1,
    loads: [],
    poison: [],
    requestsRecord: false,
    record: undefined,
    leavingTargets: [],
});

/** A mesh on a socket that records what is sent; `receive` delivers a datagram from the address. */
async function startIsolatedMesh(timer: VirtualTimer, self: MemberRecord, poison: readonly PoisonReport[] = []) {
    const members = createMembers(timer, self, member => mesh.sendReportsTo(member));
    const sent: Heartbeat[] = [];
    let receive = (_bytes: Buffer, _address: string): void => {};
    const mesh = createMesh({
        timer,
        log: silentLog,
        socket: {
            bind: (_address, listeners) => {
                receive = listeners.onDatagram;
                return Promise.resolve();
            },
            send: (_address, bytes) => void sent.push(decodeHeartbeat(bytes)!),
            close: () => {},
        },
        self,
        members,
        ownLoads: () => ({ dataCentre: self.dataCentre, entry: self.id, loads: [] }),
        revision: () => 1,
        leavingTargets: () => [],
        poisonReports: () => poison,
        isWatching: () => true,
        onHeartbeat: () => {},
        onUnknownHeartbeat: () => {},
        takeDigest: () => undefined,
        onDigest: () => {},
    });
    await mesh.start();
    return { mesh, members, sent, receive: (bytes: Buffer) => receive(bytes, "127.0.0.1:9") };
}

test("an entry that stays unknown is asked for its record once a heartbeat, however often it is heard", async () => {
    const timer = createVirtualTimer();
    const self = await recordOf("a1", "cpt-a");
    const { sent, receive } = await startIsolatedMesh(timer, self);
    const unknown = heartbeatFrom("b1");
    for (let count = 0; count < 500; count++) {
        receive(encodeHeartbeat(unknown));
        timer.advance(10);
    }
    assert.ok(sent.length >= 4 && sent.length <= 6, `${sent.length} requests in five seconds`);
});

test("an entry does not respond to its own heartbeats", async () => {
    const timer = createVirtualTimer();
    const self = await recordOf("a1", "cpt-a");
    const { sent, receive } = await startIsolatedMesh(timer, self);
    receive(encodeHeartbeat({ ...heartbeatFrom(self.id), requestsRecord: true }));
    assert.deepEqual(sent, []);
});

test("an entry that is heard of for the first time, or after a silence, gets the poison reports at once", async () => {
    const timer = createVirtualTimer();
    const report: PoisonReport = {
        fingerprint: "0123456789abcdef" as Fingerprint,
        targetIncarnation: toTargetIncarnationId("i-1@1"),
        isCleared: false,
        ageMs: 0,
    };
    const { sent, receive } = await startIsolatedMesh(timer, await recordOf("a1", "cpt-a"), [report]);
    const record = { ...await recordOf("b1", "cpt-a"), callers: "127.0.0.1:1", control: "127.0.0.1:2" };
    const other = { ...heartbeatFrom("b1"), record };
    receive(encodeHeartbeat(other));
    assert.deepEqual(sent.map(({ poison }) => poison), [[report]]);
    receive(encodeHeartbeat(other));
    assert.equal(sent.length, 1);
    timer.advance(60_000);
    sent.length = 0;
    receive(encodeHeartbeat(other));
    assert.deepEqual(sent.map(({ poison }) => poison), [[report]]);
});

test("an entry that leaves sends the poison reports to one that the store lists for the first time", async () => {
    const report: PoisonReport = {
        fingerprint: "0123456789abcdef" as Fingerprint,
        targetIncarnation: toTargetIncarnationId("i-1@1"),
        isCleared: false,
        ageMs: 0,
    };
    const { mesh, members, sent } = await startIsolatedMesh(createVirtualTimer(), await recordOf("a1", "cpt-a"), [report]);
    mesh.announceLeaving();
    const other = await recordOf("b1", "jhb-a");
    members.addRegistered(other);
    members.addRegistered(other);
    assert.deepEqual(sent.map(({ poison, isLeaving }) => ({ poison, isLeaving })), [{ poison: [report], isLeaving: true }]);
});

test("unknown senders are not all asked for their records, however many there are", async () => {
    const { sent, receive } = await startIsolatedMesh(createVirtualTimer(), await recordOf("a1", "cpt-a"));
    for (let count = 0; count < 5_000; count++) {
        receive(encodeHeartbeat(heartbeatFrom(`made-up-${count}`)));
    }
    assert.ok(sent.length <= 1_000, `${sent.length} requests`);
});
