/**
 * `npm run bench -- capacity`: measures processor time, bytes and memory of each component at four or more sizes and
 * fits a line through them; `docs/CAPACITY.md` extrapolates these to the size of the full deployment.
 */
import { formatAccepted } from "@pimentospring/core/document/accepted";
import { createDocumentIndex } from "@pimentospring/core/document/documentIndex";
import type { Document } from "@pimentospring/core/document/schema";
import { validateDocument } from "@pimentospring/core/document/validate";
import { createEntryCore } from "@pimentospring/core/entryCore";
import { toChangeId, toDataCentreId, toFingerprint, toInstanceId, toRevision, toTargetId } from "@pimentospring/core/ids";
import { createLookup, type LookupEntry } from "@pimentospring/core/lookup/lookup";
import { formatAddress, type Prefix } from "@pimentospring/core/lookup/prefix";
import { createPrefixTable } from "@pimentospring/core/lookup/prefixTable";
import type { MemberInfo, PeerMessage } from "@pimentospring/core/membership/messages";
import { createOwnership } from "@pimentospring/core/membership/ownership";
import { createRandom } from "@pimentospring/core/random/random";
import type { CoreAction } from "@pimentospring/core/requests/events";
import { createTicketRegistry } from "@pimentospring/core/tickets/ticketRegistry";
import { createVirtualTimer } from "@pimentospring/core/time/virtualTimer";
import { encodeFrame } from "@pimentospring/entry/mesh/frames";
import { fitLine, type Point, printTable } from "./report.js";

/** Cost of one component as a function of a size. */
interface CostSeries {
    readonly role: string;
    readonly size: string;
    readonly unit: string;
    readonly points: readonly Point[];
}

const series: CostSeries[] = [];
const targetBlockCount = 360_000;

export async function capacityBench(): Promise<void> {
    series.length = 0;
    measureLookupTable();
    measureHeartbeats();
    measureOwnership();
    measureDocument();
    measureTickets();
    measureGrants();
    printTable(
        ["role", "size", "cost", ...["1", "2", "3", "4"].map(place => `point ${place}`), "base", "slope", "worst residual"],
        series.map(({ role, size, unit, points }) => {
            const fit = fitLine(points);
            return [
                role,
                size,
                unit,
                ...points.slice(0, 4).map(point => `${point.size}: ${formatCost(point.cost)}`),
                formatCost(fit.intercept),
                formatCost(fit.slope),
                `${(fit.maxResidualRatio * 100).toFixed(0)}%`,
            ];
        }),
    );
}

const formatCost = (value: number): string => Math.abs(value) >= 100 ? value.toFixed(0) : value.toPrecision(3);

/** Median processor time of several runs, in milliseconds. */
function medianCpuMs(work: () => void, rounds = 5): number {
    const times = Array.from({ length: rounds }, () => {
        const cpuAtStart = process.cpuUsage();
        work();
        const cpuUsed = process.cpuUsage(cpuAtStart);
        return (cpuUsed.user + cpuUsed.system) / 1000;
    });
    return times.sort((a, b) => a - b)[rounds >> 1]!;
}

function createBlocks(count: number): Prefix[] {
    const random = createRandom(7);
    const seen = new Set<number>();
    while (seen.size < count) {
        seen.add(random.below(2 ** 24));
    }
    return [...seen].map(start => ({ start: start * 256, end: start * 256 + 255, length: 24 }));
}

/** Builds the look-up table up to the required size, searches it and measures the pause that an update causes. */
function measureLookupTable(): void {
    const sizes = [45_000, 90_000, 180_000, targetBlockCount];
    const createTableEntries = (count: number) => createBlocks(count).map((prefix, at) => ({ prefix, value: at % 770 }));
    series.push({
        role: "look-up table, build",
        size: "blocks",
        unit: "ms CPU",
        points: sizes.map(size => {
            const entries = createTableEntries(size);
            return { size, cost: medianCpuMs(() => void createPrefixTable(entries)) };
        }),
    });
    series.push({
        role: "look-up table, memory",
        size: "blocks",
        unit: "bytes",
        points: sizes.map(size => ({
            size,
            cost: createPrefixTable(createTableEntries(size)).byteLength,
        })),
    });
    const random = createRandom(9);
    const callers = Array.from({ length: 1 << 16 }, () => random.below(2 ** 32 - 1));
    const lookupCount = 1_000_000;
    series.push({
        role: "look-up table, one search",
        size: "blocks",
        unit: "ns CPU",
        points: sizes.map(size => {
            const table = createPrefixTable(createTableEntries(size));
            let checksum = 0;
            const cost = medianCpuMs(() => {
                for (let at = 0; at < lookupCount; at++) {
                    checksum += table.find(callers[at & 0xffff]!);
                }
            });
            return { size, cost: checksum === 0 ? 0 : cost };
        }),
    });
    measureTableUpdate();
}

