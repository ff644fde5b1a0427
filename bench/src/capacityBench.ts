/**
 * `npm run bench -- capacity`: slopes of processor time, bytes and memory for each role, at four or more sizes each,
 * from which `docs/CAPACITY.md` works out the target size.
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

/** One measured role: how its cost grows with a size. */
interface Row {
    readonly role: string;
    readonly size: string;
    readonly unit: string;
    readonly points: readonly Point[];
}

const rows: Row[] = [];
const targetBlocks = 360_000;

export async function capacityBench(): Promise<void> {
    rows.length = 0;
    lookupTable();
    heartbeats();
    ownershipCost();
    documentCost();
    ticketMemory();
    grantCost();
    printTable(
        ["role", "size", "cost", ...["1", "2", "3", "4"].map(place => `point ${place}`), "base", "slope", "worst residual"],
        rows.map(({ role, size, unit, points }) => {
            const fit = fitLine(points);
            return [
                role,
                size,
                unit,
                ...points.slice(0, 4).map(point => `${point.size}: ${show(point.cost)}`),
                show(fit.base),
                show(fit.slope),
                `${(fit.residual * 100).toFixed(0)}%`,
            ];
        }),
    );
}

const show = (value: number): string => Math.abs(value) >= 100 ? value.toFixed(0) : value.toPrecision(3);

/** Median of several timings, in milliseconds. */
function timeMs(work: () => void, rounds = 5): number {
    const times = Array.from({ length: rounds }, () => {
        const startedAt = process.cpuUsage();
        work();
        const used = process.cpuUsage(startedAt);
        return (used.user + used.system) / 1000;
    });
    return times.sort((a, b) => a - b)[rounds >> 1]!;
}

function blocksOf(count: number): Prefix[] {
    const random = createRandom(7);
    const seen = new Set<number>();
    while (seen.size < count) {
        seen.add(random.below(2 ** 24));
    }
    return [...seen].map(start => ({ start: start * 256, end: start * 256 + 255, length: 24 }));
}

/** The table at the letter's size, really built, looked up in, and swapped while look-ups go on. */
function lookupTable(): void {
    const sizes = [45_000, 90_000, 180_000, targetBlocks];
    const entriesOf = (count: number) => blocksOf(count).map((prefix, at) => ({ prefix, value: at % 770 }));
    rows.push({
        role: "look-up table, build",
        size: "blocks",
        unit: "ms CPU",
        points: sizes.map(size => {
            const entries = entriesOf(size);
            return { size, cost: timeMs(() => void createPrefixTable(entries)) };
        }),
    });
    rows.push({
        role: "look-up table, memory",
        size: "blocks",
        unit: "bytes",
        points: sizes.map(size => ({
            size,
            cost: createPrefixTable(entriesOf(size)).byteLength,
        })),
    });
    const random = createRandom(9);
    const callers = Array.from({ length: 1 << 16 }, () => random.below(2 ** 32 - 1));
    const finds = 1_000_000;
    rows.push({
        role: "look-up table, a match",
        size: "blocks",
        unit: "ns CPU",
        points: sizes.map(size => {
            const table = createPrefixTable(entriesOf(size));
            let found = 0;
            const cost = timeMs(() => {
                for (let at = 0; at < finds; at++) {
                    found += table.find(callers[at & 0xffff]!);
                }
            });
            return { size, cost: found === 0 ? 0 : cost };
        }),
    });
    updateDuringLookups();
}

/** Applies a change while look-ups go on in the same loop, and reports the longest stop of them. */
function updateDuringLookups(): void {
    const entries = blocksOf(targetBlocks).map((prefix, at) => ({ prefix, value: at % 770 }));
    let table = createPrefixTable(entries);
    const startedAt = performance.now();
    table = createPrefixTable(entries.map((entry, at) => at === 0 ? { ...entry, value: 5 } : entry));
    const stopMs = performance.now() - startedAt;
    process.stdout.write(
        `\none change at ${targetBlocks} blocks: table of ${table.rangeCount} ranges, ${table.byteLength} bytes, built anew; `
            + `look-ups of this thread stop for ${stopMs.toFixed(0)} ms\n`,
    );
    const lookups = 1_000_000;
    const find = createLookup({ index: indexOf(20_000), ownDataCentre: toDataCentreId("dc-0"), entries: lookupEntries(82) });
    const warm = (): void => {
        for (let at = 0; at < lookups; at++) {
            find((at * 2_654_435_761) >>> 0);
        }
    };
    warm();
    process.stdout.write(
        `whole look-up decisions: ${(lookups / timeMs(warm) * 1000).toFixed(0)} a second a core (20,000 blocks, 82 entries)\n`,
    );
}

const lookupEntries = (count: number): LookupEntry[] =>
    Array.from({ length: count }, (_, at) => ({
        instance: toInstanceId(`10.0.0.${at}:7000/r`),
        dataCentre: toDataCentreId(`dc-${at % 56}`),
        url: `http://10.0.0.${at}:8080`,
        isAnswering: true,
        isLeaving: false,
    }));

function documentOf(blocks: number): Document {
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
        callerBlocks: blocksOf(blocks).map((prefix, at) => ({
            prefix: `${formatAddress(prefix.start)}/24`,
            dataCentre: `dc-${at % 56}`,
        })),
    };
    return raw as unknown as Document;
}

