/** One soak: a cluster under load while a seeded schedule of faults runs, then a calm end, then the judgement. */
import { createRandom } from "@pimentospring/core/random/random";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { type Cluster, startCluster } from "./cluster/cluster.js";
import { affectedDaemon, faultInjectors } from "./faults/faultInjectors.js";
import { createFaultSchedule, type Fault } from "./faults/schedule.js";
import { createCallers } from "./load/callers.js";
import { createPromiseChecks, versionProbePath } from "./promises/promises.js";
import type { AttemptOutcome, FaultSpan, SoakRecord, Violation } from "./promises/records.js";

export interface SoakOptions {
    readonly seed: number;
    /** Time in which faults begin and end. */
    readonly faultPhaseMs: number;
    /** Half of the longest gap between the starts of two faults. */
    readonly meanGapMs: number;
    readonly callers: number;
    readonly loopbackSubnet: number;
    /** Where logs and the record are kept. */
    readonly folder: string;
}

export interface SoakResult {
    readonly seed: number;
    readonly violations: readonly Violation[];
    readonly requests: number;
    readonly served: number;
    readonly runs: number;
    readonly faults: number;
}

const calmMs = 8_000;
const readyMs = 15_000;
const probeTimeoutMs = 1_000;
/** Id of the requests by which the soak waits for the daemons; no promise is judged on them. */
const readinessId = "readiness";

export async function runSoak(options: SoakOptions): Promise<SoakResult> {
    const { seed, faultPhaseMs: lengthMs, folder } = options;
    const faults = createFaultSchedule(createRandom(seed), lengthMs, options.meanGapMs);
    const cluster = await startCluster({ loopbackSubnet: options.loopbackSubnet, folder });
    const outcomes: AttemptOutcome[] = [];
    const disturbances: FaultSpan[] = [];
    try {
        await readiness(cluster);
        const startedAt = performance.now();
        const calmFrom = startedAt + lengthMs;
        const callers = createCallers({
            daemons: cluster.daemons,
            random: createRandom(seed + 1),
            outcomes,
            routes: cluster.loadRoutes,
            probePath: () => versionProbePath(cluster.currentVersion()),
            probeTimeoutMs,
        });
        const load = callers.run(options.callers, calmFrom + calmMs);
        await Promise.all([load, ...faults.map(fault => apply(cluster, fault, disturbances))]);
        const seen = cluster.observations();
        const runs = seen.runs.filter(run => run.request !== readinessId);
        const record: SoakRecord = { outcomes, ...seen, runs, disturbances, calmFrom, endedAt: performance.now() };
        const breaches = Object.values(createPromiseChecks(cluster.retrySlack)).flatMap(check => check(record));
        keep(folder, faults, record, breaches);
        const served = outcomes.filter(outcome => outcome.status === 200).length;
        return { seed, violations: breaches, requests: outcomes.length, served, runs: runs.length, faults: faults.length };
    }
    finally {
        await cluster.close();
    }
}

async function apply(cluster: Cluster, fault: Fault, disturbances: FaultSpan[]): Promise<void> {
    await sleep(fault.at);
    const daemon = affectedDaemon(cluster, fault);
    const from = performance.now();
    await faultInjectors[fault.kind](cluster, fault);
    if (daemon !== undefined) {
        disturbances.push({ daemon, kind: fault.kind, from, to: performance.now() });
    }
}

/** Waits until every daemon serves; a cluster that never does ends the soak with an error. */
async function readiness(cluster: Cluster): Promise<void> {
    const until = performance.now() + readyMs;
    for (const daemon of cluster.daemons) {
        for (;;) {
            const isReady = await request(`http://${daemon.callersAddress}/look/1`, {
                reset: true,
                headers: { "host": "a.example", "x-request-id": readinessId, "x-deadline-ms": "500" },
            }).then(async answer => {
                await answer.body.dump();
                return answer.statusCode === 200;
            }, () => false);
            if (isReady) {
                break;
            }
            if (performance.now() > until) {
                throw new Error(`${daemon.placement.name} did not serve within ${readyMs} ms`);
            }
            await sleep(100);
        }
    }
}

function keep(folder: string, faults: readonly Fault[], record: SoakRecord, breaches: readonly Violation[]): void {
    writeFileSync(join(folder, "faults.json"), JSON.stringify(faults, undefined, 1));
    if (breaches.length > 0) {
        writeFileSync(join(folder, "record.json"), JSON.stringify({ breaches, ...record }));
    }
}
