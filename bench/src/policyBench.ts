/**
 * `npm run bench -- policy`: compares the default policy with simple target pickers, and measures overload, loss of a
 * region, drain time, head-of-line blocking and the cap of a shift. Runs in virtual time with fixed seeds, so that
 * results don't depend on the machine.
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

/** Baseline policy: a picker that ignores latency, without ejection of slow targets and without hedging. */
const baseline = (createPick: Policy["createPicker"]): Policy => ({
    createPicker: createPick,
    isHedgingEnabled: false,
    isEjectionEnabled: false,
});

const policies: Readonly<Record<string, Policy>> = {
    "default": defaultPolicy,
    "round robin": baseline(createRoundRobin),
    "random": baseline(() => pickRandom),
    "least in flight": baseline(() => pickLeastInFlight),
};

const deployments: Readonly<Record<string, () => FakeDeployment>> = { karoo, sikasem };

const runDefaultScenario = (options: Partial<ScenarioOptions> & { readonly deployment: FakeDeployment; }): ScenarioResult =>
    runScenario({ seed, loadRatio: 0.7, durationMs, ...options });

const classOf = (result: ScenarioResult, name: string) => result.classes.find(entry => entry.name === name)!;
const formatMs = (value: number): string => value.toFixed(1);
const firstClassName = (name: string): string => name === "karoo" ? "lookup" : "browse";

/** Slows the first `count` targets by a factor of 10 for the whole run. */
const slowDown = (count: number): ScheduledAction => ({
    at: 0,
    run: simulation =>
        simulation.targets().slice(0, count).forEach(target => {
            target.slowFactor = 10;
        }),
});

const addStragglers: ScheduledAction = {
    at: 0,
    run: simulation =>
        simulation.targets().forEach(target => {
            target.stragglerFraction = 0.01;
        }),
};

export async function policyBench(): Promise<void> {
    process.stdout.write(`\nseed ${seed}, load ratio 0.7 for ${durationMs / 1000} s of virtual time\n`);
    for (const [name, create] of Object.entries(deployments)) {
        measureSlowTargets(name, create());
        measureOverload(name, create());
        measureRegionLoss(name, create());
        measureDrain(name, create());
    }
    measureHeadOfLineBlocking();
    measureShiftCap();
}

function measureSlowTargets(name: string, deployment: FakeDeployment): void {
    const cases: Readonly<Record<string, readonly ScheduledAction[]>> = {
        "none slowed": [],
        "1 slowed 10 times": [slowDown(1)],
        "2 slowed 10 times": [slowDown(2)],
        "1% stragglers, 20 times": [addStragglers],
    };
    const rows = Object.entries(policies).flatMap(([policyName, policy]) =>
        Object.entries(cases).map(([caseName, disturbances]) => {
            const result = runDefaultScenario({ deployment, policy, scheduledActions: disturbances });
            const { p50Ms, p99Ms } = classOf(result, firstClassName(name));
            return [
                name,
                policyName,
                caseName,
                formatMs(p50Ms),
                formatMs(p99Ms),
                `${((100 * result.answered) / result.sent).toFixed(2)}%`,
                String(findViolations(result.simulation.log).length),
            ];
        })
    );
    printTable(
        ["deployment", "pick", "case", `${firstClassName(name)} p50 ms`, "p99 ms", "answered", "invariant violations"],
        rows,
    );
}