const acceptedOf = (blocks: number) => ({
    revision: toRevision(1),
    changeId: toChangeId("c"),
    by: "b",
    at: 0,
    document: documentOf(blocks),
});

const indexOf = (blocks: number) => createDocumentIndex(acceptedOf(blocks));

/** A core with `count` peers that answer its heartbeats: processor time and bytes of one second. */
function heartbeats(): void {
    const sizes = [4, 8, 16, 32, 64];
    const measured = sizes.map(count => ({ count, ...heartbeatSecond(count) }));
    rows.push({
        role: "membership, full mesh of a data centre",
        size: "peers",
        unit: "ms CPU a second",
        points: measured.map(entry => ({ size: entry.count, cost: entry.cpuMs })),
    });
    rows.push({
        role: "membership, full mesh of a data centre",
        size: "peers",
        unit: "bytes sent a second",
        points: measured.map(entry => ({ size: entry.count, cost: entry.bytes })),
    });
}

interface HeartbeatCost {
    readonly cpuMs: number;
    readonly bytes: number;
}

function heartbeatSecond(count: number): HeartbeatCost {
    const timer = createVirtualTimer();
    const hint = (at: number): MemberInfo => ({
        instance: toInstanceId(`10.0.0.${at}:7000/mx8ls96u-59386${at % 10}`),
        dataCentre: toDataCentreId("dc-0"),
        url: `http://10.0.0.${at}:8080`,
    });
    const cores = new Map<string, ReturnType<typeof createEntryCore>>();
    let bytes = 0;
    const seconds = 20;
    for (let at = 0; at <= count; at++) {
        const self = hint(at);
        const emit = (action: CoreAction): void => {
            if (action.kind !== "message") {
                return;
            }
            bytes += frameBytes(action.message);
            timer.after(
                1,
                () => cores.get(action.to)?.handle({ kind: "peerMessage", from: self.instance, message: action.message }),
            );
        };
        cores.set(self.instance, createEntryCore({ timer, random: createRandom(at), self, key: "key", emit }));
    }
    for (const core of cores.values()) {
        for (let at = 0; at <= count; at++) {
            if (cores.get(hint(at).instance) !== core) {
                core.handle({ kind: "peerMet", peer: hint(at) });
            }
        }
    }
    timer.advance(3_000);
    bytes = 0;
    const cpuMs = timeMs(() => timer.advance(seconds * 1000), 1);
    return { cpuMs: cpuMs / seconds / (count + 1), bytes: bytes / seconds / (count + 1) };
}

/** WebSocket and TCP/IP headers of a small frame, in bytes. */
const headerBytes = 46;
const frameBytes = (message: PeerMessage): number => encodeFrame({ kind: "message", message }).length + headerBytes;

function ownershipCost(): void {
    const sizes = [10, 20, 40, 80];
    rows.push({
        role: "admission, ownership of 1,000 targets after a change of view",
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
            let turn = 0;
            return { size, cost: timeMs(() => void ownership.update(peers.slice(turn++ % 2)), 21) };
        }),
    });
}

function documentCost(): void {
    const sizes = [2_000, 4_000, 8_000, 16_000];
    rows.push({
        role: "configuration, taking a whole document",
        size: "blocks",
        unit: "ms CPU",
        points: sizes.map(size => {
            const text = formatAccepted(acceptedOf(size));
            return {
                size,
                cost: timeMs(() => {
                    const raw = JSON.parse(text) as { readonly document: unknown; };
                    validateDocument(raw.document);
                    createDocumentIndex(acceptedOf(size));
                }),
            };
        }),
    });
    rows.push({
        role: "configuration, size of the document",
        size: "blocks",
        unit: "bytes",
        points: sizes.map(size => ({
            size,
            cost: Buffer.byteLength(formatAccepted(acceptedOf(size))),
        })),
    });
}

function ticketMemory(): void {
    const sizes = [25_000, 50_000, 100_000, 200_000];
    rows.push({
        role: "at most once, spent tickets",
        size: "tickets",
        unit: "bytes of heap",
        points: sizes.map(size => {
            globalThis.gc?.();
            const before = process.memoryUsage().heapUsed;
            const timer = createVirtualTimer();
            const book = createTicketRegistry({ timer, self: toInstanceId("10.0.0.1:7000/r"), key: "key" });
            for (let at = 0; at < size; at++) {
                book.spend(
                    { issuer: toInstanceId("10.0.0.1:7000/r"), serial: at, expiresAt: 600_000 },
                    toFingerprint(`s POST ${at} 0123456789abcdef`),
                );
            }
            globalThis.gc?.();
            const cost = process.memoryUsage().heapUsed - before;
            return { size: book.spentCount(), cost };
        }),
    });
    rows.push({
        role: "at most once, issuing tickets",
        size: "tickets",
        unit: "ms CPU",
        points: sizes.map(size => {
            const book = createTicketRegistry({ timer: createVirtualTimer(), self: toInstanceId("10.0.0.1:7000/r"), key: "key" });
            return {
                size,
                cost: timeMs(() => {
                    for (let at = 0; at < size; at++) {
                        book.issue();
                    }
                }, 3),
            };
        }),
    });
}

function grantCost(): void {
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
    rows.push({
        role: `forwarding, grants to ${peers} peers that ask`,
        size: "services",
        unit: "bytes sent a second",
        points: sizes.map(size => ({
            size,
            cost: size * peers * perSecond * frameBytes(grant),
        })),
    });
}
