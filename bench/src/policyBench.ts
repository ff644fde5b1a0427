/**
 * `npm run bench -- policy`: latency, tail, headroom, drain time and head-of-line blocking in virtual time, ours beside
 * simple ways to pick, same seeds. Virtual time makes each figure the same on every machine.
 */
import { createRoundRobin, pickLeastInFlight, pickRandom } from "@pimentospring/core/policy/pick";
import { defaultPolicy, type Policy } from "@pimentospring/core/policy/policy";
import { type FakeDeployment, karoo, sikasem } from "@pimentospring/harness/deployments";
import { toScheduledAction } from "@pimentospring/harness/faults";
import { findViolations } from "@pimentospring/harness/invariants";
import {
    capacityPerSecond,
    runScenario,
    type ScenarioOptions,
    type ScenarioResult,
    type ScheduledAction,
} from "@pimentospring/harness/scenario";
import type { Simulation } from "@pimentospring/harness/simulation";
import { printTable } from "./report.js";

const seed = 20261204;
const durationMs = 10_000;

/** Baselines pick without looking at latency, take nothing out for slowness and send no hedges. */
const baseline = (createPick: Policy["createPicker"]): Policy => ({
    createPicker: createPick,
    isHedgingEnabled: false,
    isEjectionEnabled: false,
});

const policies: Readonly<Record<string, Policy>> = {
    "ours": defaultPolicy,
    "round robin": baseline(createRoundRobin),
    "random": baseline(() => pickRandom),
    "least in flight": baseline(() => pickLeastInFlight),
};

const deployments: Readonly<Record<string, () => FakeDeployment>> = { karoo, sikasem };

const run = (options: Partial<ScenarioOptions> & { readonly deployment: FakeDeployment; }): ScenarioResult =>
    runScenario({ seed, loadRatio: 0.7, durationMs, ...options });

const classOf = (result: ScenarioResult, name: string) => result.classes.find(entry => entry.name === name)!;
const ms = (value: number): string => value.toFixed(1);
const firstClass = (name: string): string => name === "karoo" ? "lookup" : "browse";

/** Slows targets for the whole run. */
const slowed = (count: number): ScheduledAction => ({
    at: 0,
    run: world =>
        world.targets().slice(0, count).forEach(target => {
            target.slowFactor = 10;
        }),
});

const straggling: ScheduledAction = {
    at: 0,
    run: world =>
        world.targets().forEach(target => {
            target.stragglerFraction = 0.01;
        }),
};

export async function policyBench(): Promise<void> {
    process.stdout.write(`\nseed ${seed}, load 0.7 of the slots for ${durationMs / 1000} s of virtual time\n`);
    for (const [name, create] of Object.entries(deployments)) {
        slowTargets(name, create());
        overload(name, create());
        regionLost(name, create());
        drainTime(name, create());
    }
    headOfLine();
    shiftHeadroom();
}

function slowTargets(name: string, deployment: FakeDeployment): void {
    const cases: Readonly<Record<string, readonly ScheduledAction[]>> = {
        "none slowed": [],
        "1 slowed 10 times": [slowed(1)],
        "2 slowed 10 times": [slowed(2)],
        "1% stragglers, 20 times": [straggling],
    };
    const rows = Object.entries(policies).flatMap(([policyName, policy]) =>
        Object.entries(cases).map(([caseName, disturbances]) => {
            const result = run({ deployment, policy, scheduledActions: disturbances });
            const { p50Ms, p99Ms } = classOf(result, firstClass(name));
            return [
                name,
                policyName,
                caseName,
                ms(p50Ms),
                ms(p99Ms),
                `${((100 * result.answered) / result.sent).toFixed(2)}%`,
                String(findViolations(result.simulation.log).length),
            ];
        })
    );
    printTable(["deployment", "pick", "case", `${firstClass(name)} p50 ms`, "p99 ms", "answered", "broken promises"], rows);
}

/** Requests that reach targets when more is offered than can be carried. */
function overload(name: string, deployment: FakeDeployment): void {
    const result = run({ deployment, loadRatio: 1.5, durationMs: 5_000 });
    const ideal = 1 / 1.5;
    printTable(
        ["deployment", "offered", "reached targets for each sent", "aim", "answered for each sent", "the slots can carry"],
        [[
            name,
            "1.5 of the slots",
            result.targetAttemptsPerRequest.toFixed(3),
            "at most 1.1",
            (result.answered / result.sent).toFixed(3),
            `${ideal.toFixed(3)} (busiest service)`,
        ]],
    );
}

