/** Changes confirmed while entries' calls for changes hang from an outage of the store that is over. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { type OutageOptions, playOutage } from "./outageScenario.js";

const maxAppliedMs = 2_000;
const aimedAppliedMs = 1_000;

const karoo: OutageOptions = {
    entryCount: 8,
    dataCentreCount: 6,
    seed: 1,
    mode: "silent",
    watchAgeMs: 1_500,
    outageMs: 4_200,
    affectedFraction: 1,
    restartedCount: 0,
    change: "configuration",
    changeDelayMs: 400,
};

test("a change confirmed after a silent outage of the store is in force within two seconds though all calls for changes hang", async () => {
    for (const outageMs of [4_200, 7_300, 9_700, 12_200]) {
        const { appliedAfterMs } = await playOutage({ ...karoo, outageMs });
        assert.ok(appliedAfterMs <= maxAppliedMs, `outage of ${outageMs} ms: in force after ${appliedAfterMs} ms`);
    }
});

test("a target that begins to leave after a silent outage of the store gets nothing two seconds later though all calls for changes hang", async () => {
    for (const outageMs of [4_200, 9_700]) {
        const { appliedAfterMs } = await playOutage({ ...karoo, change: "leavingTarget", outageMs });
        assert.ok(appliedAfterMs <= maxAppliedMs, `outage of ${outageMs} ms: known after ${appliedAfterMs} ms`);
    }
});

test("an entry that can't reach the store takes a change from entries that were restarted and that it does not know", async () => {
    const { appliedAfterMs, behind } = await playOutage({ ...karoo, restartedCount: 3, isPartial: true });
    assert.ok(appliedAfterMs <= maxAppliedMs, `in force after ${appliedAfterMs} ms, not at ${behind.join(", ")}`);
});

test("an entry whose call hangs unnoticed hears of a change from entries that were restarted and that it does not know", async () => {
    for (
        const [watchAgeMs, outageMs, seed] of [[1_500, 1_000, 2], [1_500, 1_000, 1], [100, 1_000, 1], [1_500, 200, 1]] as const
    ) {
        const { appliedAfterMs, behind } = await playOutage({
            ...karoo,
            seed,
            watchAgeMs,
            outageMs,
            restartedCount: 3,
            changeDelayMs: 337 * seed,
        });
        const schedule = `calls of ${watchAgeMs} ms, outage of ${outageMs} ms, seed ${seed}`;
        assert.ok(
            appliedAfterMs <= maxAppliedMs,
            `${schedule}: in force after ${appliedAfterMs} ms, not at ${behind.join(", ")}`,
        );
    }
});

test("an entry without the store takes a change from another peer while the one that it asked first does not respond", async () => {
    for (const hanging of [[4], [5], [6], [7], [4, 6], [5, 7]]) {
        for (let seed = 1; seed <= 6; seed++) {
            const { appliedAfterMs, behind } = await playOutage({
                ...karoo,
                seed,
                affectedFraction: 0.5,
                isPartial: true,
                hanging,
            });
            const schedule = `entries ${hanging.join(", ")} hang, seed ${seed}`;
            assert.ok(
                appliedAfterMs <= maxAppliedMs,
                `${schedule}: in force after ${appliedAfterMs} ms, not at ${behind.join(", ")}`,
            );
        }
    }
});

test("entries that pause between two calls take a change from a neighbour at once", async () => {
    for (const seed of [1, 2]) {
        const { appliedAfterMs } = await playOutage({ ...karoo, seed, entryCount: 63, dataCentreCount: 3, outageMs: 4_200 });
        assert.ok(appliedAfterMs <= aimedAppliedMs, `seed ${seed}: in force after ${appliedAfterMs} ms`);
    }
});
