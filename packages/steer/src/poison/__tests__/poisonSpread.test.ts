/** How many targets a request crashes whose copies come at all entries. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { playPoison, type PoisonFleetOptions } from "./poisonFleet.js";

const maxLateArrivals = 3;
const maxDeathsWithoutLoss = 6;
/** Shows that the schedule had targets in use. */
const minServedRatio = 0.8;
const schedules = Number(process.env["PIMENTO_SCHEDULES"] ?? 12);
const eight = { entryCount: 8, dataCentreCount: 6 } as const;
const large = { entryCount: 195, dataCentreCount: 27, durationMs: 20_000 } as const;

async function checkSchedules(count: number, options: Omit<PoisonFleetOptions, "seed">, maxDeaths = Infinity): Promise<void> {
    for (let seed = 1; seed <= count; seed++) {
        const outcome = await playPoison({ ...options, seed });
        const text = `seed ${seed}: ${JSON.stringify(outcome)}`;
        assert.ok(outcome.lateArrivals <= maxLateArrivals, text);
        assert.ok(outcome.deaths <= maxDeaths, text);
        assert.equal(outcome.othersRefused, 0, text);
        assert.ok(outcome.deaths > 0 && outcome.othersServed > minServedRatio * outcome.others, text);
    }
}

test("a request that crashes targets ends six of them at most, at ten copies a second, where nothing is lost", async () => {
    await checkSchedules(schedules, { ...eight, copiesPerSecond: 10 }, maxDeathsWithoutLoss);
});

test("entries that restart one after the other do not send a request that crashed three targets on", async () => {
    await checkSchedules(schedules, { ...eight, copiesPerSecond: 10, restartedCount: 8 });
});

test("entries that start while all that know of a request leave do not send it on once it crashed three targets", async () => {
    await checkSchedules(schedules, { ...eight, copiesPerSecond: 10, isReplaced: true });
});

test("a request that crashed three targets is not sent on by entries whose datagrams are lost, or that were cut off", async () => {
    await checkSchedules(schedules, { ...eight, copiesPerSecond: 10, datagramLoss: 0.3 });
    await checkSchedules(schedules, { ...eight, copiesPerSecond: 10, datagramLoss: 0.03, cutCount: 3, restartedCount: 2 });
});

test("195 entries that restart or lose datagrams do not send a request that crashed three targets on", async () => {
    await checkSchedules(1, { ...large, copiesPerSecond: 10, restartedCount: 8 });
    await checkSchedules(1, { ...large, copiesPerSecond: 10, datagramLoss: 0.3 });
});

test("popular requests are not refused as poison beside a poison request and targets that crash for other reasons", async () => {
    await checkSchedules(schedules, { ...eight, copiesPerSecond: 2, otherCrashesPerSecond: 0.5 });
});
