/** Counts and logs what callers did beyond their limits. */
import type { Timer } from "@pimentospring/core/time/timer";
import type { Log } from "@pimentospring/runtime/logs/log";
import { logEvents } from "@pimentospring/runtime/logs/logEvents";

/**
 * A body that arrived too slowly, one with too much framing or of too many small chunks, a head that made room for others, responses
 * that were not read, and a connection that was reset as the input of all could not be parsed in time.
 */
export type CallerLimit = "slowBody" | "framing" | "smallChunks" | "slowHead" | "unread" | "unparsed";

export interface CallerLimitLog {
    record(limit: CallerLimit): void;
}

export interface CallerLimitLogOptions {
    readonly timer: Timer;
    readonly log: Log;
    readonly recordMetric: (limit: CallerLimit) => void;
}

const logIntervalMs = 2_000;

export function createCallerLimitLog({ timer, log, recordMetric }: CallerLimitLogOptions): CallerLimitLog {
    let counts: Partial<Record<CallerLimit, number>> = {};
    timer.subscribe(logIntervalMs, () => {
        if (Object.keys(counts).length > 0) {
            log.write(logEvents.callersOutsideLimits, counts);
            counts = {};
        }
    });
    return {
        record: limit => {
            recordMetric(limit);
            counts[limit] = (counts[limit] ?? 0) + 1;
        },
    };
}
