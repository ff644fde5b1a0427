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
import type { TargetResponse } from "../targets/targetResponse.js";
import type { SteerMetrics } from "./metrics.js";
import type { RouteStatistics } from "./routeStatistics.js";

export interface RequestLogOptions {
    readonly timer: Timer;
    readonly log: Log;
    readonly metrics: SteerMetrics;
    readonly routeStatistics: RouteStatistics;
    /** Room that other data centres lend for a service, in short. */
    readonly describeLentSlots: (service: ServiceId) => string;
    /** Others should know that the request is not to blame for deaths of targets. */
    readonly onPoisonCleared: (fingerprint: Fingerprint) => void;
}

/** One in this many ordinary requests is logged. */
const sampleInterval = 64;
/** Most lines a second about requests; what is over is counted and told. */
const maxLinesPerSecond = 40;
const burstWindowMs = 1_000;

export function createRequestLog(options: RequestLogOptions): SteeringEvents<TargetResponse> {
    const { timer, log, metrics, routeStatistics: tally } = options;
    const bucket = createTokenBucket(timer, maxLinesPerSecond, burstWindowMs);
    const trails = new Map<Job<TargetResponse>, string[]>();
    let droppedLines = 0;

    const addStep = (job: Job<TargetResponse>, step: string): void => {
        const line = `${Math.round(timer.now() - job.request.arrivedAt)}ms ${step}`;
        const trail = trails.get(job);
        if (trail === undefined) {
            trails.set(job, [line]);
        }
        else {
            trail.push(line);
        }
    };
    const write = (job: Job<TargetResponse>, ending: FinalResponse<TargetResponse>, why: string): void => {
        if (!bucket.take(1)) {
            droppedLines++;
            metrics.recordDroppedLogLine();
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
            notLogged: droppedLines === 0 ? undefined : droppedLines,
        });
        droppedLines = 0;
    };
    return {
        onAttemptStarted: (attempt, choice) => {
            const { target } = attempt;
            const age = target.report === undefined ? "none" : `${Math.round(timer.now() - target.report.receivedAt)}ms`;
            addStep(
                attempt.job,
                `sent to ${target.record.id} at ${target.record.dataCentre}, ${
                    choice.isWarm ? "known" : "new"
                } object, own ${target.inFlight}, `
                    + `report ${age} old, slowness ${expectedSlowness(target, timer.now()).toFixed(2)}, gain ${
                        choice.score.toFixed(2)
                    }`,
            );
            metrics.recordAttempt(attempt);
        },
        onQueued: (job, pressure) =>
            addStep(job, `waits, pressure ${pressure.toFixed(2)}, lent ${options.describeLentSlots(job.service) || "none"}`),
        onRetry: (job, reason, target) => {
            addStep(job, `${target.record.id}: ${reason}`);
            metrics.recordRetry(job.service);
        },
        onWorkCompleted: (attempt, wasQuick) => {
            metrics.recordRun(attempt, wasQuick);
            tally.recordRun(attempt, wasQuick);
        },
        onPoisonCleared: job => {
            const fingerprint = job.request.fingerprint();
            log.write(logEvents.poison, { request: job.request.id, fingerprint, deaths: 0 });
            options.onPoisonCleared(fingerprint);
        },
        onEnded: (job, ending, why) => {
            metrics.recordEnding(job, ending, timer.now());
            tally.recordEnding(job, ending);
            const isGood = ending.kind === "answer" && ending.answer.status < 300 && timer.now() <= job.objectiveAt &&
                job.writtenAttempts <= 1;
            if (!isGood || hashText(job.request.id) % sampleInterval === 0) {
                write(job, ending, why);
            }
            trails.delete(job);
        },
    };
}
