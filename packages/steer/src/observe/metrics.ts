/** The steering daemon's metrics by `prom-client`; `docs/reference/metrics.md` lists them. */
import type { Attempt, FinalResponse, Job } from "@pimentospring/core/steering/job";
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { TargetResponse } from "../targets/targetResponse.js";

export interface SteerMetrics {
    recordAttempt(attempt: Attempt<TargetResponse>): void;
    recordRetry(service: string): void;
    recordRun(attempt: Attempt<TargetResponse>, wasQuick: boolean): void;
    recordEnding(job: Job<TargetResponse>, ending: FinalResponse<TargetResponse>, now: number): void;
    recordDroppedLogLine(): void;
    recordStoreCall(kind: string, outcome: string): void;
    /** A figure that is read whenever metrics are asked for. */
    registerGauge(name: string, help: string, read: () => number): void;
    render(): Promise<string>;
    readonly contentType: string;
}

/** Upper ends of the latency buckets, in seconds. */
const latencyBucketsSeconds = [0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1, 1.5, 2.5, 4, 8, 15];
const waitBucketsSeconds = [0.001, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6];

export function createSteerMetrics(): SteerMetrics {
    const registry = new Registry();
    const registers = [registry];
    const ended = new Counter({
        name: "pimento_requests_total",
        help: "Requests ended, by service, route priority and outcome: a status class or a result code",
        labelNames: ["service", "priority", "outcome"],
        registers,
    });
    const latency = new Histogram({
        name: "pimento_request_seconds",
        help: "Time from a request's arrival to its final answer",
        labelNames: ["service"],
        buckets: latencyBucketsSeconds,
        registers,
    });
    const waited = new Histogram({
        name: "pimento_wait_seconds",
        help: "Time from a request's arrival to its first try at a target",
        labelNames: ["service"],
        buckets: waitBucketsSeconds,
        registers,
    });
    const attempts = new Counter({
        name: "pimento_tries_total",
        help: "Requests sent to targets, by service and whether the target knows the object",
        labelNames: ["service", "warm"],
        registers,
    });
    const retries = new Counter({
        name: "pimento_repeats_total",
        help: "Requests sent again to another target",
        labelNames: ["service"],
        registers,
    });
    const runs = new Counter({
        name: "pimento_runs_total",
        help: "Runs of requests that ended well, by service, whether the target was expected to know the object and did",
        labelNames: ["service", "expected", "found"],
        registers,
    });
    const dropped = new Counter({
        name: "pimento_log_lines_dropped_total",
        help: "Log lines left out to bound the volume",
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
                waited.observe({ service: attempt.job.service }, (attempt.sentAt - attempt.job.request.arrivedAt) / 1_000);
            }
        },
        recordRetry: service => retries.inc({ service }),
        recordRun: ({ job, isWarm }, wasQuick) =>
            runs.inc({ service: job.service, expected: isWarm ? "known" : "new", found: wasQuick ? "known" : "new" }),
        recordEnding: (job, ending, now) => {
            const outcome = ending.kind === "answer" ? `${Math.floor(ending.answer.status / 100)}xx` : String(ending.result.code);
            ended.inc({ service: job.service, priority: String(job.route.priority), outcome });
            latency.observe({ service: job.service }, (now - job.request.arrivedAt) / 1_000);
        },
        recordDroppedLogLine: () => dropped.inc(),
        recordStoreCall: (kind, outcome) => storeCalls.inc({ kind, outcome }),
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
