/** How busy this process's event loop is, from Node's own monitor. */
import { type EventLoopUtilization, performance } from "node:perf_hooks";

/** Returns a function that gives the fraction of the time since its last call for which the event loop was busy. */
export function createLoopUtilization(): () => number {
    let last: EventLoopUtilization = performance.eventLoopUtilization();
    return () => {
        const current = performance.eventLoopUtilization();
        const { utilization } = performance.eventLoopUtilization(current, last);
        last = current;
        return Number.isFinite(utilization) ? utilization : 0;
    };
}
