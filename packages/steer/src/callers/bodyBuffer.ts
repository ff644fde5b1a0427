/**
 * Collects a body as it arrives, and counts the memory that it takes. Chunks are copied into blocks: a chunk that is kept retains the
 * read buffer that it is part of, and its object may be a hundred times its size.
 */
import type { MemoryQuota } from "./memoryQuota.js";

export interface BodyBuffer {
    /** False if there is no memory for the chunk, which is dropped. */
    add(chunk: Buffer): boolean;
    /** The body so far; nothing can be added afterwards. Its memory counts until `clear`. */
    take(): Buffer;
    /** Drops what was collected. */
    clear(): void;
}

/** Bodies declared to be smaller are collected in blocks, which count as soon as they are allocated. */
const minAllocatedBytes = 64 * 1_024;
/** Sizes of the blocks of a body whose length is not known. Each block is twice the one before, up to the maximum. */
const minBlockBytes = 4 * 1_024;
const maxBlockBytes = 16 * 1_024;

export interface BodyBufferOptions {
    /** The declared length; 0 if there is none. */
    readonly expectedBytes: number;
    /** Bounds bodies that are allocated whole before they have arrived, as many more may be declared than are ever sent. */
    readonly allocations: MemoryQuota;
    /** Takes memory from the quota of all bodies; false if there is none. */
    readonly reserve: (bytes: number) => boolean;
    readonly release: (bytes: number) => void;
}

export function createBodyBuffer({ expectedBytes, allocations, reserve, release }: BodyBufferOptions): BodyBuffer {
    const blocks: Buffer[] = [];
    /** Bytes of the last block that are used. */
    let blockUsed = 0;
    let whole: Buffer | undefined;
    let size = 0;
    let reservedBytes = 0;
    let allocatedBytes = 0;
    const tryReserve = (bytes: number): boolean => {
        if (!reserve(bytes)) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    };
    const allocateWhole = (): void => {
        if (expectedBytes >= minAllocatedBytes && allocations.tryTake(expectedBytes)) {
            allocatedBytes = expectedBytes;
            whole = Buffer.allocUnsafeSlow(expectedBytes);
        }
    };
    const dropBlocks = (): void => {
        allocations.giveBack(allocatedBytes);
        allocatedBytes = 0;
        blocks.length = 0;
        whole = undefined;
    };
    const nextBlockBytes = (): number => {
        const leftBytes = expectedBytes - size;
        const bytes = Math.min(maxBlockBytes, Math.max(minBlockBytes, 2 * (blocks.at(-1)?.length ?? 0)));
        return leftBytes > 0 ? Math.min(leftBytes, maxBlockBytes) : bytes;
    };
    const addToBlocks = (chunk: Buffer): boolean => {
        for (let copied = 0; copied < chunk.length;) {
            if (blocks.length === 0 || blockUsed === blocks.at(-1)!.length) {
                const bytes = nextBlockBytes();
                if (!tryReserve(bytes)) {
                    return false;
                }
                blocks.push(Buffer.allocUnsafeSlow(bytes));
                blockUsed = 0;
            }
            const added = chunk.copy(blocks.at(-1)!, blockUsed, copied);
            blockUsed += added;
            size += added;
            copied += added;
        }
        return true;
    };
    /** The system gives a whole allocation its memory as it is written. */
    const addToWhole = (chunk: Buffer): boolean => {
        if (!tryReserve(chunk.length)) {
            return false;
        }
        chunk.copy(whole!, size);
        size += chunk.length;
        return true;
    };
    return {
        add: chunk => {
            if (size === 0) {
                allocateWhole();
            }
            return whole === undefined ? addToBlocks(chunk) : addToWhole(chunk);
        },
        take: () => {
            const used = blocks.map((block, index) => index === blocks.length - 1 ? block.subarray(0, blockUsed) : block);
            const body = whole?.subarray(0, size) ?? (used.length === 1 ? used[0]! : Buffer.concat(used, size));
            dropBlocks();
            return body;
        },
        clear: () => {
            dropBlocks();
            release(reservedBytes);
            reservedBytes = 0;
        },
    };
}
