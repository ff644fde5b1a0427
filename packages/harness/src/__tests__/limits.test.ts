import type { Document } from "@pimentospring/core/document/schema";
import assert from "node:assert/strict";
import { test } from "node:test";
import { karoo } from "../deployments.js";
import { toScheduledAction } from "../faults.js";
import { findViolations } from "../invariants.js";
import { runScenario, type ScenarioResult } from "../scenario.js";
import type { Simulation } from "../simulation.js";

const editDocument = (change: Partial<Document>) => (simulation: Simulation): void =>
    void simulation.editDocument(document => ({ ...document, ...change }));

/** Maximum number of tokens requests that were forwarded from cpt to jhb within one second. */
function maxForwardedPerSecond(result: ScenarioResult, after: number): number {
    const moved = result.simulation.log.ofKind("moved").filter(row =>
        row.at > after && row.service === "tokens" && row.from === "cpt" && row.to === "jhb"
    );
    const most = moved.map((row, at) => moved.slice(at).filter(later => later.at < row.at + 1_000).length);
    return Math.max(0, ...most);
}

test("a shift stays below its cap in every second, also during a partition and an entry restart", () => {
    const capPerSecond = 60;
    const shifts = [{ id: "s", service: "tokens", from: "cpt", to: "jhb", share: 0.8, capPerSecond }];
    const result = runScenario({
        deployment: karoo(),
        seed: 5,
        loadRatio: 0.3,
        durationMs: 8_000,
        scheduledActions: [
            { at: 500, run: editDocument({ shifts }) },
            toScheduledAction({ kind: "cutPair", at: 3_000, entry: 0, other: 2, lasts: 2_000 }),
            toScheduledAction({ kind: "kill", at: 4_000, entry: 1, restartAfter: 500 }),
        ],
    });
    const startedAt = result.simulation.log.ofKind("accepted").at(-1)!.at + 1_000;
    const most = maxForwardedPerSecond(result, startedAt);
    // The burst of the token buckets is a tenth of a second's rate, and at least one request per entry in cpt.
    const entriesInCpt = 4;
    assert.ok(most > 0 && most <= capPerSecond * 1.1 + entriesInCpt, `${most} forwarded in a second`);
    assert.deepEqual(findViolations(result.simulation.log), []);
});

test("a region's in-flight limit holds across all its entries", () => {
    const maxInFlight = 6;
    const limits = [{ service: "tokens", region: "cpt", maxInFlight }];
    const result = runScenario({
        deployment: karoo(),
        seed: 6,
        loadRatio: 0.6,
        durationMs: 5_000,
        scheduledActions: [{ at: 0, run: editDocument({ limits }) }],
    });
    const inCpt = (target: string): boolean => ["tokens-1", "tokens-2", "tokens-3", "tokens-4"].includes(target);
    const from = result.simulation.log.ofKind("accepted").at(-1)!.at + 1_000;
    let inFlight = 0;
    let most = 0;
    for (const row of result.simulation.log.events()) {
        if (row.kind === "workStarted" && inCpt(row.target)) {
            inFlight++;
            most = row.at > from ? Math.max(most, inFlight) : most;
        }
        if (row.kind === "workEnded" && inCpt(row.target)) {
            inFlight--;
        }
    }
    assert.ok(most > 0 && most <= maxInFlight, `${most} in flight`);
    assert.ok(result.answered >= 0.95 * result.sent, `${result.answered} of ${result.sent} answered by the other regions`);
});
