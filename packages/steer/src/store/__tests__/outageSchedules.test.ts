/** Random outages of the store with a change around their end, for all entries or some, with restarts and lost datagrams. */
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type OutageOptions, playOutage } from "./outageScenario.js";

const maxAppliedMs = 2_000;
/** Calls of all entries within a second after the store's return, as a part of what a store serves in one. */
const maxCallsPerSecond = 200;
const schedules = Number(process.env["PIMENTO_SCHEDULES"] ?? 12);
/** An outage that is longer than the time between renewals of a lease shows in a call of each entry. */
const minNoticedOutageMs = 2_400;

const maxOutageMs = 12_000;

const schedule: fc.Arbitrary<OutageOptions> = fc
    .record({
        entryCount: fc.constantFrom(8, 27),
        seed: fc.integer({ min: 1, max: 1_000_000 }),
        mode: fc.constantFrom("silent" as const, "silent" as const, "reset" as const, "busy" as const, "slow" as const),
        watchAgeMs: fc.integer({ min: 50, max: 9_000 }),
        outageMs: fc.integer({ min: minNoticedOutageMs, max: maxOutageMs }),
        affectedFraction: fc.constantFrom(1, 0.5),
        restartedCount: fc.nat(8),
        change: fc.constantFrom("configuration" as const, "leavingTarget" as const),
        changeDelayMs: fc.integer({ min: 0, max: 3_000 }),
        datagramLoss: fc.constantFrom(0, 0, 0.02),
    }).map(fields => ({ ...fields, dataCentreCount: fields.entryCount === 8 ? 6 : 9 }));

test("a change is in force at every entry within two seconds of the store's return from any outage that entries notice", async () => {
    await fc.assert(
        fc.asyncProperty(schedule, async options => {
            const { appliedAfterMs, behind, peakCallsPerSecond } = await playOutage(options);
            assert.ok(appliedAfterMs <= maxAppliedMs, `in force after ${appliedAfterMs} ms, not at ${behind.join(", ")}`);
            assert.ok(peakCallsPerSecond <= maxCallsPerSecond, `${peakCallsPerSecond} calls in a second`);
        }),
        { numRuns: schedules, seed: 26, endOnFailure: true },
    );
});

test("a change is in force at every entry within two seconds of an outage too short for any entry to notice", async () => {
    for (let seed = 1; seed <= 12; seed++) {
        const { appliedAfterMs } = await playOutage({
            entryCount: 8,
            dataCentreCount: 6,
            seed,
            mode: "silent",
            watchAgeMs: 1_500,
            outageMs: 200,
            affectedFraction: 1,
            restartedCount: 0,
            change: "configuration",
            changeDelayMs: 400,
        });
        assert.ok(appliedAfterMs <= maxAppliedMs, `seed ${seed}: in force after ${appliedAfterMs} ms`);
    }
});
