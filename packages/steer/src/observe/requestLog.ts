/**
 * Logs each request that was refused, failed, retried or late, or whose answer ended with its connection, and a sample of
 * the others, with the steps of its attempts; the rest is listed. Sampling hashes the request id, so that every entry
 * samples the same requests.
 */
import { hashText } from "@pimentospring/core/hash/hash";
import type { ServiceId, TargetId } from "@pimentospring/core/ids";
import { createTokenBucket } from "@pimentospring/core/policy/budget";
import { results } from "@pimentospring/core/results/resultCode";
import type { FinalResponse, Job } from "@pimentospring/core/steering/job";
import type { SteeringEvents } from "@pimentospring/core/steering/steeringEvents";
import { expectedSlowness } from "@pimentospring/core/steering/target";
import type { Timer } from "@pimentospring/core/time/timer";
import type { Log, LogFields } from "@pimentospring/runtime/logs/log";
import { logEvents } from "@pimentospring/runtime/logs/logEvents";
import type { PoisonReporting } from "../poison/poisonReporting.js";
import type { ReceivedResponse } from "../targets/targetResponse.js";
import { createAnsweredRequests } from "./answeredRequests.js";
import type { SteerMetrics } from "./metrics.js";
import type { RouteStatistics } from "./routeStatistics.js";
import type { WarmStatistics } from "./warmStatistics.js";
import type { WorkspaceStatistics } from "./workspaceStatistics.js";

export interface RequestLogOptions {
    readonly timer: Timer;
    readonly log: Log;
    readonly metrics: SteerMetrics;
    readonly routeStatistics: RouteStatistics;
    readonly workspaceStatistics: WorkspaceStatistics;
    readonly warmStatistics: WarmStatistics;
    /** Summary of the slots that other data centres lend to a service. */
    readonly describeLentSlots: (service: ServiceId) => string;
    /** Called when a request suspected of killing targets has been served; other entries are to be informed. */
    readonly onPoisonCleared: PoisonReporting["onCleared"];
    readonly onPoisonRefused: PoisonReporting["onRefused"];
}

export interface RequestLog extends SteeringEvents<ReceivedResponse> {
    /** Writes what is listed of answered requests at once, as the process ends. */
    writeAnswered(): void;
}

/** One in this many unremarkable requests is logged. */
const sampleInterval = 64;
/** Lines beyond this rate are dropped; the next line reports their number. */
const maxLinesPerSecond = 40;
const burstWindowMs = 1_000;
/** Limit on the lines on requests refused for their workspace. */
const maxRefusalLinesPerSecond = 5;

