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
