/** A short soak with a fixed seed, and the same seed giving the same faults. */
import { createRandom } from "@pimentospring/core/random/random";
import assert from "node:assert/strict";
import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { createSchedule } from "../faults/schedule.js";
import { regressions } from "../regressions.js";
import { runSoak } from "../soak.js";

test("the same seed gives the same faults, and another seed others", () => {
    const schedule = (seed: number): string => JSON.stringify(createSchedule(createRandom(seed), 20_000, 400));
    assert.equal(schedule(7), schedule(7));
    assert.notEqual(schedule(7), schedule(8));
});

for (const { seed, lengthMs, gapMs, cause } of regressions) {
    test(`seed ${seed} keeps every promise (${cause})`, async () => {
        const folder = mkdtempSync(join(tmpdir(), "pimento-soak-"));
        const result = await runSoak({ seed, lengthMs, gapMs, callers: 8, net: 91, folder });
        assert.deepEqual(result.breaches, [], `logs and record are in ${folder}`);
        assert.ok(result.requests > 200, `${result.requests} requests`);
    });
}