export function createRequestLog(options: RequestLogOptions): RequestLog {
    const { timer, log, metrics, routeStatistics, workspaceStatistics, warmStatistics } = options;
    const lineBudget = createTokenBucket(timer, maxLinesPerSecond, burstWindowMs);
    const answeredRequests = createAnsweredRequests(timer, log);
    const stepsByJob = new Map<Job<ReceivedResponse>, string[]>();
    const lastTargets = new Map<Job<ReceivedResponse>, TargetId>();
    const refusalLineBudget = createTokenBucket(timer, maxRefusalLinesPerSecond, burstWindowMs);
    let droppedLines = 0;
    let droppedRefusalLines = 0;

    const addStep = (job: Job<ReceivedResponse>, step: string): void => {
        const line = `${Math.round(timer.now() - job.request.arrivedAt)}ms ${step}`;
        const steps = stepsByJob.get(job);
        if (steps === undefined) {
            stepsByJob.set(job, [line]);
        }
        else {
            steps.push(line);
        }
    };
    /** Returns false if the line was dropped. */
    const writeLine = (job: Job<ReceivedResponse>, finalResponse: FinalResponse<ReceivedResponse>, reason: string): boolean => {
        if (!lineBudget.take(1)) {
            droppedLines++;
            metrics.recordDroppedLogLine();
            return false;
        }
        const status = finalResponse.kind === "answer" ? finalResponse.answer.status : finalResponse.result.status;
        log.write(logEvents.requestEnded, {
            request: job.request.id,
            route: job.route.name,
            service: job.service,
            workspace: job.terms.workspace?.id,
            object: job.request.objectId,
            status,
            result: finalResponse.kind === "answer" ? undefined : finalResponse.result.code,
            why: reason,
            tookMs: Math.round(timer.now() - job.request.arrivedAt),
            leftMs: Math.round(job.request.deadlineAt - timer.now()),
            retryAfterMs: finalResponse.kind === "refusal" && finalResponse.retryAfterMs !== undefined
                ? Math.round(finalResponse.retryAfterMs)
                : undefined,
            ...(finalResponse.kind === "answer" ? receptionFields(finalResponse.answer) : {}),
            trail: stepsByJob.get(job) ?? [],
            notLogged: droppedLines === 0 ? undefined : droppedLines,
        });
        droppedLines = 0;
        return true;
    };
    return {
        onAttemptStarted: (attempt, choice) => {
            const { target } = attempt;
            lastTargets.set(attempt.job, target.record.id);
            const reportAge = target.report === undefined ? "none" : `${Math.round(timer.now() - target.report.receivedAt)}ms`;
            addStep(
                attempt.job,
                `sent to ${target.record.id} at ${target.record.dataCentre}, ${
                    choice.isWarm ? "known" : "new"
                } object, own ${target.inFlight}, `
                    + `report ${reportAge} old, slowness ${expectedSlowness(target, timer.now()).toFixed(2)}, gain ${
                        choice.score.toFixed(2)
                    }`,
            );
            metrics.recordAttempt(attempt);
            if (warmStatistics.recordStart(attempt, choice)) {
                metrics.recordCopy(attempt.job.service);
            }
        },
        onQueued: (job, pressure) =>
            addStep(job, `waits, pressure ${pressure.toFixed(2)}, lent ${options.describeLentSlots(job.service) || "none"}`),
        onRetry: (job, reason, target) => {
            addStep(job, `${target.record.id}: ${reason}`);
            metrics.recordRetry(job.service);
        },
        onWorkCompleted: (attempt, wasQuick) => {
            metrics.recordRun(attempt, wasQuick);
            routeStatistics.recordRun(attempt, wasQuick);
            warmStatistics.recordRun(attempt, wasQuick);
        },
        onWorkspaceRefused: ({ request, route, result, workspace }) => {
            workspaceStatistics.record(workspace, result);
            if (!refusalLineBudget.take(1)) {
                droppedRefusalLines++;
                metrics.recordDroppedLogLine();
                return;
            }
            log.write(logEvents.workspaceRefused, {
                request: request.id,
                route: route.name,
                workspace,
                result: result.code,
                reason: result.name,
                notLogged: droppedRefusalLines === 0 ? undefined : droppedRefusalLines,
            });
            droppedRefusalLines = 0;
        },
        onPoisonRefused: (request, workspace) => {
            if (workspace !== undefined) {
                workspaceStatistics.record(workspace, results.poisonRequest);
            }
            options.onPoisonRefused(request, workspace);
        },
        onPoisonCleared: (job, cleared) => options.onPoisonCleared(job.request, cleared),
        onEnded: (job, finalResponse, reason) => {
            metrics.recordFinalResponse(job, finalResponse, timer.now());
            routeStatistics.recordFinalResponse(job, finalResponse);
            if (job.terms.directory.needsKeys) {
                workspaceStatistics.record(
                    job.terms.workspace?.id,
                    finalResponse.kind === "refusal" ? finalResponse.result : undefined,
                );
            }
            const isUnremarkable = finalResponse.kind === "answer" && finalResponse.answer.status < 300 &&
                finalResponse.answer.framing !== "connectionEnd" && timer.now() <= job.objectiveAt && job.writtenAttempts <= 1;
            const isLogged = (!isUnremarkable || hashText(job.request.id) % sampleInterval === 0)
                && writeLine(job, finalResponse, reason);
            if (!isLogged && finalResponse.kind === "answer") {
                answeredRequests.add(job.request.id, lastTargets.get(job), finalResponse.answer);
            }
            stepsByJob.delete(job);
            lastTargets.delete(job);
        },
        writeAnswered: answeredRequests.write,
    };
}

const receptionFields = ({ framing, body, connectionEnd, hasOtherHead }: ReceivedResponse): LogFields => ({
    framing,
    bytes: body.length,
    connectionEnd,
    hasOtherHead: hasOtherHead || undefined,
});
