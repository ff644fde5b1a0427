/** Quota reports between entries: their encoding, and that entries of two data centres share a limit through them. */
import { type InstanceId, toDataCentreId, toInstanceId, toRegionId } from "@pimentospring/core/ids";
import { createSharedLimit } from "@pimentospring/core/limits/quotaLimit";
import type { QuotaReport } from "@pimentospring/core/limits/quotaReport";
import { createRandom } from "@pimentospring/core/random/random";
import { createMembers, type MemberRecord } from "@pimentospring/core/steering/members";
import { createVirtualTimer, type VirtualTimer } from "@pimentospring/core/time/virtualTimer";
import type { Log } from "@pimentospring/runtime/logs/log";
import { Packr } from "msgpackr";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { DatagramListeners, DatagramSocket } from "../datagramSocket.js";
import { decodeHeartbeat, encodeHeartbeat, type Heartbeat } from "../heartbeat.js";
import { createMesh } from "../mesh.js";

const packr = new Packr({ useRecords: false });
const heartbeat: Heartbeat = {
    sender: toInstanceId("a1"),
    isLeaving: false,
    isWatching: true,
    revision: 7,
    loads: [],
    poison: [],
    requestsRecord: false,
    record: undefined,
    leavingTargets: [],
};
const reports: readonly QuotaReport[] = [
    { kind: "instance", sequence: 9, hasContact: true, uses: [{ key: 0xfedcba98, count: 70_000 }] },
    {
        kind: "dataCentre",
        dataCentre: toDataCentreId("cpt-a"),
        instanceCount: 24,
        knownCount: 71,
        heardRelays: [1, 2],
        isComplete: true,
        uses: [{ key: 1, count: 2 }],
    },
    {
        kind: "total",
        instanceCount: 70,
        knownCount: 71,
        included: [{ instance: 0xffffffff, sequence: 9 }],
        uses: [{ key: 1, count: 2, silentCount: 3 }],
    },
];

test("each kind of quota report is the same after decoding, in a datagram that older versions accept", () => {
    for (const quotaReport of reports) {
        const bytes = encodeHeartbeat({ ...heartbeat, quotaReport });
        assert.deepEqual(decodeHeartbeat(bytes), { ...heartbeat, quotaReport });
        const row = packr.unpack(bytes) as unknown[];
        assert.deepEqual(decodeHeartbeat(packr.pack(row.slice(0, 7))), heartbeat);
    }
});

test("a malformed quota report is ignored and the rest of the heartbeat is not", () => {
    const row = packr.unpack(encodeHeartbeat({ ...heartbeat, quotaReport: reports[0]! })) as unknown[];
    for (
        const malformed of [7, [], [9], [0, -1, true, Buffer.alloc(7)], [0, 1, true, Buffer.alloc(6)], [1, "dc"], [
            2,
            1,
            1,
            "",
            "",
        ]]
    ) {
        assert.deepEqual(decodeHeartbeat(packr.pack([...row.slice(0, 8), malformed])), heartbeat);
    }
});

const recordOf = (id: string, dataCentre: string): MemberRecord => ({
    id: toInstanceId(id),
    callers: "",
    mesh: id,
    control: "",
    dataCentre: toDataCentreId(dataCentre),
    region: toRegionId(dataCentre.slice(0, 3)),
});

/** Delivers datagrams within the process; those from and to `down` are lost. */
function createNetwork(timer: VirtualTimer) {
    const listeners = new Map<string, DatagramListeners>();
    const down = new Set<string>();
    let count = 0;
    const socketOf = (self: string): DatagramSocket => ({
        bind: (address, listener) => {
            listeners.set(address, listener);
            return Promise.resolve();
        },
        send: (address, bytes) => {
            count++;
            if (!down.has(self) && !down.has(address)) {
                timer.after(1, () => listeners.get(address)?.onDatagram(bytes, self));
            }
        },
        close: () => {},
    });
    return { socketOf, down, sentCount: () => count };
}

