/** Heartbeat datagrams between entries: one compact `msgpackr` array each. */
import {
    type DataCentreId,
    type Fingerprint,
    type InstanceId,
    type TargetIncarnationId,
    toDataCentreId,
    toInstanceId,
    toRegionId,
    toServiceId,
    toTargetIncarnationId,
} from "@pimentospring/core/ids";
import type { QuotaReport } from "@pimentospring/core/limits/quotaReport";
import type { PoisonReport } from "@pimentospring/core/poison/poisonList";
import type { MemberRecord } from "@pimentospring/core/steering/members";
import type { FractionsByRegion } from "@pimentospring/core/steering/regionFractions";
import type { ServiceLoad } from "@pimentospring/core/steering/spillover";
import { Packr } from "msgpackr";
import { decodeMember, encodeMember } from "../store/storeItems.js";
import { eraOf, isEra, isRevisionInEra, revisionInEraOf, toStoreRevision } from "../store/storeRevision.js";
import { decodeQuotaReport, encodeQuotaReport, type QuotaReportRow } from "./quotaCodec.js";

export interface EntryLoads {
    readonly dataCentre: DataCentreId;
    readonly entry: string;
    readonly loads: readonly ServiceLoad[];
}

/** Heartbeat, together with load, store revision and poison reports. */
export interface Heartbeat {
    readonly sender: InstanceId;
    readonly isLeaving: boolean;
    /** Whether the sender watches the store itself and the store responds. */
    readonly isWatching: boolean;
    /** Store revision that the sender has reached. */
    readonly revision: number;
    /** Load at the sender, and loads of other entries that it relays. */
    readonly loads: readonly EntryLoads[];
    readonly poison: readonly PoisonReport[];
    /** Whether the sender does not know the receiver and asks for its record. */
    readonly requestsRecord: boolean;
    /** The sender's record, for a receiver that asked for it. */
    readonly record: MemberRecord | undefined;
    /** Target incarnations that the sender has recently learned to be leaving. */
    readonly leavingTargets: readonly TargetIncarnationId[];
    /** Absent in older versions, and in heartbeats that only tell the other things. */
    readonly quotaReport?: QuotaReport;
}

type FractionRow = readonly [region: string, thousandths: number];
/** Older versions send no fractions, and ignore them. */
type LoadRow = readonly [service: string, slots: number, remoteFractions?: readonly FractionRow[]];
type LoadsRow = readonly [dataCentre: string, entry: string, loads: readonly LoadRow[]];
type PoisonRow = readonly [fingerprint: string, deaths: number, targetIncarnation: string, ageSeconds?: number];
type HeartbeatRow = readonly [
    sender: string,
    flags: number,
    revision: number,
    loads: readonly LoadsRow[],
    /** Deaths: 1, or 0 for one that was cleared. Older versions send no age. */
    poison: readonly PoisonRow[],
    /** Encoded as in the store; empty if there is none. Older versions send neither this nor what follows. */
    record?: Uint8Array,
    leavingTargets?: readonly string[],
    /** Era of the revision; era 0 is sent only where something follows. */
    era?: number,
    quotaReport?: QuotaReportRow,
];

const flags = { leaving: 1, following: 2, requestsRecord: 4 } as const;
/** Loads are sent in tenths of a slot. */
const slotUnitsPerSlot = 10;
const fractionUnits = 1_000;
const msPerSecond = 1_000;
/** Rows of a kind that are taken from a datagram; entries send far fewer. */
const maxRows = { loads: 512, poison: 64, leavingTargets: 64, remoteFractions: 64 } as const;
/** Longest id or fingerprint that a datagram may hold. */
const maxNameLength = 256;
/** Largest encoded record that is taken from a datagram. */
const maxRecordBytes = 2_048;

const packr = new Packr({ useRecords: false });

export function encodeHeartbeat(heartbeat: Heartbeat): Buffer {
    const loads = heartbeat.loads.map((entryLoads): LoadsRow => [
        entryLoads.dataCentre,
        entryLoads.entry,
        entryLoads.loads.map(encodeLoad),
    ]);
    const poison = heartbeat.poison.map(({ fingerprint, isCleared, targetIncarnation, ageMs }): PoisonRow => [
        fingerprint,
        isCleared ? 0 : 1,
        targetIncarnation,
        Math.round(ageMs / msPerSecond),
    ]);
    const row: HeartbeatRow = [
        heartbeat.sender,
        encodeFlags(heartbeat),
        revisionInEraOf(heartbeat.revision),
        loads,
        poison,
    ];
    const era = eraOf(heartbeat.revision);
    if (heartbeat.quotaReport !== undefined) {
        const report = encodeQuotaReport(heartbeat.quotaReport);
        return packr.pack([...row, encodeRecord(heartbeat.record), heartbeat.leavingTargets, era, report]);
    }
    if (era > 0) {
        return packr.pack([...row, encodeRecord(heartbeat.record), heartbeat.leavingTargets, era]);
    }
    if (heartbeat.leavingTargets.length > 0) {
        return packr.pack([...row, encodeRecord(heartbeat.record), heartbeat.leavingTargets]);
    }
    return packr.pack(heartbeat.record === undefined ? row : [...row, encodeRecord(heartbeat.record)]);
}

