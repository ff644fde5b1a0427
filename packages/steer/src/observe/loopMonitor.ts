/** Watches how busy this process's event loop is: a process that lags serves its callers late without any other sign. */
import type { Timer } from "@pimentospring/core/time/timer";
import type { Log } from "@pimentospring/runtime/logs/log";
import { logEvents } from "@pimentospring/runtime/logs/logEvents";

export interface LoopMonitorOptions {
    readonly timer: Timer;
    readonly log: Log;
    /** Fraction of the time since the last call for which the event loop was busy. */
    readonly takeUtilization: () => number;
    /** Calls of timers so far. */
    readonly timerCalls: () => number;
    /** Utilization from which the process counts as busy. */
    readonly maxUtilization: () => number;
}

export interface LoopMonitor {
    start(): void;
    /** Utilization over the last interval. */
    utilization(): number;
    /** By how much the last check came late, in milliseconds. */
    delayMs(): number;
}

const checkIntervalMs = 2_000;

export function createLoopMonitor(options: LoopMonitorOptions): LoopMonitor {
    const { timer, log } = options;
    let utilization = 0;
    let delayMs = 0;
    let checkedAt = timer.now();
    let calls = 0;
    let isBusy = false;

    const check = (): void => {
        delayMs = Math.max(0, timer.now() - checkedAt - checkIntervalMs);
        checkedAt = timer.now();
        utilization = options.takeUtilization();
        const timerCalls = options.timerCalls() - calls;
        calls = options.timerCalls();
        const wasBusy = isBusy;
        isBusy = utilization >= options.maxUtilization();
        if (isBusy !== wasBusy) {
            log.write(isBusy ? logEvents.loopBusy : logEvents.loopCalm, {
                utilization: Math.round(utilization * 100) / 100,
                delayMs: Math.round(delayMs),
                timerCalls,
            });
        }
    };
    return {
        start: () => void timer.subscribe(checkIntervalMs, check),
        utilization: () => utilization,
        delayMs: () => delayMs,
    };
}
