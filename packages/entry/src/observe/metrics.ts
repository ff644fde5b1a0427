/** Prometheus metrics of the entry; `docs/reference/metrics.md` lists them. */
import type { EntryCore } from "@pimentospring/core/entryCore";
import type { Result } from "@pimentospring/core/results/resultCode";
import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from "prom-client";

export interface Metrics {
    countLookup(): void;
    recordResponse(service: string, code: number, seconds: number): void;
    countRefusal(service: string, result: Result): void;
    countAttempt(place: "target" | "peer"): void;
    countCutResponse(service: string): void;
    text(): Promise<string>;
    readonly contentType: string;
}

/** Upper bounds of the latency histogram's buckets. */
const latencyBucketsSeconds = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30];

export function createMetrics(core: () => EntryCore): Metrics {
    const registry = new Registry();
    collectDefaultMetrics({ register: registry });
    const registers = [registry];
    // Counted as plain numbers and copied on collection: the library's labels cost more than a look-up.
    let lookupCount = 0;
    const endedCounts = new Map<string, Map<number, number>>();
    const attemptCounts = { target: 0, peer: 0 };
    const cutCounts = new Map<string, number>();
    new Counter({
        name: "pimento_lookups_total",
        help: "Look-ups answered",
        registers,
        collect() {
            this.reset();
            this.inc(lookupCount);
        },
    });
    new Counter({
        name: "pimento_requests_total",
        help: "Requests ended, by service and result code",
        labelNames: ["service", "code"],
        registers,
        collect() {
            this.reset();
            endedCounts.forEach((codes, service) =>
                codes.forEach((count, code) => this.inc({ service, code: String(code) }, count))
            );
        },
    });
    const latency = new Histogram({
        name: "pimento_request_seconds",
        help: "Time from a request's arrival to the headers of its response",
        labelNames: ["service"],
        buckets: latencyBucketsSeconds,
        registers,
    });
    new Counter({
        name: "pimento_tries_total",
        help: "Attempts sent to targets and peers; retries and hedges make them more than the requests",
        labelNames: ["place"],
        registers,
        collect() {
            this.reset();
            this.inc({ place: "target" }, attemptCounts.target);
            this.inc({ place: "peer" }, attemptCounts.peer);
        },
    });
    new Counter({
        name: "pimento_cut_responses_total",
        help: "Responses cut after their headers were sent, as their target or peer, or this entry, ended before their bodies",
        labelNames: ["service"],
        registers,
        collect() {
            this.reset();
            cutCounts.forEach((count, service) => this.inc({ service }, count));
        },
    });
    new Gauge({
        name: "pimento_revision",
        help: "Revision of the configuration in force",
        registers,
        collect() {
            this.set(core().status().revision);
        },
    });
    const addServiceGauge = (
        name: string,
        help: string,
        read: (service: ReturnType<EntryCore["status"]>["services"][number]) => number,
    ) => new Gauge({
        name,
        help,
        labelNames: ["service"],
        registers,
        collect() {
            for (const service of core().status().services) {
                this.set({ service: service.service }, read(service));
            }
        },
    });
    addServiceGauge("pimento_slots", "Target slots that this entry may use now", service => service.capacity);
    addServiceGauge("pimento_slots_in_use", "Requests in flight at targets", service => service.inFlight);
    addServiceGauge("pimento_queued", "Requests queued for a slot", service => service.queued);
    new Gauge({
        name: "pimento_peers",
        help: "Other entries, by state",
        labelNames: ["state"],
        registers,
        collect() {
            this.reset();
            for (const peer of core().status().peers) {
                this.inc({ state: peer.state });
            }
        },
    });
    const count = (service: string, code: number): void => {
        let codes = endedCounts.get(service);
        if (codes === undefined) {
            codes = new Map();
            endedCounts.set(service, codes);
        }
        codes.set(code, (codes.get(code) ?? 0) + 1);
    };
    return {
        countLookup: () => {
            lookupCount++;
        },
        recordResponse: (service, code, seconds) => {
            count(service, code);
            latency.observe({ service }, seconds);
        },
        countRefusal: (service, result) => count(service, result.code),
        countAttempt: place => {
            attemptCounts[place]++;
        },
        countCutResponse: service => {
            cutCounts.set(service, (cutCounts.get(service) ?? 0) + 1);
        },
        text: () => registry.metrics(),
        contentType: registry.contentType,
    };
}
