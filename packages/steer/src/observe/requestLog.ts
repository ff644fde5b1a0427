/**
 * One line for each request that was refused, failed, was repeated or came late, and for a sample of the others, with
 * the tries that led there. A sampled request is sampled at every entry, since its id decides.
 */
import { hashText } from "@pimentospring/core/hash/hash";
import type { Fingerprint, ServiceId } from "@pimentospring/core/ids";
import { createTokenBucket } from "@pimentospring/core/policy/budget";
import type { FinalResponse, Job } from "@pimentospring/core/steering/job";
import type { SteeringEvents } from "@pimentospring/core/steering/requestDispatcher";
import { expectedSlowness } from "@pimentospring/core/steering/target";
import type { Timer } from "@pimentospring/core/time/timer";
import type { Log } from "@pimentospring/runtime/logs/log";
import { logEvents } from "@pimentospring/runtime/logs/logEvents";
import type { Answer } from "../targets/answer.js";
import type { SteerMetrics } from "./metrics.js";
import type { ServiceTally } from "./serviceTally.js";

export interface RequestLogOptions {
    readonly timer: Timer;
    readonly log: Log;
    readonly metrics: SteerMetrics;
    readonly tally: ServiceTally;
    /** Room that other data centres lend for a service, in short. */
    readonly lent: (service: ServiceId) => string;
    /** Others should know that the request is not to blame for deaths of targets. */
    readonly absolved: (fingerprint: Fingerprint) => void;
}

/** One in this many ordinary requests is logged. */
const sampleOf = 64;
/** Most lines a second about requests; what is over is counted and told. */
const linesPerSecond = 40;
const burstMs = 1_000;

export function createRequestLog(options: RequestLogOptions): SteeringEvents<Answer> {
    const { timer, log, metrics, tally } = options;
    const bucket = createTokenBucket(timer, linesPerSecond, burstMs);
    const trails = new Map<Job<Answer>, string[]>();
    let dropped = 0;

    const note = (job: Job<Answer>, step: string): void => {
        const line = `${Math.round(timer.now() - job.request.arrivedAt)}ms ${step}`;
        const trail = trails.get(job);
        if (trail === undefined) {
            trails.set(job, [line]);
        }
        else {
            trail.push(line);
        }
    };
    const write = (job: Job<Answer>, ending: FinalResponse<Answer>, why: string): void => {
        if (!bucket.take(1)) {
            dropped++;
            metrics.logDropped();
            return;
        }
        const status = ending.kind === "answer" ? ending.answer.status : ending.result.status;
        log.write(logEvents.requestEnded, {
            request: job.request.id,
            route: job.route.name,
            service: job.service,
            object: job.request.objectId,
            status,
            result: ending.kind === "answer" ? undefined : ending.result.code,
            why,
            tookMs: Math.round(timer.now() - job.request.arrivedAt),
            leftMs: Math.round(job.request.deadlineAt - timer.now()),
            retryAfterMs: ending.kind === "refusal" && ending.retryAfterMs !== undefined
                ? Math.round(ending.retryAfterMs)
                : undefined,
            trail: trails.get(job) ?? [],
            notLogged: dropped === 0 ? undefined : dropped,
        });
        dropped = 0;
    };
    return {
        onAttemptStarted: (attempt, choice) => {
            const { target } = attempt;
            const age = target.report === undefined ? "none" : `${Math.round(timer.now() - target.report.receivedAt)}ms`;
            note(
                attempt.job,
                `sent to ${target.record.id} at ${target.record.dataCentre}, ${
                    choice.isWarm ? "known" : "new"
                } object, own ${target.inFlight}, `
                    + `report ${age} old, slowness ${expectedSlowness(target, timer.now()).toFixed(2)}, gain ${
                        choice.score.toFixed(2)
                    }`,
            );
            metrics.sent(attempt);
        },
        onQueued: (job, pressure) =>
            note(job, `waits, pressure ${pressure.toFixed(2)}, lent ${options.lent(job.service) || "none"}`),
        onRetry: (job, reason, target) => {
            note(job, `${target.record.id}: ${reason}`);
            metrics.repeated(job.service);
        },
        onWorkCompleted: (attempt, wasQuick) => {
            metrics.worked(attempt, wasQuick);
            tally.worked(attempt, wasQuick);
        },
        onPoisonCleared: job => {
            const fingerprint = job.request.fingerprint();
            log.write(logEvents.poison, { request: job.request.id, fingerprint, deaths: 0 });
            options.absolved(fingerprint);
        },
        onEnded: (job, ending, why) => {
            metrics.ended(job, ending, timer.now());
            tally.ended(job, ending);
            const isGood = ending.kind === "answer" && ending.answer.status < 300 && timer.now() <= job.objectiveAt &&
                job.writtenAttempts <= 1;
            if (!isGood || hashText(job.request.id) % sampleOf === 0) {
                write(job, ending, why);
            }
            trails.delete(job);
        },
    };
}