async function startEntries(hasQuotas: boolean) {
    const timer = createVirtualTimer();
    const network = createNetwork(timer);
    const records = ["cpt-a", "cpt-a", "cpt-a", "jhb-a", "jhb-a"].map((dataCentre, index) => recordOf(`e${index}`, dataCentre));
    const start = async (self: MemberRecord) => {
        const members = createMembers(timer, self);
        members.replaceAll(records);
        const limit = createSharedLimit<string>({
            timer,
            random: createRandom(1),
            self: self.id,
            dataCentre: self.dataCentre,
            bounds: () => ({ windowMs: 5_000, overshoot: 0, slack: 0 }),
            isEnabled: () => hasQuotas,
            instances: members.limitSharers,
        });
        const mesh = createMesh({
            timer,
            log: { write: () => {} } as unknown as Log,
            socket: network.socketOf(self.id),
            self,
            members,
            ownLoads: () => ({ dataCentre: self.dataCentre, entry: self.id, loads: [] }),
            revision: () => 1,
            leavingTargets: () => [],
            poisonReports: () => [],
            isWatching: () => true,
            onHeartbeat: (_, member) => members.recordDataCentreAlive(member.record.dataCentre),
            onUnknownHeartbeat: () => {},
            takeDigest: () => undefined,
            onDigest: () => {},
            quotaReports: limit,
        });
        await mesh.start();
        return limit;
    };
    const limits = await Promise.all(records.map(start));
    return { timer, network, limits };
}

test("entries of two data centres are in contact, also after a relay has died", async () => {
    const { timer, network, limits } = await startEntries(true);
    timer.advance(2_000);
    assert.deepEqual(limits.map(limit => limit.hasContact()), [true, true, true, true, true]);
    const quota = { ratePerSecond: 4, burst: 0 };
    const isAdmitted = (entry: number): boolean => limits[entry]!.tryTake("w", quota).kind === "admitted";
    for (let count = 0; count < 30; count++) {
        timer.advance(60);
        isAdmitted(2);
    }
    timer.advance(1_000);
    assert.equal(isAdmitted(3), false, "the other data centre knows that the quota is used up");
    const dead: InstanceId = toInstanceId("e0");
    network.down.add(dead);
    for (let elapsedMs = 0; elapsedMs < 6_000; elapsedMs += 100) {
        timer.advance(100);
        assert.ok(limits.slice(1).every(limit => limit.hasContact()), `contact lost after ${elapsedMs} ms`);
    }
    assert.ok(isAdmitted(3) && isAdmitted(4) && isAdmitted(1));
});

test("without quotas nothing is sent about them", async () => {
    const withQuotas = await startEntries(true);
    const without = await startEntries(false);
    [withQuotas, without].forEach(({ timer }) => timer.advance(10_000));
    const heartbeatsAtMost = 5 * 5 * 12;
    assert.ok(without.network.sentCount() <= heartbeatsAtMost);
    assert.ok(withQuotas.network.sentCount() > 2 * heartbeatsAtMost);
});

// Guards against sums of made-up data centres, which would grow a table without bound and use up the limit.
test("a report on another data centre than its sender's is ignored", async () => {
    const { timer, network, limits } = await startEntries(true);
    timer.advance(2_000);
    for (let index = 0; index < 50; index++) {
        const report = { ...reports[1]!, dataCentre: toDataCentreId(`dbn-${index}`), knownCount: 1_000 } as QuotaReport;
        network.socketOf("e0").send("e3", encodeHeartbeat({ ...heartbeat, sender: toInstanceId("e0"), quotaReport: report }));
    }
    timer.advance(300);
    const quota = { ratePerSecond: 4, burst: 0 };
    const admitted = Array.from({ length: 10 }, () => limits[3]!.tryTake("w", quota).kind === "admitted");
    assert.ok(admitted.filter(Boolean).length >= 5, `${admitted.filter(Boolean).length} of 10`);
    assert.ok(limits[3]!.hasContact());
});
