/** Prometheus metrics of the steering daemon, listed in `docs/reference/metrics.md`. */
import type { DropReason } from "@pimentospring/core/steering/crashCauses";
import type { Attempt, FinalResponse, Job } from "@pimentospring/core/steering/job";
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { EndedResponse, TargetResponse } from "../targets/targetResponse.js";
import type { WorkspaceCounts } from "./workspaceStatistics.js";

export interface SteerMetrics {
    recordAttempt(attempt: Attempt<TargetResponse>): void;
    recordRetry(service: string): void;
    /** Counts a copy of an object that is cached elsewhere. */
    recordCopy(service: string): void;
    recordRun(attempt: Attempt<TargetResponse>, wasQuick: boolean): void;
    recordFinalResponse(job: Job<TargetResponse>, finalResponse: FinalResponse<TargetResponse>, now: number): void;
    /** Counts a response that has ended, whether or not it is passed on. */
    recordTargetResponse(response: EndedResponse): void;
    recordDroppedLogLine(): void;
    /** Counts what was learned of requests that may crash targets. */
    recordPoisonEvidence(event: PoisonEvidence, count: number): void;
    /** Counts a target's response by how it ended towards its caller. */
    recordCallerResponse(outcome: string): void;
    /** Counts a request or connection that was ended as its caller went beyond a limit. */
    recordCallerLimit(limit: string): void;
    recordStoreCall(kind: string, outcome: string): void;
    /** Registers counters of workspaces, which call `read` on each scrape and show only what it returns. */
    registerWorkspaceCounters(read: () => readonly WorkspaceCounts[]): void;
    /** Registers a gauge that calls `read` on each scrape. */
    registerGauge(name: string, help: string, read: () => number): void;
    render(): Promise<string>;
    readonly contentType: string;
}

/** A death counted here or reported, a request cleared or refused on arrival, or the reason why a broken connection was not counted. */
export type PoisonEvidence = "counted" | "received" | "cleared" | "refused" | DropReason;

const latencyBucketsSeconds = [0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1, 1.5, 2.5, 4, 8, 15];
const waitBucketsSeconds = [0.001, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6];

