/** Runs a deployment under load and faults in virtual time, and sums up what callers saw. */
import type { Policy } from "@pimentospring/core/policy/policy";
import { createRandom } from "@pimentospring/core/random/random";
import type { FakeDeployment, LoadClass } from "./deployments.js";
import { createFakeCaller } from "./fakeCaller.js";
import { createSimulation, type Simulation } from "./simulation.js";

/** Something done to the world at a time after the load's start, in milliseconds. */
export interface ScheduledAction {
    readonly at: number;
    readonly run: (world: Simulation) => void;
}

export interface ScenarioOptions {
    readonly deployment: FakeDeployment;
    readonly seed: number;
    /** Load as a share of the slots' capacity at the classes' mean times. */
    readonly loadRatio: number;
    readonly durationMs: number;
    /** Time before the load starts, for entries to meet. */
    readonly settleMs?: number;
    /** Time after the load for work to end. */
    readonly cooldownMs?: number;
    readonly scheduledActions?: readonly ScheduledAction[];
    readonly policy?: Policy;
    /** Changes the load's classes, for example their weights. */
    readonly classes?: readonly LoadClass[];
    /** Callers that send; default all of the deployment. */
    readonly callers?: readonly string[];
    readonly listLagMs?: number;
}

/** What callers saw of one class. */
export interface ClassSummary {
    readonly name: string;
    readonly sent: number;
    readonly answered: number;
    readonly notRun: number;
    readonly unknown: number;
    /** Latencies of answered work, in milliseconds. */
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
    /** Requests that reached targets for each request sent. */
    readonly targetAttemptsPerRequest: number;
}

export function runScenario(options: ScenarioOptions): ScenarioResult {
    const { deployment } = options;
    const world = createSimulation({
        document: deployment.document,
        entries: deployment.entries,
        delays: deployment.delays,
        seed: options.seed,
        ...(options.policy === undefined ? {} : { policy: options.policy }),
        ...(options.listLagMs === undefined ? {} : { listLagMs: options.listLagMs }),
    });
    world.timer.advance(options.settleMs ?? 6_000);
    const startedAt = world.timer.now();
    const sent = startLoad(world, options);
    options.scheduledActions?.forEach(({ at, run: act }) => void world.timer.after(at, () => act(world)));
    world.timer.advance(options.durationMs + (options.cooldownMs ?? 15_000));
    return summarise(world, options.classes ?? deployment.loadClasses, sent, startedAt);
}

/** Requests a second that fill the slots of the busiest service; a slot is held for the way there and back too. */
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

function startLoad(world: Simulation, options: ScenarioOptions): Map<string, number> {
    const { deployment } = options;
    const classes = options.classes ?? deployment.loadClasses;
    const random = createRandom(options.seed + 1);
    const callers = (options.callers ?? deployment.callers).map(address => createFakeCaller(world, address));
    const meanGapMs = 1000 / (capacityPerSecond(deployment, classes) * options.loadRatio);
    const sent = new Map<string, number>();
    const endAt = world.timer.now() + options.durationMs;
    let count = 0;
    const next = (): void => {
        if (world.timer.now() >= endAt) {
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
        world.timer.after(random.exponential(meanGapMs), next);
    };
    world.timer.after(random.exponential(meanGapMs), next);
    return sent;
}

function pickClass(classes: readonly LoadClass[], uniform: number): LoadClass {
    let point = uniform * classes.reduce((sum, entry) => sum + entry.weight, 0);
    return classes.find(entry => {
        point -= entry.weight;
        return point < 0;
    }) ?? classes[0]!;
}

function summarise(
    world: Simulation,
    classes: readonly LoadClass[],
    sent: ReadonlyMap<string, number>,
    startedAt: number,
): ScenarioResult {
    const done = world.log.ofKind("callerDone");
    const summaries = classes.map(({ name }): ClassSummary => {
        const rows = done.filter(row => row.loadClass === name);
        const latencies = rows.filter(row => row.finalOutcome === "answered").map(row => row.latencyMs).sort((a, b) => a - b);
        const quantile = (share: number): number =>
            latencies[Math.min(latencies.length - 1, Math.floor(share * latencies.length))] ?? 0;
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
    const total = (read: (summary: ClassSummary) => number): number => summaries.reduce((sum, entry) => sum + read(entry), 0);
    const starts = world.log.ofKind("workStarted").filter(row => row.at >= startedAt).length;
    return {
        simulation: world,
        classes: summaries,
        sent: total(entry => entry.sent),
        answered: total(entry => entry.answered),
        notRun: total(entry => entry.notRun),
        unknown: total(entry => entry.unknown),
        targetAttemptsPerRequest: starts / Math.max(1, total(entry => entry.sent)),
    };
}
