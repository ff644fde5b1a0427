/** Non-cryptographic hashes (xxHash, from `xxhash-wasm`). */
import xxhash from "xxhash-wasm";

const hasher = await xxhash();

/** 32-bit xxHash of a string. */
export function hashText(text: string, seed = 0): number {
    return hasher.h32(text, seed);
}

/** The hasher copies what it is given, into memory that it keeps for good. */
const maxHashedBytes = 64 * 1_024;

/** 64-bit xxHash of a byte array, as 16 hexadecimal digits. */
export function hashBytes(bytes: Uint8Array): string {
    return bytes.length <= maxHashedBytes ? toHexadecimal(hasher.h64Raw(bytes)) : hashInSlices([bytes]);
}

/** The same hash of several byte arrays as if they were one. */
export function hashParts(parts: readonly Uint8Array[]): string {
    const size = parts.reduce((sum, part) => sum + part.length, 0);
    return size <= maxHashedBytes ? hashBytes(Buffer.concat(parts, size)) : hashInSlices(parts);
}

function hashInSlices(parts: readonly Uint8Array[]): string {
    const hash = hasher.create64();
    for (const part of parts) {
        for (let at = 0; at < part.length; at += maxHashedBytes) {
            hash.update(part.subarray(at, at + maxHashedBytes));
        }
    }
    return toHexadecimal(hash.digest());
}

const toHexadecimal = (hash: bigint): string => hash.toString(16).padStart(16, "0");

/** Mixes two 32-bit hashes into a third (the finalizer of MurmurHash3). */
export function mixHashes(first: number, second: number): number {
    let mixed = (first ^ Math.imul(second, 0x9e3779b1)) >>> 0;
    mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
    mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
    return (mixed ^ (mixed >>> 16)) >>> 0;
}
