/** Logs each request that was refused, with its attempts, at a bounded rate. */
import { createTokenBucket } from "@pimentospring/core/policy/budget";
import type { Result } from "@pimentospring/core/results/resultCode";
import type { Timer } from "@pimentospring/core/time/timer";
import type { Log } from "@pimentospring/runtime/logs/log";
import { logEvents } from "@pimentospring/runtime/logs/logEvents";

/** A request that ended without a target's response. */
export interface RefusedRequest {
    readonly traceId: string;
    readonly service: string;
    /** Who sent it: a caller, or the peer that passed it on. */
    readonly origin: string;
    readonly result: Result;
    readonly tookMs: number;
    /** Where it was sent, and how each attempt ended. */
    readonly trail: readonly string[];
}

export interface RefusalLogOptions {
    readonly timer: Timer;
    readonly log: Log;
}

/** Lines beyond this rate are left out; the next line tells how many. */
const maxLinesPerSecond = 40;
const burstWindowMs = 1_000;

export function createRefusalLog({ timer, log }: RefusalLogOptions): (request: RefusedRequest) => void {
    const lineBudget = createTokenBucket(timer, maxLinesPerSecond, burstWindowMs);
    let notLogged = 0;
    return ({ traceId, service, origin, result, tookMs, trail }) => {
        if (!lineBudget.take(1)) {
            notLogged++;
            return;
        }
        log.write(logEvents.requestEnded, {
            request: traceId,
            service,
            origin,
            status: result.status,
            result: result.code,
            why: result.name,
            tookMs: Math.round(tookMs),
            trail,
            notLogged: notLogged === 0 ? undefined : notLogged,
        });
        notLogged = 0;
    };
}
