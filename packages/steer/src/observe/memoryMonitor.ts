/**
 * Watches the process's resident size and heap: a process that exceeds a limit ends without any other sign. Near the limit garbage
 * is collected and requests are refused; nearer still, responses that callers read slowly are aborted. A heap that stays full closes
 * the connections on which heads are being received.
 */
import type { Timer } from "@pimentospring/core/time/timer";
import type { Log } from "@pimentospring/runtime/logs/log";
import { logEvents } from "@pimentospring/runtime/logs/logEvents";
import type { MemoryUsage } from "./memoryUsage.js";

export interface MemoryMonitorOptions {
    readonly timer: Timer;
    readonly log: Log;
    readonly maxResidentBytes: number;
    readonly readResidentBytes: () => number;
    readonly readUsage: () => MemoryUsage;
    /** What the daemon itself counts, by kind. */
    readonly heldBytes: () => Readonly<Record<string, number>>;
    /** Frees buffers that are no longer in use. */
    readonly collectGarbage: () => void;
    /** Aborts the response that is read most slowly, if there is any. */
    readonly abortUnreadResponse: (reason: string) => void;
    /** Closes connections on which requests' heads are being received, which nothing else counts. */
    readonly closeUnfinishedHeads: () => number;
    /** Responses that were aborted so far for lack of memory. */
    readonly abortedResponses: () => number;
}

export interface MemoryMonitor {
    start(): void;
    /** Counts bytes received, as the memory may reach its limit between two checks. */
    recordBytes(bytes: number): void;
    /** Whether the resident size is near its limit. */
    isHigh(): boolean;
    /** Whether requests are to be refused: the heap, or the resident size and what of it is in use, is near its limit. */
    isScarce(): boolean;
}

const checkIntervalMs = 250;
/** Bytes received between two checks at most. */
const checkIntervalBytes = 8_000_000;
/** Time between two collections, which stop the process; the second one where it would soon be killed. */
const collectionIntervalMs = 1_000;
const criticalCollectionIntervalMs = 30;
/** Time between two aborted responses, so that the first is collected before another is chosen. */
const abortIntervalMs = 500;
/** Time between two log lines on aborted responses. */
const abortLogIntervalMs = 2_000;
/** Fractions of the limit: from the first garbage is collected, from the next two requests are refused and responses aborted. */
const collectFraction = 0.4;
const highFraction = 0.5;
const criticalFraction = 0.55;
/** Fraction of the limit below which the memory is normal again. */
const normalFraction = 0.45;
/** Fraction of the heap's own limit from which garbage is collected and, if that does not help, requests are refused. */
const highHeapFraction = 0.7;
/** Fraction of the limit in use below which the rest is free memory that the allocator keeps: refusals would not reduce it. */
const usedFraction = 0.3;

const isHeapHigh = ({ heapUsedBytes, heapLimitBytes }: MemoryUsage): boolean =>
    heapUsedBytes >= heapLimitBytes * highHeapFraction;

export function createMemoryMonitor(options: MemoryMonitorOptions): MemoryMonitor {
    const { timer, log, maxResidentBytes } = options;
    let isHigh = false;
    let isScarce = false;
    let uncheckedBytes = 0;
    let collectedAt = -Infinity;
    let abortedAt = -Infinity;
    let abortsLoggedAt = -Infinity;
    let loggedAborts = 0;

    const logMemory = (event: typeof logEvents.memoryHigh | typeof logEvents.memoryNormal): void =>
        log.write(event, { maxResidentBytes, ...options.readUsage(), ...options.heldBytes() });
    const updateHigh = (residentBytes: number): void => {
        const threshold = maxResidentBytes * (isHigh ? normalFraction : highFraction);
        if (residentBytes >= threshold !== isHigh) {
            isHigh = !isHigh;
            logMemory(isHigh ? logEvents.memoryHigh : logEvents.memoryNormal);
        }
    };
    const isMuchUsed = ({ heapUsedBytes, externalBytes }: MemoryUsage): boolean =>
        heapUsedBytes + externalBytes >= maxResidentBytes * usedFraction;
    const collect = (intervalMs: number): void => {
        if (timer.now() >= collectedAt + intervalMs) {
            collectedAt = timer.now();
            options.collectGarbage();
        }
    };
    /** Whether the heap stays full although garbage has been collected. */
    const checkHeap = (usage: MemoryUsage): boolean => {
        if (!isHeapHigh(usage)) {
            return false;
        }
        collect(criticalCollectionIntervalMs);
        const collected = options.readUsage();
        if (!isHeapHigh(collected)) {
            return false;
        }
        const count = options.closeUnfinishedHeads();
        log.write(logEvents.headsCut, { count, ...collected, ...options.heldBytes() });
        return true;
    };
    const logAborts = (): void => {
        const count = options.abortedResponses() - loggedAborts;
        if (count > 0 && timer.now() >= abortsLoggedAt + abortLogIntervalMs) {
            abortsLoggedAt = timer.now();
            loggedAborts += count;
            log.write(logEvents.responsesCut, { count, ...options.heldBytes() });
        }
    };
    const check = (): void => {
        const residentBytes = options.readResidentBytes();
        updateHigh(residentBytes);
        uncheckedBytes = 0;
        const usage = options.readUsage();
        const isNearLimit = (isHigh || residentBytes >= maxResidentBytes * collectFraction) && isMuchUsed(usage);
        const isCritical = isNearLimit && residentBytes >= maxResidentBytes * criticalFraction;
        if (isCritical && timer.now() >= abortedAt + abortIntervalMs) {
            abortedAt = timer.now();
            options.abortUnreadResponse(`resident size of ${residentBytes} bytes near the limit of ${maxResidentBytes}`);
        }
        if (isNearLimit) {
            collect(isCritical ? criticalCollectionIntervalMs : collectionIntervalMs);
        }
        const isHeapScarce = checkHeap(usage);
        isScarce = isHeapScarce || (isHigh && isNearLimit);
        logAborts();
    };
    return {
        start: () => void timer.subscribe(checkIntervalMs, check),
        recordBytes: bytes => {
            uncheckedBytes += bytes;
            if (uncheckedBytes >= checkIntervalBytes) {
                check();
            }
        },
        isHigh: () => isHigh,
        isScarce: () => isScarce,
    };
}