/** Rebuilds the table after one change, which blocks look-ups of the same thread, and measures whole look-up decisions. */
function measureTableUpdate(): void {
    const entries = createBlocks(targetBlockCount).map((prefix, at) => ({ prefix, value: at % 770 }));
    let table = createPrefixTable(entries);
    const startedAt = performance.now();
    table = createPrefixTable(entries.map((entry, at) => at === 0 ? { ...entry, value: 5 } : entry));
    const pauseMs = performance.now() - startedAt;
    process.stdout.write(
        `\none change at ${targetBlockCount} blocks: table of ${table.rangeCount} ranges, ${table.byteLength} bytes, rebuilt; `
            + `look-ups of this thread pause for ${pauseMs.toFixed(0)} ms\n`,
    );
    const lookupCount = 1_000_000;
    const lookUp = createLookup({
        index: createIndex(20_000),
        ownDataCentre: toDataCentreId("dc-0"),
        entries: createLookupEntries(82),
    });
    const runLookups = (): void => {
        for (let at = 0; at < lookupCount; at++) {
            lookUp((at * 2_654_435_761) >>> 0);
        }
    };
    runLookups();
    process.stdout.write(
        `whole look-up decisions: ${
            (lookupCount / medianCpuMs(runLookups) * 1000).toFixed(0)
        } per second and core (20,000 blocks, 82 entries)\n`,
    );
}

const createLookupEntries = (count: number): LookupEntry[] =>
    Array.from({ length: count }, (_, at) => ({
        instance: toInstanceId(`10.0.0.${at}:7000/r`),
        dataCentre: toDataCentreId(`dc-${at % 56}`),
        url: `http://10.0.0.${at}:8080`,
        isAnswering: true,
        isLeaving: false,
    }));

function createDocument(blocks: number): Document {
    const raw = {
        schema: 1,
        regions: Array.from({ length: 21 }, (_, region) => ({
            id: `r-${region}`,
            dataCentres: Array.from({ length: region < 14 ? 3 : 2 }, (_entry, at) => ({
                id: `dc-${region < 14 ? region * 3 + at : 42 + (region - 14) * 2 + at}`,
                entries: 82,
            })),
        })),
        services: [{
            id: "s",
            regions: ["r-0"],
            classes: [{ id: "c", methods: ["GET"], pathPrefix: "/", runs: "idempotent", lane: "short" }],
        }],
        targets: Array.from({ length: 770 }, (_, at) => ({
            id: `t-${at}`,
            service: "s",
            dataCentre: `dc-${at % 56}`,
            address: `10.9.${at >> 8}.${at & 255}:9000`,
            slots: 4,
        })),
        shifts: [],
        links: [],
        limits: [],
        leavingEntries: [],
        callerBlocks: createBlocks(blocks).map((prefix, at) => ({
            prefix: `${formatAddress(prefix.start)}/24`,
            dataCentre: `dc-${at % 56}`,
        })),
    };
    return raw as unknown as Document;
}

const createAccepted = (blocks: number) => ({
    revision: toRevision(1),
    changeId: toChangeId("c"),
    by: "b",
    at: 0,
    document: createDocument(blocks),
});

const createIndex = (blocks: number) => createDocumentIndex(createAccepted(blocks));

/** Processor time and bytes sent per second by an entry core whose `count` peers acknowledge its heartbeats. */
function measureHeartbeats(): void {
    const sizes = [4, 8, 16, 32, 64];
    const measured = sizes.map(count => ({ count, ...measureHeartbeatCost(count) }));
    series.push({
        role: "membership, full mesh of a data centre",
        size: "peers",
        unit: "ms CPU per second",
        points: measured.map(entry => ({ size: entry.count, cost: entry.cpuMs })),
    });
    series.push({
        role: "membership, full mesh of a data centre",
        size: "peers",
        unit: "bytes sent per second",
        points: measured.map(entry => ({ size: entry.count, cost: entry.bytes })),
    });
}

interface HeartbeatCost {
    readonly cpuMs: number;
    readonly bytes: number;
}

function measureHeartbeatCost(count: number): HeartbeatCost {
    const timer = createVirtualTimer();
    const createMemberInfo = (at: number): MemberInfo => ({
        instance: toInstanceId(`10.0.0.${at}:7000/mx8ls96u-59386${at % 10}`),
        dataCentre: toDataCentreId("dc-0"),
        url: `http://10.0.0.${at}:8080`,
    });
    const cores = new Map<string, ReturnType<typeof createEntryCore>>();
    let bytes = 0;
    const seconds = 20;
    for (let at = 0; at <= count; at++) {
        const self = createMemberInfo(at);
        const emit = (action: CoreAction): void => {
            if (action.kind !== "message") {
                return;
            }
            bytes += bytesOnWire(action.message);
            timer.after(
                1,
                () => cores.get(action.to)?.handle({ kind: "peerMessage", from: self.instance, message: action.message }),
            );
        };
        cores.set(self.instance, createEntryCore({ timer, random: createRandom(at), self, key: "key", emit }));
    }
    for (const core of cores.values()) {
        for (let at = 0; at <= count; at++) {
            if (cores.get(createMemberInfo(at).instance) !== core) {
                core.handle({ kind: "peerMet", peer: createMemberInfo(at) });
            }
        }
    }
    timer.advance(3_000);
    bytes = 0;
    const cpuMs = medianCpuMs(() => timer.advance(seconds * 1000), 1);
    return { cpuMs: cpuMs / seconds / (count + 1), bytes: bytes / seconds / (count + 1) };
}

