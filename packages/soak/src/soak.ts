/** One soak run: a cluster under load with a seeded fault schedule, then a fault-free phase, then the promise checks. */
import { createRandom } from "@pimentospring/core/random/random";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { type Cluster, startCluster } from "./cluster/cluster.js";
import { readinessRequestId } from "./cluster/daemonProcess.js";
import { affectedDaemon, faultInjectors } from "./faults/faultInjectors.js";
import {
    answerKinds,
    createFaultSchedule,
    type Fault,
    type FaultKind,
    floodKinds,
    lostStoreKinds,
    noticeKinds,
    processKinds,
    responseKinds,
} from "./faults/schedule.js";
import { createCallers, manyCallers } from "./load/callers.js";
import { createPromiseChecks, versionProbePath } from "./promises/promises.js";
import type { AttemptOutcome, FaultSpan, SoakRecord, Violation } from "./promises/records.js";

export interface SoakOptions {
    readonly seed: number;
    /** Length of the phase in which faults start and end. */
    readonly faultPhaseMs: number;
    /** Mean gap between the starts of two faults; gaps are up to twice as long. */
    readonly meanGapMs: number;
    /** The same for faults of the daemons' processes, ports and settings files; 0 for none of them. */
    readonly meanProcessGapMs: number;
    /** The same for returns of the store from an older copy; 0 for none. */
    readonly meanLostStoreGapMs: number;
    /** The same for clients that press a daemon; 0 for none. */
    readonly meanFloodGapMs: number;
    readonly callers: number;
    /** Whether some callers read more slowly than a stopping daemon can wait for. */
    readonly hasOutlastingReaders: boolean;
    readonly loopbackSubnet: number;
    /** Folder for logs and the record. */
    readonly folder: string;
}

export interface SoakResult {
    readonly seed: number;
    readonly violations: readonly Violation[];
    readonly requests: number;
    readonly served: number;
    readonly runs: number;
    readonly faults: number;
    /** Targets that the request that crashes them ended. */
    readonly crashes: number;
    /** Largest resident size of a daemon's process. */
    readonly maxResidentMb: number;
    /** Part of the time for which the soak's own process was busy. */
    readonly busyRatio: number;
}

const noticeSeedOffset = 1_000_000;
const responseSeedOffset = 2_000_000;
const processSeedOffset = 3_000_000;
const answerSeedOffset = 4_000_000;
/** Seed offset of the shapes of the targets' answers. */
const shapeSeedOffset = 5_000_000;
const lostStoreSeedOffset = 6_000_000;
const floodSeedOffset = 7_000_000;
/** Faults that are drawn on their own are this much rarer than other faults. */
const rareGapFactor = 3;
const calmPhaseMs = 8_000;
/** Part of the fault phase after which copies of a request that crashes targets begin. */
const crashingFromFraction = 0.25;
const readinessTimeoutMs = 15_000;
const probeTimeoutMs = 1_000;

export async function runSoak(options: SoakOptions): Promise<SoakResult> {
    const { seed, faultPhaseMs: lengthMs, folder } = options;
    const faults = drawFaults(options);
    const cluster = await startCluster({
        loopbackSubnet: options.loopbackSubnet,
        folder,
        answerRandom: createRandom(seed + shapeSeedOffset),
        haveLateSeeds: options.meanProcessGapMs > 0,
    });
    const outcomes: AttemptOutcome[] = [];
    const disturbances: FaultSpan[] = [];
    try {
        await waitUntilReady(cluster);
        const startedAt = performance.now();
        const utilization = performance.eventLoopUtilization();
        const calmFrom = startedAt + lengthMs;
        const callers = createCallers({
            daemons: cluster.daemons,
            random: createRandom(seed + 1),
            bodyRandom: createRandom(seed + 2),
            paceRandom: createRandom(seed + 3),
            outcomes,
            routes: cluster.loadRoutes,
            probePath: () => versionProbePath(cluster.currentVersion()),
            probeTimeoutMs,
            loopbackSubnet: options.loopbackSubnet,
            hasOutlastingReaders: options.hasOutlastingReaders,
            calmFrom,
        });
        const load = callers.run(options.callers, calmFrom + calmPhaseMs);
        const crashing = callers.sendCrashing(startedAt + crashingFromFraction * lengthMs, calmFrom + calmPhaseMs);
        await Promise.all([load, crashing, ...faults.map(fault => injectFault(cluster, fault, disturbances))]);
        const observations = cluster.observations();
        const runs = observations.runs.filter(run => run.request !== readinessRequestId);
        const isAtLimits = options.callers >= manyCallers;
        const endedAt = performance.now();
        const record: SoakRecord = { outcomes, ...observations, runs, disturbances, isAtLimits, calmFrom, endedAt };
        const violations = Object.values(createPromiseChecks(cluster.retrySlack)).flatMap(check => check(record));
        writeRecords(folder, faults, record, violations);
        const served = outcomes.filter(outcome => outcome.status === 200).length;
        return {
            seed,
            violations,
            requests: outcomes.length,
            served,
            runs: runs.length,
            faults: faults.length,
            crashes: record.crashes.length,
            maxResidentMb: Math.max(...record.daemonRuns.map(run => run.maxResidentMb)),
            busyRatio: performance.eventLoopUtilization(utilization).utilization,
        };
    }
    finally {
        await cluster.close();
    }
}

