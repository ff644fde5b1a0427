/** The last target of a data centre leaves while the entries there pass requests on to each other. */
import { type TargetId, toTargetId } from "@pimentospring/core/ids";
import assert from "node:assert/strict";
import { test } from "node:test";
import { small } from "../deployments.js";
import { toScheduledAction } from "../faults.js";
import { findViolations } from "../invariants.js";
import { runScenario, type ScheduledAction } from "../scenario.js";

const leavingTarget: TargetId = toTargetId("tokens-2");
/** Longest time that any request waits, although slots are free in the other data centre throughout. */
const maxLatencyMs = 1_000;

/** Each entry of the data centre hears of it with its next response; they don't all do at once. */
const sayLeaving = (at: number, entry: number): ScheduledAction => ({
    at,
    run: simulation =>
        simulation.entries()[entry]!.handle({
            kind: "targetNoticed",
            target: leavingTarget,
            notice: { isLeaving: true, pauseMs: undefined },
        }),
});

// Guards against refusals in the demo: requests that a peer had passed on waited at an entry that could neither run nor pass on.
test("the last target of a data centre leaves under load: no request waits for a slot that is not there, and none is refused", () => {
    for (let seed = 1; seed <= 10; seed++) {
        const result = runScenario({
            deployment: small(),
            seed,
            loadRatio: 0.2,
            durationMs: 8_000,
            scheduledActions: [
                toScheduledAction({ kind: "drain", at: 1_000, target: 0 }),
                sayLeaving(3_000, 0),
                sayLeaving(3_010, 1),
                toScheduledAction({ kind: "leave", at: 5_000, entry: 0 }),
            ],
        });
        const slowest = Math.max(...result.simulation.log.ofKind("callerDone").map(({ latencyMs }) => latencyMs));
        assert.ok(result.answered >= 0.99 * result.sent, `seed ${seed}: ${result.answered} of ${result.sent} answered`);
        assert.ok(slowest <= maxLatencyMs, `seed ${seed}: ${slowest.toFixed(0)} ms`);
        assert.deepEqual(findViolations(result.simulation.log), []);
    }
});

// Guards against refusals behind a head of the queue that waits for a slot here, while others could go to another entry.
test("requests behind one that only a slow target can serve go to the other data centre", () => {
    for (let seed = 1; seed <= 5; seed++) {
        const result = runScenario({
            deployment: small(),
            seed,
            loadRatio: 0.35,
            durationMs: 8_000,
            scheduledActions: [
                toScheduledAction({ kind: "drain", at: 1_000, target: 0 }),
                toScheduledAction({ kind: "slow", at: 3_000, target: 1, factor: 60, lasts: 3_000 }),
            ],
        });
        assert.ok(result.answered >= 0.99 * result.sent, `seed ${seed}: ${result.answered} of ${result.sent} answered`);
        assert.deepEqual(findViolations(result.simulation.log), []);
    }
});
