import assert from "node:assert/strict";
import { test } from "node:test";
import { karoo } from "../deployments.js";
import { findViolations } from "../invariants.js";
import { runScenario, type ScheduledAction } from "../scenario.js";
import type { Simulation } from "../simulation.js";

const countEjected = (simulation: Simulation, service: string): number =>
    simulation.entries().filter(entry => !entry.isDead()).flatMap(entry => entry.core.status().services)
        .filter(entry => entry.service === service)
        .flatMap(entry => entry.targets)
        .filter(target => target.allowance > 0 && target.state === "ejected").length;

test("temporary slowness of all targets ejects at most a third of them", () => {
    // All targets start slow, each by a different factor, as after a cold start of the whole service.
    let maxEjected = 0;
    const coldStart: ScheduledAction = {
        at: 0,
        run: simulation => {
            simulation.targets().forEach((target, at) => {
                target.slowFactor = 1 + (at % 6) * 2;
                simulation.timer.after(1_500, () => {
                    target.slowFactor = 1;
                });
            });
            simulation.timer.subscribe(50, () => {
                maxEjected = Math.max(maxEjected, countEjected(simulation, "tokens"));
            });
        },
    };
    const result = runScenario({
        deployment: karoo(),
        seed: 3,
        loadRatio: 0.3,
        durationMs: 6_000,
        scheduledActions: [coldStart],
    });
    assert.ok(maxEjected <= 4, `${maxEjected} of 12 targets were ejected at once`);
    assert.ok(result.answered >= 0.99 * result.sent, `${result.answered} of ${result.sent} answered`);
    assert.deepEqual(findViolations(result.simulation.log), []);
});
