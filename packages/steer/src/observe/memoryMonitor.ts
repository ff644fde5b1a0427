/** Watches the process's resident size: a process that exceeds its limit is killed without any other sign. */
import type { Timer } from "@pimentospring/core/time/timer";
import type { Log } from "@pimentospring/runtime/logs/log";
import { logEvents } from "@pimentospring/runtime/logs/logEvents";
import type { MemoryUsage } from "./memoryUsage.js";

export interface MemoryMonitorOptions {
    readonly timer: Timer;
    readonly log: Log;
    readonly maxResidentBytes: number;
    readonly readResidentBytes: () => number;
    /** Called for a log line only. */
    readonly readUsage: () => MemoryUsage;
    /** What the daemon itself counts, by kind. */
    readonly heldBytes: () => Readonly<Record<string, number>>;
}

export interface MemoryMonitor {
    start(): void;
    /** Whether the resident size is near its limit. */
    isHigh(): boolean;
}

const checkIntervalMs = 250;
/** Fractions of the limit from which the memory counts as high, and below which as normal again. */
const highFraction = 0.8;
const normalFraction = 0.7;

export function createMemoryMonitor(options: MemoryMonitorOptions): MemoryMonitor {
    const { timer, log, maxResidentBytes } = options;
    let isHigh = false;

    const setHigh = (next: boolean): void => {
        isHigh = next;
        log.write(next ? logEvents.memoryHigh : logEvents.memoryNormal, {
            maxResidentBytes,
            ...options.readUsage(),
            ...options.heldBytes(),
        });
    };
    const check = (): void => {
        const residentBytes = options.readResidentBytes();
        const threshold = maxResidentBytes * (isHigh ? normalFraction : highFraction);
        if (residentBytes >= threshold !== isHigh) {
            setHigh(!isHigh);
        }
    };
    return {
        start: () => void timer.subscribe(checkIntervalMs, check),
        isHigh: () => isHigh,
    };
}
