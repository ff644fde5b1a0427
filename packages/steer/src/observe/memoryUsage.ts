/** What the process's memory consists of, as the runtime and the system count it. */
import { readdirSync } from "node:fs";
import { getHeapStatistics } from "node:v8";

export interface MemoryUsage {
    readonly residentBytes: number;
    readonly heapUsedBytes: number;
    /** Heap size at which the runtime ends the process. */
    readonly heapLimitBytes: number;
    /** Memory of objects outside the heap, buffers included. */
    readonly externalBytes: number;
    readonly bufferBytes: number;
}

const heapLimitBytes = getHeapStatistics().heap_size_limit;

/** All 0, but for the limit, where the system does not tell, as while no descriptor is free. */
export function readMemoryUsage(): MemoryUsage {
    try {
        const usage = process.memoryUsage();
        return {
            residentBytes: usage.rss,
            heapUsedBytes: usage.heapUsed,
            heapLimitBytes,
            externalBytes: usage.external,
            bufferBytes: usage.arrayBuffers,
        };
    }
    catch {
        return { residentBytes: 0, heapUsedBytes: 0, heapLimitBytes, externalBytes: 0, bufferBytes: 0 };
    }
}

/** Resident size alone, which costs less to read; 0 where the system does not tell. */
export function readResidentBytes(): number {
    try {
        return process.memoryUsage.rss();
    }
    catch {
        return 0;
    }
}

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