/** Both data centres of a region lose all entries; the others take over within their slots. */
function regionLost(name: string, deployment: FakeDeployment): void {
    const lost = deployment.document.regions.at(-1)!;
    const killRegion = (world: Simulation): void => {
        world.entries().filter(entry => world.regionOf(entry.dataCentre) === lost.id).forEach(entry =>
            world.killEntry(entry.address)
        );
    };
    const result = run({ deployment, loadRatio: 0.6, scheduledActions: [{ at: 3_000, run: killRegion }] });
    const over = findViolations(result.simulation.log).length;
    const service = deployment.document.services[0]!.id;
    const slotsOf = (inLost: boolean): number =>
        deployment.document.targets.filter(target => target.service === service)
            .filter(target => (result.simulation.regionOf(target.dataCentre as never) === lost.id) === inLost)
            .reduce((sum, target) => sum + target.slots, 0);
    const share = slotsOf(false) / (slotsOf(false) + slotsOf(true));
    printTable(["deployment", "region lost", "load", "slots left carry", "answered", "not run", "unknown", "broken promises"], [[
        name,
        lost.id,
        "0.6",
        `${share.toFixed(2)} of the load's service`,
        `${((100 * result.answered) / result.sent).toFixed(2)}%`,
        String(result.notRun),
        String(result.unknown),
        String(over),
    ]]);
}

function drainTime(name: string, deployment: FakeDeployment): void {
    const times: number[] = [];
    const lastWork: number[] = [];
    for (let target = 0; target < 4; target++) {
        const result = run({
            deployment,
            durationMs: 4_000,
            scheduledActions: [toScheduledAction({ kind: "drain", at: 1_000, target })],
        });
        const order = result.simulation.log.ofKind("drainOrdered")[0]!;
        const starts = result.simulation.log.ofKind("workStarted").filter(row => row.target === order.target);
        const ends = result.simulation.log.ofKind("workEnded").filter(row => row.target === order.target);
        lastWork.push((starts.at(-1)?.at ?? order.at) - order.at);
        times.push((ends.at(-1)?.at ?? order.at) - order.at);
    }
    printTable(["deployment", "targets drained", "last new work after ms", "bound", "empty after ms (most)"], [[
        name,
        String(times.length),
        ms(Math.max(...lastWork)),
        "3000",
        ms(Math.max(...times)),
    ]]);
}

/** Browses with and without full grower-desk pulls; and short work beside long work in one pool. */
function headOfLine(): void {
    const deployment = sikasem();
    const without = deployment.loadClasses.filter(entry => entry.service === "shop");
    const calm = run({ deployment, classes: without });
    const shopPerSecond = capacityPerSecond(deployment, without);
    const pulls = { ...deployment.loadClasses.find(entry => entry.name === "guide")!, weight: 3 };
    const mixed = [...without, pulls];
    const load = (0.7 * shopPerSecond * (1 + 3 / 10)) / capacityPerSecond(deployment, mixed);
    const full = run({ deployment, classes: mixed, loadRatio: load });
    const [a, b] = [classOf(calm, "browse").p99Ms, classOf(full, "browse").p99Ms];
    printTable(["browses behind full grower-desk pulls", "p99 ms without", "p99 ms with", "ratio", "aim"], [[
        "sikasem",
        ms(a),
        ms(b),
        (b / a).toFixed(2),
        "at most 1.2",
    ]]);
}

/**
 * A shift under its cap: the most requests that went from the one region to the other in any second, beside the same
 * run without the shift, since requests also go there when the own targets are full.
 */
function shiftHeadroom(): void {
    const capPerSecond = 100;
    const shifts = [{ id: "s", service: "tokens", from: "cpt", to: "jhb", share: 0.5, capPerSecond }];
    const rows = [shifts, []].map(wanted => {
        const act = (world: Simulation): void => void world.editDocument(document => ({ ...document, shifts: wanted }));
        const result = run({ deployment: karoo(), loadRatio: 0.5, scheduledActions: [{ at: 1_000, run: act }] });
        return [
            wanted.length > 0 ? "half of cpt's tokens to jhb" : "none",
            wanted.length > 0 ? String(capPerSecond) : "-",
            String(mostMovedPerSecond(result)),
            String(findViolations(result.simulation.log).length),
        ];
    });
    printTable(["shift (karoo)", "cap a second", "most from cpt to jhb in a second", "broken promises"], rows);
}

function mostMovedPerSecond({ simulation: world }: ScenarioResult): number {
    const from = world.log.ofKind("accepted").at(-1)!.at + 1_000;
    const perSecond = new Map<number, number>();
    for (const row of world.log.ofKind("moved")) {
        if (row.at > from && row.service === "tokens" && row.from === "cpt" && row.to === "jhb") {
            const second = Math.floor(row.at / 1000);
            perSecond.set(second, (perSecond.get(second) ?? 0) + 1);
        }
    }
    return Math.max(0, ...perSecond.values());
}
