/** A store that comes back from an older copy, in a new era: what is in force at the entries never goes back. */
import { type TargetId, toDataCentreId, toTargetId } from "@pimentospring/core/ids";
import { type Log, silentLog } from "@pimentospring/runtime/logs/log";
import type { LogEvent } from "@pimentospring/runtime/logs/logEvents";
import assert from "node:assert/strict";
import { test } from "node:test";
import { configurationKey, evacuationKey, formatConfiguration, formatTarget, targetKey } from "./deploymentItems.js";
import { createDeployment, type DeployedEntry, type Deployment } from "./storeDeployment.js";

const startMs = 12_000;
/** Age of the copy. */
const copyAgeMs = 3_000;
const pollMs = 50;
/** Time after which an entry that is still missing is gone. */
const returnMs = 12_000;
const targets = Array.from({ length: 12 }, (_, index) => toTargetId(`t${index}`));
const [kept, added, removed, draining] = targets as [TargetId, TargetId, TargetId, TargetId];
const dataCentre = toDataCentreId("dc-1");

async function startDeployment(entryCount: number, dataCentreCount: number, seed: number, log = silentLog): Promise<Deployment> {
    const deployment = createDeployment({ entryCount, dataCentreCount, seed, log });
    const { store, timer, random, entries, run } = deployment;
    store.put(configurationKey, formatConfiguration(1));
    targets.filter(id => id !== added).forEach(id => store.put(targetKey(id), formatTarget(false)));
    entries.forEach(entry => timer.after(random.below(300), entry.start));
    await run(startMs);
    return deployment;
}

/** Plays changes after a copy was made, and the return of the store from that copy. */
async function loseChanges(deployment: Deployment, change: () => void): Promise<void> {
    const { store, run } = deployment;
    const comeBack = store.copy();
    change();
    await run(copyAgeMs);
    comeBack();
}

/** Runs and checks all the time; `check` returns what is wrong. */
async function watch({ entries, run }: Deployment, durationMs: number, check: (entry: DeployedEntry) => boolean): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += pollMs) {
        await run(pollMs);
        const wrong = entries.filter(entry => !check(entry)).map(({ index }) => index);
        assert.deepEqual(wrong, [], `${passedMs} ms after the return`);
    }
}

const sizes = [[4, 2], [8, 6], [27, 9]] as const;

for (const [entryCount, dataCentreCount] of sizes) {
    test(`what is in force at ${entryCount} entries does not go back with the store`, async () => {
        for (const seed of [1, 2, 3]) {
            const deployment = await startDeployment(entryCount, dataCentreCount, seed);
            const { store, entries, timer, run } = deployment;
            await loseChanges(deployment, () => {
                store.put(configurationKey, formatConfiguration(2));
                store.put(targetKey(added), formatTarget(false));
                store.put(targetKey(draining), formatTarget(true));
                store.put(evacuationKey(dataCentre), "");
                store.remove(targetKey(removed));
            });
            const writeAgain = (): void => {
                [kept, added].forEach(id => store.put(targetKey(id), formatTarget(false)));
                store.put(targetKey(draining), formatTarget(true));
            };
            timer.after(1_900, writeAgain);
            timer.after(4_000, () => store.put(evacuationKey(dataCentre), ""));
            timer.after(5_000, () => store.remove(targetKey(removed)));
            const isRight = (entry: DeployedEntry): boolean =>
                entry.version() === 2 && !entry.isLeaving(kept) && !entry.isLeaving(added) && entry.isLeaving(draining)
                && entry.isLeaving(removed) && entry.isEvacuated(dataCentre);
            await watch(deployment, returnMs, isRight);
            // The new era's own changes are in force, although their revisions were given out before.
            store.put(configurationKey, formatConfiguration(3));
            store.put(targetKey(removed), formatTarget(false));
            store.remove(evacuationKey(dataCentre));
            await run(2_500);
            await watch(
                deployment,
                200,
                entry => entry.version() === 3 && !entry.isLeaving(removed) && !entry.isEvacuated(dataCentre),
            );
            entries.forEach(entry => entry.kill());
        }
    });
}