/** Offers 1.5 times the capacity and counts the attempts that reach targets per request. */
function measureOverload(name: string, deployment: FakeDeployment): void {
    const result = runDefaultScenario({ deployment, loadRatio: 1.5, durationMs: 5_000 });
    const ideal = 1 / 1.5;
    printTable(
        ["deployment", "offered", "target attempts per request", "aim", "answered per request", "capacity limit"],
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

/** Kills all entries of a region; the other regions take over within their slots. */
function measureRegionLoss(name: string, deployment: FakeDeployment): void {
    const lostRegion = deployment.document.regions.at(-1)!;
    const killRegion = (simulation: Simulation): void => {
        simulation.entries().filter(entry => simulation.regionOf(entry.dataCentre) === lostRegion.id).forEach(entry =>
            simulation.killEntry(entry.address)
        );
    };
    const result = runDefaultScenario({ deployment, loadRatio: 0.6, scheduledActions: [{ at: 3_000, run: killRegion }] });
    const violationCount = findViolations(result.simulation.log).length;
    const service = deployment.document.services[0]!.id;
    const countSlots = (isInLostRegion: boolean): number =>
        deployment.document.targets.filter(target => target.service === service)
            .filter(target => (result.simulation.regionOf(target.dataCentre as never) === lostRegion.id) === isInLostRegion)
            .reduce((sum, target) => sum + target.slots, 0);
    const remainingFraction = countSlots(false) / (countSlots(false) + countSlots(true));
    printTable([
        "deployment",
        "region lost",
        "load",
        "remaining capacity",
        "answered",
        "not run",
        "unknown",
        "invariant violations",
    ], [[
        name,
        lostRegion.id,
        "0.6",
        `${remainingFraction.toFixed(2)} of the load's service`,
        `${((100 * result.answered) / result.sent).toFixed(2)}%`,
        String(result.notRun),
        String(result.unknown),
        String(violationCount),
    ]]);
}

function measureDrain(name: string, deployment: FakeDeployment): void {
    const emptyAfterMs: number[] = [];
    const lastStartAfterMs: number[] = [];
    for (let target = 0; target < 4; target++) {
        const result = runDefaultScenario({
            deployment,
            durationMs: 4_000,
            scheduledActions: [toScheduledAction({ kind: "drain", at: 1_000, target })],
        });
        const order = result.simulation.log.ofKind("drainOrdered")[0]!;
        const starts = result.simulation.log.ofKind("workStarted").filter(row => row.target === order.target);
        const ends = result.simulation.log.ofKind("workEnded").filter(row => row.target === order.target);
        lastStartAfterMs.push((starts.at(-1)?.at ?? order.at) - order.at);
        emptyAfterMs.push((ends.at(-1)?.at ?? order.at) - order.at);
    }
    printTable(["deployment", "targets drained", "last new request after ms", "bound", "empty after ms (max)"], [[
        name,
        String(emptyAfterMs.length),
        formatMs(Math.max(...lastStartAfterMs)),
        "3000",
        formatMs(Math.max(...emptyAfterMs)),
    ]]);
}

/** Latency of short requests (browse) with and without long requests (guide) to another service. */
function measureHeadOfLineBlocking(): void {
    const deployment = sikasem();
    const classesWithout = deployment.loadClasses.filter(entry => entry.service === "shop");
    const resultWithout = runDefaultScenario({ deployment, classes: classesWithout });
    const shopPerSecond = capacityPerSecond(deployment, classesWithout);
    const pullClass = { ...deployment.loadClasses.find(entry => entry.name === "guide")!, weight: 3 };
    const classesWith = [...classesWithout, pullClass];
    const loadRatio = (0.7 * shopPerSecond * (1 + 3 / 10)) / capacityPerSecond(deployment, classesWith);
    const resultWith = runDefaultScenario({ deployment, classes: classesWith, loadRatio });
    const [p99WithoutMs, p99WithMs] = [classOf(resultWithout, "browse").p99Ms, classOf(resultWith, "browse").p99Ms];
    printTable(["browse latency beside guide requests", "p99 ms without", "p99 ms with", "ratio", "aim"], [[
        "sikasem",
        formatMs(p99WithoutMs),
        formatMs(p99WithMs),
        (p99WithMs / p99WithoutMs).toFixed(2),
        "at most 1.2",
    ]]);
}

/**
 * Checks the cap of a shift: the maximum of requests per second moved between two regions. A run without the shift
 * gives the baseline, since requests also move when the targets of their own region are full.
 */
function measureShiftCap(): void {
    const capPerSecond = 100;
    const shifts = [{ id: "s", service: "tokens", from: "cpt", to: "jhb", share: 0.5, capPerSecond }];
    const rows = [shifts, []].map(activeShifts => {
        const applyShifts = (simulation: Simulation): void =>
            void simulation.editDocument(document => ({ ...document, shifts: activeShifts }));
        const result = runDefaultScenario({
            deployment: karoo(),
            loadRatio: 0.5,
            scheduledActions: [{ at: 1_000, run: applyShifts }],
        });
        return [
            activeShifts.length > 0 ? "half of cpt's tokens to jhb" : "none",
            activeShifts.length > 0 ? String(capPerSecond) : "-",
            String(maxMovedPerSecond(result)),
            String(findViolations(result.simulation.log).length),
        ];
    });
    printTable(["shift (karoo)", "cap per second", "max from cpt to jhb in a second", "invariant violations"], rows);
}

function maxMovedPerSecond({ simulation }: ScenarioResult): number {
    const settledAt = simulation.log.ofKind("accepted").at(-1)!.at + 1_000;
    const perSecond = new Map<number, number>();
    for (const row of simulation.log.ofKind("moved")) {
        if (row.at > settledAt && row.service === "tokens" && row.from === "cpt" && row.to === "jhb") {
            const second = Math.floor(row.at / 1000);
            perSecond.set(second, (perSecond.get(second) ?? 0) + 1);
        }
    }
    return Math.max(0, ...perSecond.values());
}
