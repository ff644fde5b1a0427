/**
 * Datagrams that tell the other entries of the data centre about attempts: compact `msgpackr` arrays; each digest is its
 * sender and two byte strings of fixed-size rows.
 */
import { type InstanceId, toInstanceId } from "@pimentospring/core/ids";
import {
    type AttemptDigest,
    maxStartedObjects,
    type StartedObject,
    type TargetCount,
} from "@pimentospring/core/steering/attemptDigest";
import { Packr } from "msgpackr";

export interface PeerDigest {
    readonly sender: InstanceId;
    readonly digest: AttemptDigest;
}

/** A 32-bit hash and a count. */
const countRowBytes = 5;
const maxCount = 255;
/** Two 32-bit hashes. */
const startedRowBytes = 8;
/** Rows of each kind in one digest. */
const maxRows = maxStartedObjects;
/** Lengths and types of a digest's parts. */
const framingBytes = 8;

const packr = new Packr({ useRecords: false });

/** Digests in one datagram. */
export interface DigestMessage {
    /** Whether a relay sends the digests to all entries; otherwise an entry sends its own to the relay. */
    readonly isRelayed: boolean;
    readonly digests: readonly PeerDigest[];
}

/** Size of a digest in a datagram, rounded up. */
export const digestBytes = ({ sender, digest }: PeerDigest): number =>
    sender.length + framingBytes + digest.inFlight.length * countRowBytes + digest.started.length * startedRowBytes;

export const encodeDigests = ({ isRelayed, digests }: DigestMessage): Buffer =>
    packr.pack([isRelayed, digests.map(encodeDigest)]);

/** Decodes a datagram. Returns `undefined` if it holds no digests. */
export function decodeDigests(bytes: Buffer): DigestMessage | undefined {
    let message: unknown;
    try {
        message = packr.unpack(bytes);
    }
    catch {
        return undefined;
    }
    if (!Array.isArray(message) || message.length !== 2) {
        return undefined;
    }
    const [isRelayed, rows] = message as [unknown, unknown];
    if (typeof isRelayed !== "boolean" || !Array.isArray(rows)) {
        return undefined;
    }
    const digests = rows.map(decodeDigest);
    return digests.includes(undefined) ? undefined : { isRelayed, digests: digests as PeerDigest[] };
}

const encodeDigest = ({ sender, digest }: PeerDigest): unknown[] => [
    sender,
    encodeCounts(digest.inFlight.slice(0, maxRows)),
    encodeStarted(digest.started.slice(0, maxRows)),
];

function decodeDigest(row: unknown): PeerDigest | undefined {
    if (!Array.isArray(row) || row.length !== 3) {
        return undefined;
    }
    const [sender, counts, started] = row as [unknown, unknown, unknown];
    return typeof sender === "string" && isRows(counts, countRowBytes) && isRows(started, startedRowBytes)
        ? { sender: toInstanceId(sender), digest: { inFlight: decodeCounts(counts), started: decodeStarted(started) } }
        : undefined;
}

const isRows = (value: unknown, rowBytes: number): value is Buffer =>
    Buffer.isBuffer(value) && value.length % rowBytes === 0 && value.length <= maxRows * rowBytes;

function encodeCounts(counts: readonly TargetCount[]): Buffer {
    const bytes = Buffer.alloc(counts.length * countRowBytes);
    counts.forEach(({ target, count }, index) => {
        const at = bytes.writeUInt32BE(target, index * countRowBytes);
        bytes.writeUInt8(Math.min(maxCount, count), at);
    });
    return bytes;
}

function encodeStarted(started: readonly StartedObject[]): Buffer {
    const bytes = Buffer.alloc(started.length * startedRowBytes);
    started.forEach(({ target, object }, index) => {
        const at = bytes.writeUInt32BE(target, index * startedRowBytes);
        bytes.writeUInt32BE(object, at);
    });
    return bytes;
}

const rowStarts = (bytes: Buffer, rowBytes: number): number[] =>
    Array.from({ length: bytes.length / rowBytes }, (_, index) => index * rowBytes);

const decodeCounts = (bytes: Buffer): TargetCount[] =>
    rowStarts(bytes, countRowBytes).map(at => ({ target: bytes.readUInt32BE(at), count: bytes.readUInt8(at + 4) }));

const decodeStarted = (bytes: Buffer): StartedObject[] =>
    rowStarts(bytes, startedRowBytes).map(at => ({ target: bytes.readUInt32BE(at), object: bytes.readUInt32BE(at + 4) }));
