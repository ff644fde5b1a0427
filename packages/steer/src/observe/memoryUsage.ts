/** What the process's memory consists of, as the runtime and the system count it. */
import { readdirSync } from "node:fs";

export interface MemoryUsage {
    readonly residentBytes: number;
    readonly heapUsedBytes: number;
    /** Memory of objects outside the heap, buffers included. */
    readonly externalBytes: number;
    readonly bufferBytes: number;
}

export function readMemoryUsage(): MemoryUsage {
    const usage = process.memoryUsage();
    return {
        residentBytes: usage.rss,
        heapUsedBytes: usage.heapUsed,
        externalBytes: usage.external,
        bufferBytes: usage.arrayBuffers,
    };
}

/** Resident size alone, which costs less to read. */
export const readResidentBytes = (): number => process.memoryUsage.rss();

/** Descriptors that the process has open; 0 where the system does not tell. */
export function countOpenDescriptors(): number {
    try {
        return readdirSync("/proc/self/fd").length;
    }
    catch {
        return 0;
    }
}

/** Collects garbage at once, where the runtime was started with `--expose-gc`. */
export const collectGarbage = (): void => globalThis.gc?.();