/** Size of the WebSocket and TCP/IP headers of a small frame. */
const frameHeaderBytes = 46;
const bytesOnWire = (message: PeerMessage): number => encodeFrame({ kind: "message", message }).length + frameHeaderBytes;

function measureOwnership(): void {
    const sizes = [10, 20, 40, 80];
    series.push({
        role: "admission, ownership of 1,000 targets after a membership change",
        size: "entries",
        unit: "ms CPU",
        points: sizes.map(size => {
            const timer = createVirtualTimer();
            const self = toInstanceId("10.0.0.0:7000/r");
            const ownership = createOwnership({
                timer,
                self,
                maxEntries: () => size,
                maxRunMs: () => 1_000,
                isLeaving: () => false,
                undiscoveredCount: () => 0,
            });
            const targets = Array.from({ length: 1_000 }, (_, at) => toTargetId(`t-${at}`));
            ownership.configure([{ service: "s" as never, targets }]);
            const peers = Array.from({ length: size }, (_, at) => ({
                instance: toInstanceId(`10.0.0.${at + 1}:7000/r`),
                dataCentre: toDataCentreId("dc-0"),
                url: "",
                state: "alive" as const,
                leaseExpiresAt: Infinity,
                lastAckSentAt: 0,
                viewDigest: "",
                foreignLoads: [],
                revision: toRevision(1),
                roundTripMs: 1,
                lastReportNumber: 1,
                deliveredReportNumber: 1,
            }));
            let updateCount = 0;
            return { size, cost: medianCpuMs(() => void ownership.update(peers.slice(updateCount++ % 2)), 21) };
        }),
    });
}

function measureDocument(): void {
    const sizes = [2_000, 4_000, 8_000, 16_000];
    series.push({
        role: "configuration, loading a whole document",
        size: "blocks",
        unit: "ms CPU",
        points: sizes.map(size => {
            const text = formatAccepted(createAccepted(size));
            return {
                size,
                cost: medianCpuMs(() => {
                    const raw = JSON.parse(text) as { readonly document: unknown; };
                    validateDocument(raw.document);
                    createDocumentIndex(createAccepted(size));
                }),
            };
        }),
    });
    series.push({
        role: "configuration, size of the document",
        size: "blocks",
        unit: "bytes",
        points: sizes.map(size => ({
            size,
            cost: Buffer.byteLength(formatAccepted(createAccepted(size))),
        })),
    });
}

function measureTickets(): void {
    const sizes = [25_000, 50_000, 100_000, 200_000];
    series.push({
        role: "at most once, spent tickets",
        size: "tickets",
        unit: "bytes of heap",
        points: sizes.map(size => {
            globalThis.gc?.();
            const before = process.memoryUsage().heapUsed;
            const timer = createVirtualTimer();
            const registry = createTicketRegistry({ timer, self: toInstanceId("10.0.0.1:7000/r"), key: "key" });
            for (let at = 0; at < size; at++) {
                registry.spend(
                    { issuer: toInstanceId("10.0.0.1:7000/r"), serial: at, expiresAt: 600_000 },
                    toFingerprint(`s POST ${at} 0123456789abcdef`),
                );
            }
            globalThis.gc?.();
            const cost = process.memoryUsage().heapUsed - before;
            return { size: registry.spentCount(), cost };
        }),
    });
    series.push({
        role: "at most once, issuing tickets",
        size: "tickets",
        unit: "ms CPU",
        points: sizes.map(size => {
            const registry = createTicketRegistry({
                timer: createVirtualTimer(),
                self: toInstanceId("10.0.0.1:7000/r"),
                key: "key",
            });
            return {
                size,
                cost: medianCpuMs(() => {
                    for (let at = 0; at < size; at++) {
                        registry.issue();
                    }
                }, 3),
            };
        }),
    });
}

function measureGrants(): void {
    const sizes = [1, 2, 4, 8];
    const peers = 10;
    const grant: PeerMessage = {
        kind: "grant",
        service: "tokens",
        slots: 3,
        lifetimeMs: 1_000,
        medianMs: 9.25,
        owned: 2,
        ejected: 0,
    };
    const perSecond = 4;
    series.push({
        role: `forwarding, grants to ${peers} peers with demand`,
        size: "services",
        unit: "bytes sent per second",
        points: sizes.map(size => ({
            size,
            cost: size * peers * perSecond * bytesOnWire(grant),
        })),
    });
}