export function createSteerMetrics(): SteerMetrics {
    const registry = new Registry();
    const registers = [registry];
    const endedRequests = new Counter({
        name: "pimento_requests_total",
        help: "Requests ended, by service, priority and outcome (status class or result code)",
        labelNames: ["service", "priority", "outcome"],
        registers,
    });
    const latency = new Histogram({
        name: "pimento_request_seconds",
        help: "Time from a request's arrival to its final response",
        labelNames: ["service"],
        buckets: latencyBucketsSeconds,
        registers,
    });
    const queueTime = new Histogram({
        name: "pimento_wait_seconds",
        help: "Time from a request's arrival to its first attempt at a target",
        labelNames: ["service"],
        buckets: waitBucketsSeconds,
        registers,
    });
    const attempts = new Counter({
        name: "pimento_tries_total",
        help: "Attempts sent to targets, by service and whether the object was expected to be warm at the target",
        labelNames: ["service", "warm"],
        registers,
    });
    const retries = new Counter({
        name: "pimento_repeats_total",
        help: "Retries at another target",
        labelNames: ["service"],
        registers,
    });
    const copies = new Counter({
        name: "pimento_copies_added_total",
        help: "Attempts that cached an object at a further target",
        labelNames: ["service"],
        registers,
    });
    const regionRuns = new Counter({
        name: "pimento_region_runs_total",
        help: "Successful runs at targets, by service, region of the target and observed warmth of the object",
        labelNames: ["service", "region", "found"],
        registers,
    });
    const runs = new Counter({
        name: "pimento_runs_total",
        help: "Successful runs at targets, by service, expected and observed warmth of the object",
        labelNames: ["service", "expected", "found"],
        registers,
    });
    const targetResponses = new Counter({
        name: "pimento_target_responses_total",
        help:
            "Responses of targets that have ended, by what marked their end and how the target had ended the connection by then",
        labelNames: ["framing", "end"],
        registers,
    });
    const poisonEvidence = new Counter({
        name: "pimento_poison_evidence_total",
        help: "Requests named as a cause of a target's death, by what became of it",
        labelNames: ["event"],
        registers,
    });
    const droppedLogLines = new Counter({
        name: "pimento_log_lines_dropped_total",
        help: "Log lines dropped to bound the volume",
        registers,
    });
    const callerResponses = new Counter({
        name: "pimento_caller_responses_total",
        help:
            "Responses of targets by how they ended towards their callers: whole, or cut as the caller left, for memory or by a stop",
        labelNames: ["outcome"],
        registers,
    });
    const callerLimits = new Counter({
        name: "pimento_caller_limits_total",
        help:
            "Requests and connections ended as their callers went beyond a limit: slow bodies, framing of bodies, bodies of small chunks, "
            + "heads that made room for others, unread responses, unparsed input",
        labelNames: ["limit"],
        registers,
    });
    const storeCalls = new Counter({
        name: "pimento_store_calls_total",
        help: "Calls to the platform's store, by kind and outcome",
        labelNames: ["kind", "outcome"],
        registers,
    });
    return {
        recordAttempt: attempt => {
            attempts.inc({ service: attempt.job.service, warm: String(attempt.isWarm) });
            if (attempt.job.writtenAttempts === 0) {
                queueTime.observe({ service: attempt.job.service }, (attempt.sentAt - attempt.job.request.arrivedAt) / 1_000);
            }
        },
        recordRetry: service => retries.inc({ service }),
        recordCopy: service => copies.inc({ service }),
        recordRun: ({ job, isWarm, target }, wasQuick) => {
            const found = wasQuick ? "known" : "new";
            runs.inc({ service: job.service, expected: isWarm ? "known" : "new", found });
            regionRuns.inc({ service: job.service, region: target.record.region, found });
        },
        recordFinalResponse: (job, finalResponse, now) => {
            const outcome = finalResponse.kind === "answer"
                ? `${Math.floor(finalResponse.answer.status / 100)}xx`
                : String(finalResponse.result.code);
            endedRequests.inc({ service: job.service, priority: String(job.terms.priority), outcome });
            latency.observe({ service: job.service }, (now - job.request.arrivedAt) / 1_000);
        },
        recordTargetResponse: ({ framing, connectionEnd }) => targetResponses.inc({ framing, end: connectionEnd }),
        recordDroppedLogLine: () => droppedLogLines.inc(),
        recordPoisonEvidence: (event, count) => poisonEvidence.inc({ event }, count),
        recordCallerResponse: outcome => callerResponses.inc({ outcome }),
        recordCallerLimit: limit => callerLimits.inc({ limit }),
        recordStoreCall: (kind, outcome) => storeCalls.inc({ kind, outcome }),
        registerWorkspaceCounters: read => {
            new Counter({
                name: "pimento_workspace_requests_total",
                help: "Requests of the workspaces with the most requests; without a name, those that named none",
                labelNames: ["workspace"],
                registers,
                collect() {
                    this.reset();
                    read().forEach(({ workspace = "", requests }) => this.inc({ workspace }, requests));
                },
            });
            new Counter({
                name: "pimento_workspace_refusals_total",
                help: "Refused requests of the workspaces with the most requests, by result code",
                labelNames: ["workspace", "result"],
                registers,
                collect() {
                    this.reset();
                    read().forEach(({ workspace = "", refusals }) =>
                        refusals.forEach((count, code) => this.inc({ workspace, result: String(code) }, count))
                    );
                },
            });
        },
        registerGauge: (name, help, read) => {
            new Gauge({
                name,
                help,
                registers,
                collect() {
                    this.set(read());
                },
            });
        },
        render: () => registry.metrics(),
        contentType: registry.contentType,
    };
}
