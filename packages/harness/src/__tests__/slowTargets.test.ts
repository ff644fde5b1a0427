import assert from "node:assert/strict";
import { test } from "node:test";
import { karoo } from "../deployments.js";
import { findViolations } from "../invariants.js";
import { runScenario, type ScheduledAction } from "../scenario.js";
import type { Simulation } from "../simulation.js";

const ejectedNow = (world: Simulation, service: string): number =>
    world.entries().filter(entry => !entry.isDead()).flatMap(entry => entry.core.status().services)
        .filter(entry => entry.service === service)
        .flatMap(entry => entry.targets)
        .filter(target => target.allowance > 0 && target.state === "ejected").length;

test("moments of slowness at every target never take more than a third of them out", () => {
    // Every target is slow for a while at the start, as when all are cold, each by another factor.
    let mostEjected = 0;
    const cold: ScheduledAction = {
        at: 0,
        run: world => {
            world.targets().forEach((target, at) => {
                target.slowFactor = 1 + (at % 6) * 2;
                world.timer.after(1_500, () => {
                    target.slowFactor = 1;
                });
            });
            world.timer.subscribe(50, () => {
                mostEjected = Math.max(mostEjected, ejectedNow(world, "tokens"));
            });
        },
    };
    const result = runScenario({ deployment: karoo(), seed: 3, loadRatio: 0.3, durationMs: 6_000, scheduledActions: [cold] });
    assert.ok(mostEjected <= 4, `${mostEjected} of 12 targets were out at once`);
    assert.ok(result.answered >= 0.99 * result.sent, `${result.answered} of ${result.sent} answered`);
    assert.deepEqual(findViolations(result.simulation.log), []);
});
