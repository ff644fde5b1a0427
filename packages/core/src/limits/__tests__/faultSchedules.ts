/** Random schedules of demand and faults for instances that share a limit. */
import fc from "fast-check";
import { createSimulation, type Instance, maxInWindow, quotaOf, type Simulation, windowBound } from "./fixture.js";

export const runMs = 24_000;
const faultKinds = ["join", "leave", "restart", "pause", "isolate", "isolateDataCentre", "restartDataCentre", "lose"] as const;

export interface Fault {
    readonly kind: typeof faultKinds[number];
    readonly atMs: number;
    readonly durationMs: number;
    /** Chooses the instance that it affects. */
    readonly position: number;
}

export interface Schedule {
    readonly seed: number;
    readonly ratePerSecond: number;
    /** Demand as a part of the quota's rate, before and after a sudden change. */
    readonly loadBefore: number;
    readonly loadAfter: number;
    readonly changeAtMs: number;
    /** 1 spreads requests evenly; above it, some instances get more of them. */
    readonly skew: number;
    readonly faults: readonly Fault[];
}

export const schedules: fc.Arbitrary<Schedule> = fc.record({
    seed: fc.integer(),
    ratePerSecond: fc.constantFrom(1.6, 3.2, 8, 31, 60, 100, 491),
    loadBefore: fc.double({ min: 0, max: 0.6, noNaN: true }),
    loadAfter: fc.double({ min: 0, max: 4.7, noNaN: true }),
    changeAtMs: fc.integer({ min: 6_000, max: 16_000 }),
    skew: fc.double({ min: 1, max: 2, noNaN: true }),
    faults: fc.array(
        fc.record({
            kind: fc.constantFrom(...faultKinds),
            atMs: fc.integer({ min: 3_000, max: 20_000 }),
            durationMs: fc.integer({ min: 100, max: 9_000 }),
            position: fc.double({ min: 0, max: 0.999, noNaN: true }),
        }),
        { maxLength: 5 },
    ),
});

function applyFault(simulation: Simulation, { kind, durationMs, position }: Fault): void {
    const { timer, instances, start, stop, setGroup, setPaused, setLossRatio } = simulation;
    const chosen = instances[Math.floor(position * instances.length)]!;
    const sameDataCentre = instances.filter(({ dataCentre }) => dataCentre === chosen.dataCentre);
    const later = (revert: () => void): void => void timer.after(durationMs, revert);
    const restart = (instance: Instance): void => {
        if (instance.limit !== undefined) {
            stop(instance);
            later(() => start(instance));
        }
    };
    const isolate = (members: readonly Instance[]): void => {
        members.forEach(member => setGroup(member, chosen.index + 1));
        later(() => members.forEach(member => setGroup(member, 0)));
    };
    switch (kind) {
        case "join":
            return chosen.limit === undefined ? start(chosen) : undefined;
        case "leave":
            return chosen.limit === undefined ? undefined : stop(chosen);
        case "restart":
            return restart(chosen);
        case "pause":
            setPaused(chosen, true);
            return later(() => setPaused(chosen, false));
        case "isolate":
            return isolate([chosen]);
        case "isolateDataCentre":
            return isolate(sameDataCentre);
        case "restartDataCentre":
            return sameDataCentre.forEach(restart);
        case "lose":
            setLossRatio(0.4);
            return later(() => setLossRatio(0));
    }
}

/** Most requests admitted in a window, as a part of the bound. */
export function boundUse(instanceCount: number, schedule: Schedule): number {
    const simulation = createSimulation(schedule.seed, instanceCount, Math.ceil(instanceCount * 0.9));
    const quota = quotaOf(schedule.ratePerSecond);
    const outcome = simulation.drive({
        key: "sese880",
        quota,
        rateAt: now => quota.ratePerSecond * (now < schedule.changeAtMs ? schedule.loadBefore : schedule.loadAfter),
    }, schedule.skew);
    schedule.faults.forEach(fault => simulation.timer.after(fault.atMs, () => applyFault(simulation, fault)));
    simulation.timer.advance(runMs);
    return maxInWindow(outcome) / windowBound(quota);
}
