/** Non-cryptographic hashes (xxHash, from `xxhash-wasm`). */
import xxhash from "xxhash-wasm";

const hasher = await xxhash();

/** 32-bit xxHash of a string. */
export function hashText(text: string, seed = 0): number {
    return hasher.h32(text, seed);
}

/** 64-bit xxHash of a byte array, as 16 hexadecimal digits. */
export function hashBytes(bytes: Uint8Array): string {
    return hasher.h64Raw(bytes).toString(16).padStart(16, "0");
}

/** Mixes two 32-bit hashes into a third (the finalizer of MurmurHash3). */
export function mixHashes(first: number, second: number): number {
    let mixed = (first ^ Math.imul(second, 0x9e3779b1)) >>> 0;
    mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
    mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
    return (mixed ^ (mixed >>> 16)) >>> 0;
}