function encodeLoad({ service, slots, remoteFractions }: ServiceLoad): LoadRow {
    const row = [service, Math.round(slots * slotUnitsPerSlot)] as const;
    if (remoteFractions === undefined) {
        return row;
    }
    return [...row, [...remoteFractions].map(([region, fraction]) => [region, Math.round(fraction * fractionUnits)] as const)];
}

const encodeRecord = (record: MemberRecord | undefined): Uint8Array =>
    record === undefined ? new Uint8Array() : encodeMember(record);

const encodeFlags = ({ isLeaving, isWatching, requestsRecord }: Heartbeat): number =>
    (isLeaving ? flags.leaving : 0) + (isWatching ? flags.following : 0) + (requestsRecord ? flags.requestsRecord : 0);

/** Decodes a datagram. Returns `undefined` if it is not a valid heartbeat. */
export function decodeHeartbeat(bytes: Buffer): Heartbeat | undefined {
    let row: unknown;
    try {
        row = packr.unpack(bytes);
    }
    catch {
        return undefined;
    }
    return isHeartbeatRow(row) ? toHeartbeat(row) : undefined;
}

function isHeartbeatRow(row: unknown): row is HeartbeatRow {
    return Array.isArray(row) && row.length >= 5 && isName(row[0]) && Number.isInteger(row[1])
        && isRevisionInEra(row[2]) && (row[7] === undefined || isEra(row[7]))
        && Array.isArray(row[3]) && row[3].every(isLoadsRow) && Array.isArray(row[4]) && row[4].every(isPoisonRow)
        && (row[5] === undefined || row[5] instanceof Uint8Array)
        && (row[6] === undefined || Array.isArray(row[6]) && row[6].every(isName));
}

const isName = (value: unknown): value is string => typeof value === "string" && value.length <= maxNameLength;

function isLoadsRow(row: unknown): row is LoadsRow {
    return Array.isArray(row) && isName(row[0]) && isName(row[1]) && Array.isArray(row[2])
        && row[2].every(item => Array.isArray(item) && isName(item[0]) && Number.isFinite(item[1]));
}

function isPoisonRow(row: unknown): row is PoisonRow {
    return Array.isArray(row) && isName(row[0]) && Number.isFinite(row[1]) && isName(row[2])
        && (row[3] === undefined || (Number.isFinite(row[3]) && row[3] >= 0));
}

/** Older versions clear a request without naming what they clear. */
const namesIncarnation = ([, , targetIncarnation]: PoisonRow): boolean => targetIncarnation !== "";

function toHeartbeat(row: HeartbeatRow): Heartbeat {
    const quotaReport = decodeQuotaReport(row[8]);
    return {
        ...(quotaReport === undefined ? {} : { quotaReport }),
        sender: toInstanceId(row[0]),
        isLeaving: (row[1] & flags.leaving) !== 0,
        isWatching: (row[1] & flags.following) !== 0,
        requestsRecord: (row[1] & flags.requestsRecord) !== 0,
        record: row[5] === undefined || row[5].length === 0 || row[5].length > maxRecordBytes
            ? undefined
            : toRecord(row[0], row[5]),
        leavingTargets: (row[6] ?? []).slice(0, maxRows.leavingTargets).map(toTargetIncarnationId),
        revision: toStoreRevision(row[7] ?? 0, row[2]),
        loads: row[3].slice(0, maxRows.loads).map(([dataCentre, entry, loads]) => ({
            dataCentre: toDataCentreId(dataCentre),
            entry,
            loads: loads.map(toServiceLoad),
        })),
        poison: row[4].slice(0, maxRows.poison).filter(namesIncarnation).map((
            [fingerprint, deaths, targetIncarnation, ageSeconds = 0],
        ) => ({
            fingerprint: fingerprint as Fingerprint,
            targetIncarnation: toTargetIncarnationId(targetIncarnation),
            isCleared: deaths === 0,
            ageMs: ageSeconds * msPerSecond,
        })),
    };
}

function toServiceLoad([service, slots, rows]: LoadRow): ServiceLoad {
    const load = { service: toServiceId(service), slots: slots / slotUnitsPerSlot };
    const remoteFractions = toFractions(rows);
    return remoteFractions === undefined ? load : { ...load, remoteFractions };
}

/** Invalid fractions count as absent. */
function toFractions(rows: LoadRow[2]): FractionsByRegion | undefined {
    if (!Array.isArray(rows) || rows.length > maxRows.remoteFractions || !rows.every(isFractionRow)) {
        return undefined;
    }
    const fractions = new Map(rows.map(([region, thousandths]) => [toRegionId(region), thousandths / fractionUnits]));
    const sum = rows.reduce((total, [, thousandths]) => total + thousandths, 0);
    return sum <= fractionUnits + rows.length ? fractions : undefined;
}

const isFractionRow = (row: unknown): row is FractionRow =>
    Array.isArray(row) && isName(row[0]) && Number.isFinite(row[1]) && row[1] >= 0;

/** An invalid record counts as absent. */
function toRecord(sender: string, bytes: Uint8Array): MemberRecord | undefined {
    const decoded = decodeMember(toInstanceId(sender), Buffer.from(bytes));
    return decoded.isValid ? decoded.value : undefined;
}