test("what an older copy lacks and nobody writes again is gone in the end", async () => {
    const deployment = await startDeployment(8, 6, 1);
    const { store, entries, run } = deployment;
    await loseChanges(deployment, () => {
        store.put(targetKey(added), formatTarget(false));
        store.put(evacuationKey(dataCentre), "");
    });
    await watch(deployment, 2_500, entry => !entry.isLeaving(added) && entry.isEvacuated(dataCentre));
    await run(2_000);
    await watch(deployment, 200, entry => entry.isLeaving(added) && entry.isEvacuated(dataCentre));
    await run(returnMs);
    await watch(deployment, 200, entry => !entry.isEvacuated(dataCentre));
    entries.forEach(entry => entry.kill());
});

test("an evacuation that was lifted does not come back from an older copy while the operator lifts it again", async () => {
    const deployment = await startDeployment(8, 6, 1);
    const { store, entries, timer } = deployment;
    store.put(evacuationKey(dataCentre), "");
    await deployment.run(2_000);
    await loseChanges(deployment, () => store.remove(evacuationKey(dataCentre)));
    timer.after(5_000, () => store.remove(evacuationKey(dataCentre)));
    await watch(deployment, returnMs, entry => !entry.isEvacuated(dataCentre));
    entries.forEach(entry => entry.kill());
});

test("entries that an older copy lacks stay members and register again, with leases of the new era", async () => {
    for (const seed of [1, 2, 3]) {
        const deployment = createDeployment({ entryCount: 8, dataCentreCount: 6, seed });
        const { store, entries, run } = deployment;
        store.put(configurationKey, formatConfiguration(1));
        const comeBack = store.copy();
        entries.forEach(entry => entry.start());
        await run(startMs);
        comeBack();
        await watch(deployment, returnMs, entry => entry.liveCount() === entries.length - 1);
        assert.equal(store.memberCount(), entries.length);
        entries.forEach(entry => entry.kill());
    }
});

test("an entry that has left does not come back as a member with an older copy", async () => {
    const deployment = await startDeployment(8, 6, 1);
    const { store, entries, run } = deployment;
    const comeBack = store.copy();
    const [leaving, ...others] = entries as [DeployedEntry, ...DeployedEntry[]];
    void leaving.replication().deregister();
    await run(500);
    leaving.kill();
    await run(14_000);
    comeBack();
    await watch({ ...deployment, entries: others }, 3_000, entry => entry.liveCount() === others.length - 1);
    others.forEach(entry => entry.kill());
});

// Guards against a target that drops out of use: its record in the copy hung from a lease that ended before it wrote itself again.
test("a target whose record in the copy expires right after the return stays in use until it is written again", async () => {
    const deployment = await startDeployment(8, 6, 1);
    const { store, entries, timer } = deployment;
    store.copy()("quiet");
    timer.after(1_200, () => store.remove(targetKey(kept)));
    timer.after(1_900, () => store.put(targetKey(kept), formatTarget(false)));
    await watch(deployment, 6_000, entry => !entry.isLeaving(kept));
    entries.forEach(entry => entry.kill());
});

test("a return is logged once by each entry, and that the version in force is written again is no refusal", async () => {
    const names: string[] = [];
    const log = { write: ({ name }: LogEvent) => names.push(name) } as unknown as Log;
    const deployment = await startDeployment(4, 2, 1, log);
    const { store, entries, run } = deployment;
    await loseChanges(deployment, () => store.put(configurationKey, formatConfiguration(2)));
    await run(2_000);
    const refusedOlder = names.filter(name => name === "itemRefused").length;
    store.put(configurationKey, formatConfiguration(2));
    await run(2_000);
    entries.forEach(entry => entry.kill());
    assert.equal(refusedOlder, entries.length);
    assert.equal(names.filter(name => name === "itemRefused").length, entries.length);
    assert.equal(names.filter(name => name === "storeCameBackOlder").length, entries.length);
});
