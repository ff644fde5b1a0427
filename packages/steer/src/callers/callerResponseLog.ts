/** Counts and logs how responses ended towards their callers. */
import { createTokenBucket } from "@pimentospring/core/policy/budget";
import type { Timer } from "@pimentospring/core/time/timer";
import { idWord } from "@pimentospring/runtime/logs/idWord";
import type { Log } from "@pimentospring/runtime/logs/log";
import { logEvents } from "@pimentospring/runtime/logs/logEvents";
import type { CallerResponseEnd, ResponseProgress } from "./callerResponseEnd.js";

export interface CallerResponseLogOptions {
    readonly timer: Timer;
    readonly log: Log;
    /** Counts a response that ended. */
    readonly recordEnd: (outcome: CallerResponseEnd["outcome"]) => void;
}

export interface CallerResponseLog {
    onEnd(end: CallerResponseEnd): void;
    /** Logs the responses that the stop cuts. */
    writeStopCuts(cuts: readonly ResponseProgress[]): void;
}

const maxLinesPerSecond = 10;
const burstWindowMs = 1_000;
/** Responses named in one line. */
const maxNamedCuts = 50;

export function createCallerResponseLog({ timer, log, recordEnd }: CallerResponseLogOptions): CallerResponseLog {
    const lineBudget = createTokenBucket(timer, maxLinesPerSecond, burstWindowMs);
    return {
        onEnd: ({ outcome, requestId, status, sentBytes, dueBytes }) => {
            recordEnd(outcome);
            // Callers that leave are ordinary and only counted; what a stop cuts is in one line.
            if (outcome === "memory" && lineBudget.take(1)) {
                log.write(logEvents.responseCut, { request: requestId, status, why: outcome, sentBytes, dueBytes });
            }
        },
        writeStopCuts: cuts => {
            if (cuts.length > 0) {
                const named = cuts.slice(0, maxNamedCuts).map(cut => `${idWord(cut.requestId)} ${cut.sentBytes}/${cut.dueBytes}`);
                log.write(logEvents.responsesCutByStop, { count: cuts.length, requests: named });
            }
        },
    };
}
