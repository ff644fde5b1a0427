/** Bounds the memory that callers' request bodies take together, for any number of callers. */

export interface MemoryQuota {
    /** Takes bytes; false if the quota would be exceeded, and nothing is taken then. */
    tryTake(bytes: number): boolean;
    giveBack(bytes: number): void;
    usedBytes(): number;
}

/** `onTaken` is told of bytes taken. */
export function createMemoryQuota(maxBytes: number, onTaken: (bytes: number) => void = () => {}): MemoryQuota {
    let used = 0;
    return {
        tryTake: bytes => {
            if (used + bytes > maxBytes) {
                return false;
            }
            used += bytes;
            onTaken(bytes);
            return true;
        },
        giveBack: bytes => {
            used -= bytes;
        },
        usedBytes: () => used,
    };
}
