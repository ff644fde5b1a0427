/** Encoding of quota reports within heartbeat datagrams: a short array with byte strings of fixed-size rows. */
import { toDataCentreId } from "@pimentospring/core/ids";
import type { IncludedReport, KeyUse, QuotaReport, TotalUse } from "@pimentospring/core/limits/quotaReport";

type InstanceRow = readonly [kind: 0, sequence: number, hasContact: boolean, uses: Uint8Array];
type DataCentreRow = readonly [
    kind: 1,
    dataCentre: string,
    instanceCount: number,
    knownCount: number,
    heardRelays: Uint8Array,
    isComplete: boolean,
    uses: Uint8Array,
];
type TotalRow = readonly [kind: 2, instanceCount: number, knownCount: number, included: Uint8Array, uses: Uint8Array];
export type QuotaReportRow = InstanceRow | DataCentreRow | TotalRow;

const hashBytes = 4;
const countBytes = 3;
const maxCount = 2 ** (8 * countBytes) - 1;
const useRowBytes = hashBytes + countBytes;
const totalRowBytes = hashBytes + 2 * countBytes;
const includedRowBytes = 2 * hashBytes;
/** Maximum number of rows of one kind in a report, so that it fits into a datagram. */
const maxRows = 2_000;

export function encodeQuotaReport(report: QuotaReport): QuotaReportRow {
    switch (report.kind) {
        case "instance":
            return [0, report.sequence, report.hasContact, encodeUses(report.uses)];
        case "dataCentre":
            return [
                1,
                report.dataCentre,
                report.instanceCount,
                report.knownCount,
                encodeHashes(report.heardRelays),
                report.isComplete,
                encodeUses(report.uses),
            ];
        case "total":
            return [
                2,
                report.instanceCount,
                report.knownCount,
                encodeIncluded(report.included),
                encodeTotals(report.uses),
            ];
    }
}

/** Returns `undefined` for anything that isn't a report. */
export function decodeQuotaReport(row: unknown): QuotaReport | undefined {
    if (!Array.isArray(row)) {
        return undefined;
    }
    const [kind, ...values] = row as unknown[];
    switch (kind) {
        case 0:
            return decodeInstanceReport(values);
        case 1:
            return decodeDataCentreReport(values);
        case 2:
            return decodeTotalReport(values);
        default:
            return undefined;
    }
}

function decodeInstanceReport([sequence, hasContact, uses]: readonly unknown[]): QuotaReport | undefined {
    return isCount(sequence) && typeof hasContact === "boolean" && isRows(uses, useRowBytes)
        ? { kind: "instance", sequence, hasContact, uses: decodeUses(uses) }
        : undefined;
}

function decodeDataCentreReport(values: readonly unknown[]): QuotaReport | undefined {
    const [dataCentre, instanceCount, knownCount, heardRelays, isComplete, uses] = values;
    return typeof dataCentre === "string" && isCount(instanceCount) && isCount(knownCount) && isRows(heardRelays, hashBytes)
            && typeof isComplete === "boolean" && isRows(uses, useRowBytes)
        ? {
            kind: "dataCentre",
            dataCentre: toDataCentreId(dataCentre),
            instanceCount,
            knownCount,
            heardRelays: decodeHashes(heardRelays),
            isComplete,
            uses: decodeUses(uses),
        }
        : undefined;
}

function decodeTotalReport([instanceCount, knownCount, included, uses]: readonly unknown[]): QuotaReport | undefined {
    return isCount(instanceCount) && isCount(knownCount) && isRows(included, includedRowBytes) && isRows(uses, totalRowBytes)
        ? { kind: "total", instanceCount, knownCount, included: decodeIncluded(included), uses: decodeTotals(uses) }
        : undefined;
}

const isCount = (value: unknown): value is number => Number.isSafeInteger(value) && (value as number) >= 0;
const isRows = (value: unknown, rowBytes: number): value is Buffer =>
    Buffer.isBuffer(value) && value.length % rowBytes === 0 && value.length <= maxRows * rowBytes;

function encodeRows<Row>(rows: readonly Row[], rowBytes: number, write: (bytes: Buffer, at: number, row: Row) => void): Buffer {
    const bytes = Buffer.alloc(Math.min(rows.length, maxRows) * rowBytes);
    rows.slice(0, maxRows).forEach((row, index) => write(bytes, index * rowBytes, row));
    return bytes;
}

const decodeRows = <Row>(bytes: Buffer, rowBytes: number, read: (at: number) => Row): Row[] =>
    Array.from({ length: bytes.length / rowBytes }, (_, index) => read(index * rowBytes));

const writeCount = (bytes: Buffer, count: number, at: number): number =>
    bytes.writeUIntBE(Math.min(maxCount, count), at, countBytes);

/** With more keys than fit, those with the least use are left out. */
const mostUsed = <Use extends KeyUse>(uses: readonly Use[]): readonly Use[] =>
    uses.length <= maxRows ? uses : [...uses].sort((first, second) => second.count - first.count);

const encodeUses = (uses: readonly KeyUse[]): Buffer =>
    encodeRows(
        mostUsed(uses),
        useRowBytes,
        (bytes, at, { key, count }) => writeCount(bytes, count, bytes.writeUInt32BE(key, at)),
    );
const decodeUses = (bytes: Buffer): KeyUse[] =>
    decodeRows(bytes, useRowBytes, at => ({
        key: bytes.readUInt32BE(at),
        count: bytes.readUIntBE(at + hashBytes, countBytes),
    }));

const encodeTotals = (uses: readonly TotalUse[]): Buffer =>
    encodeRows(
        mostUsed(uses),
        totalRowBytes,
        (bytes, at, { key, count, silentCount }) =>
            writeCount(bytes, silentCount, writeCount(bytes, count, bytes.writeUInt32BE(key, at))),
    );
const decodeTotals = (bytes: Buffer): TotalUse[] =>
    decodeRows(bytes, totalRowBytes, at => ({
        key: bytes.readUInt32BE(at),
        count: bytes.readUIntBE(at + hashBytes, countBytes),
        silentCount: bytes.readUIntBE(at + hashBytes + countBytes, countBytes),
    }));

const encodeIncluded = (reports: readonly IncludedReport[]): Buffer =>
    encodeRows(
        reports,
        includedRowBytes,
        (bytes, at, { instance, sequence }) => bytes.writeUInt32BE(sequence, bytes.writeUInt32BE(instance, at)),
    );
const decodeIncluded = (bytes: Buffer): IncludedReport[] =>
    decodeRows(bytes, includedRowBytes, at => ({
        instance: bytes.readUInt32BE(at),
        sequence: bytes.readUInt32BE(at + hashBytes),
    }));

const encodeHashes = (hashes: readonly number[]): Buffer =>
    encodeRows(hashes, hashBytes, (bytes, at, hash) => bytes.writeUInt32BE(hash, at));
const decodeHashes = (bytes: Buffer): number[] => decodeRows(bytes, hashBytes, at => bytes.readUInt32BE(at));
