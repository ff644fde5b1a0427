/** What entries tell each other: one `msgpackr` array a datagram, as short as it can be. */
import {
    type DataCentreId,
    type Fingerprint,
    type InstanceId,
    type TargetIncarnationId,
    toDataCentreId,
    toInstanceId,
    toServiceId,
    toTargetIncarnationId,
} from "@pimentospring/core/ids";
import type { ServiceLoad } from "@pimentospring/core/steering/spillover";
import { Packr } from "msgpackr";

export interface EntryLoads {
    readonly dataCentre: DataCentreId;
    readonly entry: string;
    readonly loads: readonly ServiceLoad[];
}

export interface PoisonReport {
    readonly fingerprint: Fingerprint;
    /** 0 when the sender served the request. */
    readonly deaths: number;
    /** The run of a target that died last. */
    readonly targetIncarnation: TargetIncarnationId | undefined;
}

/** A sign of life with all that others should know at once. */
export interface Heartbeat {
    readonly sender: InstanceId;
    readonly isLeaving: boolean;
    /** Whether the sender watches the store itself and is answered. */
    readonly isWatching: boolean;
    /** Revision of the store up to which the sender knows. */
    readonly revision: number;
    /** Load at the sender, and what it heard of others to pass on. */
    readonly loads: readonly EntryLoads[];
    readonly poison: readonly PoisonReport[];
}

type LoadsRow = readonly [
    dataCentre: string,
    entry: string,
    loads: readonly (readonly [service: string, slots: number])[],
];
type HeartbeatRow = readonly [
    sender: string,
    flags: number,
    revision: number,
    loads: readonly LoadsRow[],
    poison: readonly (readonly [fingerprint: string, deaths: number, targetRun: string])[],
];

const flags = { leaving: 1, following: 2 } as const;
/** Loads are told to a tenth of a slot. */
const slotUnitsPerSlot = 10;

const packr = new Packr({ useRecords: false });

export function encodeHeartbeat(news: Heartbeat): Buffer {
    const loads = news.loads.map((item): LoadsRow => [
        item.dataCentre,
        item.entry,
        item.loads.map(load => [load.service, Math.round(load.slots * slotUnitsPerSlot)] as const),
    ]);
    const poison = news.poison.map(item => [item.fingerprint, item.deaths, item.targetIncarnation ?? ""] as const);
    return packr.pack(
        [
            news.sender,
            (news.isLeaving ? flags.leaving : 0) + (news.isWatching ? flags.following : 0),
            news.revision,
            loads,
            poison,
        ] satisfies HeartbeatRow,
    );
}

/** Reads a datagram; `undefined` when it is not one of ours. */
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
    return Array.isArray(row) && row.length >= 5 && typeof row[0] === "string" && Number.isInteger(row[1])
        && typeof row[2] === "number"
        && Array.isArray(row[3]) && row[3].every(isLoadsRow) && Array.isArray(row[4]) && row[4].every(isPoisonRow);
}

function isLoadsRow(row: unknown): row is LoadsRow {
    return Array.isArray(row) && typeof row[0] === "string" && typeof row[1] === "string" && Array.isArray(row[2])
        && row[2].every(item => Array.isArray(item) && typeof item[0] === "string" && Number.isFinite(item[1]));
}

function isPoisonRow(row: unknown): row is readonly [string, number, string] {
    return Array.isArray(row) && typeof row[0] === "string" && Number.isFinite(row[1]) && typeof row[2] === "string";
}

function toHeartbeat(row: HeartbeatRow): Heartbeat {
    return {
        sender: toInstanceId(row[0]),
        isLeaving: (row[1] & flags.leaving) !== 0,
        isWatching: (row[1] & flags.following) !== 0,
        revision: row[2],
        loads: row[3].map(([dataCentre, entry, loads]) => ({
            dataCentre: toDataCentreId(dataCentre),
            entry,
            loads: loads.map(([service, slots]) => ({ service: toServiceId(service), slots: slots / slotUnitsPerSlot })),
        })),
        poison: row[4].map(([fingerprint, deaths, targetRun]) => ({
            fingerprint: fingerprint as Fingerprint,
            deaths,
            targetIncarnation: targetRun === "" ? undefined : toTargetIncarnationId(targetRun),
        })),
    };
}
