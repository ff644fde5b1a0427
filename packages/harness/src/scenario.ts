/** Simulates a deployment under load and faults and summarizes the results that callers got. */
import type { Policy } from "@pimentospring/core/policy/policy";
import { createRandom } from "@pimentospring/core/random/random";
import type { FakeDeployment, LoadClass } from "./deployments.js";
import { createFakeCaller } from "./fakeCaller.js";
import { createSimulation, type Simulation } from "./simulation.js";

/** An action on the simulation; `at` is in milliseconds after the start of the load. */
export interface ScheduledAction {
    readonly at: number;
    readonly run: (simulation: Simulation) => void;
}

export interface ScenarioOptions {
    readonly deployment: FakeDeployment;
    readonly seed: number;
    /** Load as a ratio of `capacityPerSecond`. */
    readonly loadRatio: number;
    readonly durationMs: number;
    /** Time before the load starts, in which the entries connect to each other. */
    readonly settleMs?: number;
    /** Time after the load in which outstanding work ends. */
    readonly cooldownMs?: number;
    readonly scheduledActions?: readonly ScheduledAction[];
    readonly policy?: Policy;
    /** Replaces the deployment's load classes, for example to change their weights. */
    readonly classes?: readonly LoadClass[];
    /** Addresses of the callers; all callers of the deployment by default. */
    readonly callers?: readonly string[];
    readonly listLagMs?: number;
}

/** Results of one load class as seen by callers. */
export interface ClassSummary {
    readonly name: string;
    readonly sent: number;
    readonly answered: number;
    readonly notRun: number;
    readonly unknown: number;
    /** Latency percentiles of answered work. */
    readonly p50Ms: number;
    readonly p99Ms: number;
}

export interface ScenarioResult {
    readonly simulation: Simulation;
    readonly classes: readonly ClassSummary[];
    readonly sent: number;
    readonly answered: number;
    readonly notRun: number;
    readonly unknown: number;
    /** Attempts started by targets per request sent by callers. */
    readonly targetAttemptsPerRequest: number;
}

export function runScenario(options: ScenarioOptions): ScenarioResult {
    const { deployment } = options;
    const simulation = createSimulation({
        document: deployment.document,
        entries: deployment.entries,
        delays: deployment.delays,
        seed: options.seed,
        ...(options.policy === undefined ? {} : { policy: options.policy }),
        ...(options.listLagMs === undefined ? {} : { listLagMs: options.listLagMs }),
    });
    simulation.timer.advance(options.settleMs ?? 6_000);
    const startedAt = simulation.timer.now();
    const sent = startLoad(simulation, options);
    options.scheduledActions?.forEach(({ at, run: act }) => void simulation.timer.after(at, () => act(simulation)));
    simulation.timer.advance(options.durationMs + (options.cooldownMs ?? 15_000));
    return summarize(simulation, options.classes ?? deployment.loadClasses, sent, startedAt);
}

/** Requests per second that fill the slots of the busiest service. A slot is held for the network round trip too. */
export function capacityPerSecond(deployment: FakeDeployment, classes: readonly LoadClass[] = deployment.loadClasses): number {
    const weight = classes.reduce((sum, entry) => sum + entry.weight, 0);
    const services = [...new Set(classes.map(entry => entry.service))];
    const perService = services.map(service => {
        const slots = deployment.document.targets.filter(target => target.service === service)
            .reduce((sum, target) => sum + target.slots, 0);
        const busyMs = classes.filter(entry => entry.service === service)
            .reduce((sum, entry) => sum + (entry.weight / weight) * (entry.meanMs + 2 * deployment.delays.withinRegionMs), 0);
        return (slots * 1000) / busyMs;
    });
    return Math.min(...perService);
}

function startLoad(simulation: Simulation, options: ScenarioOptions): Map<string, number> {
    const { deployment } = options;
    const classes = options.classes ?? deployment.loadClasses;
    const random = createRandom(options.seed + 1);
    const callers = (options.callers ?? deployment.callers).map(address => createFakeCaller(simulation, address));
    const meanGapMs = 1000 / (capacityPerSecond(deployment, classes) * options.loadRatio);
    const sent = new Map<string, number>();
    const endAt = simulation.timer.now() + options.durationMs;
    let count = 0;
    const sendNext = (): void => {
        if (simulation.timer.now() >= endAt) {
            return;
        }
        const loadClass = pickClass(classes, random.next());
        const work = `work-${++count}`;
        sent.set(loadClass.name, (sent.get(loadClass.name) ?? 0) + 1);
        callers[random.below(callers.length)]!.send({
            workId: work,
            service: loadClass.service,
            method: loadClass.method,
            path: `${loadClass.path}/${work}`,
            isAtMostOnce: loadClass.isAtMostOnce,
            meanMs: loadClass.meanMs,
            isPoison: false,
            deadlineMs: loadClass.deadlineMs,
        }, loadClass.name);
        simulation.timer.after(random.exponential(meanGapMs), sendNext);
    };
    simulation.timer.after(random.exponential(meanGapMs), sendNext);
    return sent;
}

function pickClass(classes: readonly LoadClass[], uniform: number): LoadClass {
    let point = uniform * classes.reduce((sum, entry) => sum + entry.weight, 0);
    return classes.find(entry => {
        point -= entry.weight;
        return point < 0;
    }) ?? classes[0]!;
}

function summarize(
    simulation: Simulation,
    classes: readonly LoadClass[],
    sent: ReadonlyMap<string, number>,
    startedAt: number,
): ScenarioResult {
    const done = simulation.log.ofKind("callerDone");
    const summaries = classes.map(({ name }): ClassSummary => {
        const rows = done.filter(row => row.loadClass === name);
        const latencies = rows.filter(row => row.finalOutcome === "answered").map(row => row.latencyMs).sort((a, b) => a - b);
        const quantile = (fraction: number): number =>
            latencies[Math.min(latencies.length - 1, Math.floor(fraction * latencies.length))] ?? 0;
        return {
            name,
            sent: sent.get(name) ?? 0,
            answered: latencies.length,
            notRun: rows.filter(row => row.finalOutcome === "notRun").length,
            unknown: rows.filter(row => row.finalOutcome === "unknown").length,
            p50Ms: quantile(0.5),
            p99Ms: quantile(0.99),
        };
    });
    const sumOf = (read: (summary: ClassSummary) => number): number => summaries.reduce((sum, entry) => sum + read(entry), 0);
    const starts = simulation.log.ofKind("workStarted").filter(row => row.at >= startedAt).length;
    return {
        simulation,
        classes: summaries,
        sent: sumOf(entry => entry.sent),
        answered: sumOf(entry => entry.answered),
        notRun: sumOf(entry => entry.notRun),
        unknown: sumOf(entry => entry.unknown),
        targetAttemptsPerRequest: starts / Math.max(1, sumOf(entry => entry.sent)),
    };
}