/** Each group of kinds is drawn on its own, so that a new one leaves the other faults of a seed as they were. */
function drawFaults(options: SoakOptions): readonly Fault[] {
    const { seed, faultPhaseMs, meanGapMs, meanProcessGapMs, meanLostStoreGapMs, meanFloodGapMs } = options;
    const draw = (seedOffset: number, gapMs: number, kinds?: readonly FaultKind[]): readonly Fault[] =>
        createFaultSchedule(createRandom(seed + seedOffset), faultPhaseMs, gapMs, kinds);
    return [
        ...draw(0, meanGapMs),
        ...draw(noticeSeedOffset, rareGapFactor * meanGapMs, noticeKinds),
        ...draw(responseSeedOffset, rareGapFactor * meanGapMs, responseKinds),
        ...draw(answerSeedOffset, rareGapFactor * meanGapMs, answerKinds),
        ...(meanProcessGapMs === 0 ? [] : draw(processSeedOffset, meanProcessGapMs, processKinds)),
        ...(meanLostStoreGapMs === 0 ? [] : draw(lostStoreSeedOffset, meanLostStoreGapMs, lostStoreKinds)),
        ...(meanFloodGapMs === 0 ? [] : draw(floodSeedOffset, meanFloodGapMs, floodKinds)),
    ];
}

async function injectFault(cluster: Cluster, fault: Fault, disturbances: FaultSpan[]): Promise<void> {
    await sleep(fault.at);
    const daemon = affectedDaemon(cluster, fault);
    const from = performance.now();
    await faultInjectors[fault.kind](cluster, fault);
    if (daemon !== undefined) {
        disturbances.push({ daemon, kind: fault.kind, from, to: performance.now() });
    }
}

/** Waits until every daemon serves requests; throws if one does not in time. */
async function waitUntilReady(cluster: Cluster): Promise<void> {
    const until = performance.now() + readinessTimeoutMs;
    for (const daemon of cluster.daemons) {
        for (;;) {
            const isReady = await request(`http://${daemon.listen.callers}/look/1`, {
                reset: true,
                signal: AbortSignal.timeout(readinessTimeoutMs),
                headers: { "host": "a.example", "x-request-id": readinessRequestId, "x-deadline-ms": "500" },
            }).then(async answer => {
                await answer.body.dump();
                return answer.statusCode === 200;
            }, () => false);
            if (isReady) {
                break;
            }
            if (performance.now() > until) {
                throw new Error(`${daemon.placement.name} did not serve requests within ${readinessTimeoutMs} ms`);
            }
            await sleep(100);
        }
    }
}

function writeRecords(folder: string, faults: readonly Fault[], record: SoakRecord, violations: readonly Violation[]): void {
    writeFileSync(join(folder, "faults.json"), JSON.stringify(faults, undefined, 1));
    if (violations.length > 0) {
        writeFileSync(join(folder, "record.json"), JSON.stringify({ breaches: violations, ...record }));
    }
}
