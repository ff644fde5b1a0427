/** The quota that all instances share, over simulated links that delay and lose reports. */
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { toDataCentreId, toInstanceId } from "../../ids.js";
import { createRandom } from "../../random/random.js";
import { createVirtualTimer } from "../../time/virtualTimer.js";
import { createSharedLimit } from "../quotaLimit.js";
import { boundUse, type Fault, runMs, schedules } from "./faultSchedules.js";
import { bounds, createSimulation, maxInWindow, quotaOf, windowBound } from "./fixture.js";

/** Schedules by number of instances; `PIMENTO_SCHEDULES` sets another number for all. */
const runCounts = new Map([[1, 20], [8, 20], [70, 20], [195, 8], [800, 2]]);
const chosenRunCount = Number(process.env["PIMENTO_SCHEDULES"] ?? 0);
for (const [instanceCount, numRuns] of runCounts) {
    test(`${instanceCount} instances admit no more than the bound in any window, whatever fails`, () => {
        fc.assert(
            fc.property(schedules, schedule => {
                const use = boundUse(instanceCount, schedule);
                assert.ok(use <= 1, `${use.toFixed(3)} of the bound`);
            }),
            { seed: 20261207, numRuns: chosenRunCount || numRuns },
        );
    });
}

/** Schedules that exceeded the bound before a fix. */
const fault = (kind: Fault["kind"], atMs: number, durationMs: number): Fault => ({ kind, atMs, durationMs, position: 0 });
const demand = { loadBefore: 0.08, loadAfter: 4.7, skew: 1.2 };

test("a data centre that was cut off counts the others' use once it is back, though they report only changes", () => {
    const faults = [fault("isolateDataCentre", 3_458, 7_046)];
    for (const seed of [1_004_696_444, 1, 2]) {
        const use = boundUse(8, { ...demand, seed, ratePerSecond: 491, changeAtMs: 8_117, faults });
        assert.ok(use <= 1, `${use.toFixed(3)} of the bound`);
    }
});

test("a data centre that has restarted adds its fair part over time, not at once", () => {
    const faults = [fault("restartDataCentre", 5_633, 5_725), fault("pause", 11_938, 5_831)];
    for (const seed of [1, 2, 3]) {
        const use = boundUse(8, { ...demand, seed, ratePerSecond: 60, changeAtMs: 8_646, faults });
        assert.ok(use <= 1, `${use.toFixed(3)} of the bound`);
    }
});

test("a workspace whose demand stays below its quota is never refused, also just after all instances have started", () => {
    for (const seed of [1, 2, 3]) {
        const simulation = createSimulation(seed, 71);
        const outcomes = [1.6, 3.2, 8, 31].map(rate =>
            simulation.drive({ key: `w${rate}`, quota: quotaOf(rate), rateAt: () => rate / 1.6 }, 1 + seed % 2)
        );
        simulation.timer.advance(runMs);
        outcomes.forEach(({ refused, arrived }) =>
            assert.deepEqual({ refused, wasUsed: arrived > 10 }, { refused: 0, wasUsed: true })
        );
    }
});

test("a workspace above its quota uses most of it", () => {
    const simulation = createSimulation(1, 71);
    const rates = [3.2, 31, 100, 491];
    const outcomes = rates.map(rate => simulation.drive({ key: `w${rate}`, quota: quotaOf(rate), rateAt: () => rate * 2 }));
    const warmUpMs = 8_000;
    const windowCount = 6;
    simulation.timer.advance(warmUpMs + windowCount * bounds.windowMs);
    outcomes.forEach(({ admittedAt }, index) => {
        const perWindow = admittedAt.filter(at => at > warmUpMs).length / windowCount;
        assert.ok(perWindow >= 0.83 * 6 * rates[index]!, `rate ${rates[index]}: ${perWindow} a window`);
    });
});

test("instances that can't reach each other together admit no more than the bound", () => {
    const simulation = createSimulation(1, 71);
    simulation.instances.forEach(instance => simulation.setGroup(instance, instance.index));
    for (const rate of [1.6, 31]) {
        const quota = quotaOf(rate);
        const outcome = simulation.drive({ key: `w${rate}`, quota, rateAt: () => rate * 4.7 });
        simulation.timer.advance(runMs);
        assert.ok(maxInWindow(outcome) <= windowBound(quota));
        assert.ok(outcome.admittedAt.length > rate, "each has its part");
    }
});

function createSingle() {
    const timer = createVirtualTimer();
    const limit = createSharedLimit<string>({
        timer,
        random: createRandom(1),
        self: toInstanceId("a"),
        dataCentre: toDataCentreId("dc"),
        bounds: () => ({ windowMs: 5_000, overshoot: 0, slack: 0 }),
        isEnabled: () => true,
        instances: () => [toInstanceId("a")],
    });
    timer.advance(3_000);
    return { timer, limit };
}

test("a request that is given back leaves room for another one, once", () => {
    const { limit } = createSingle();
    const quota = { ratePerSecond: 1, burst: 0 };
    const admissions = Array.from({ length: 6 }, () => limit.tryTake("w", quota));
    assert.deepEqual(admissions.map(({ kind }) => kind), [...Array<string>(5).fill("admitted"), "refused"]);
    const [first] = admissions;
    assert.ok(first?.kind === "admitted");
    first.giveBack();
    first.giveBack();
    assert.equal(limit.tryTake("w", quota).kind, "admitted");
    assert.equal(limit.tryTake("w", quota).kind, "refused");
});

test("a refused request is admitted after the time it was told to wait", () => {
    const { timer, limit } = createSingle();
    const quota = { ratePerSecond: 2, burst: 0 };
    for (let count = 0; count < 10; count++) {
        limit.tryTake("w", quota);
        timer.advance(300);
    }
    const refusal = limit.tryTake("w", quota);
    assert.ok(refusal.kind === "refused" && refusal.retryAfterMs > 0 && refusal.retryAfterMs <= 10_000);
    timer.advance(10_000);
    assert.equal(limit.tryTake("w", quota).kind, "admitted");
});
