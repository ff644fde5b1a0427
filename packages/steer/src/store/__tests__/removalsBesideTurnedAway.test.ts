/** Targets that are removed while the store turns some of the entries away, under virtual time. */
import { type TargetId, toTargetId } from "@pimentospring/core/ids";
import assert from "node:assert/strict";
import { test } from "node:test";
import { formatTarget, targetKey } from "./deploymentItems.js";
import { createDeployment, type DeployedEntry, type Deployment } from "./storeDeployment.js";

const drainMs = 2_500;
/** Time after which an entry that the store serves again counts as in touch. */
const settleMs = 4_000;
const startMs = 12_000;
const removalCount = 10;
const gapMs = 1_000;
/** The store changes all the time, so that entries tell each other of it. */
const changeIntervalMs = 300;
const pollMs = 50;
const targets = Array.from({ length: 40 }, (_, index) => toTargetId(`t${index}`));

/** Removes targets one by one; returns how long each stayed in use at one of the entries. */
async function playRemovals({ timer, store, run }: Deployment, entries: readonly DeployedEntry[]): Promise<number[]> {
    let changes = 0;
    timer.subscribe(changeIntervalMs, () => store.put("other", String(++changes)));
    const removedAt = new Map<TargetId, number>();
    const goneAfterMs = new Map<TargetId, number>();
    const endAt = timer.now() + removalCount * gapMs + 2 * drainMs;
    for (let nextAt = timer.now() + gapMs; timer.now() < endAt; await run(pollMs)) {
        if (timer.now() >= nextAt && removedAt.size < removalCount) {
            const id = targets[removedAt.size]!;
            store.remove(targetKey(id));
            removedAt.set(id, timer.now());
            nextAt += gapMs;
        }
        for (const [id, at] of removedAt) {
            if (!goneAfterMs.has(id) && entries.every(entry => entry.isLeaving(id))) {
                goneAfterMs.set(id, timer.now() - at);
            }
        }
    }
    return [...removedAt.keys()].map(id => goneAfterMs.get(id) ?? Infinity);
}

for (const [entryCount, dataCentreCount] of [[8, 6], [27, 9], [195, 9]] as const) {
    for (const part of [1 / 3, 1 / 2]) {
        // Guards against DRAIN: entries that the store served put removals off for the failures of those that it turned away.
        test(`targets removed while the store turns ${Math.round(100 * part)} in 100 of ${entryCount} entries away get nothing from the others after the drain time`, async () => {
            for (const seed of entryCount > 100 ? [1] : [1, 2, 3]) {
                const deployment = createDeployment({ entryCount, dataCentreCount, seed });
                targets.forEach(id => deployment.store.put(targetKey(id), formatTarget(false)));
                deployment.entries.forEach(entry => deployment.timer.after(deployment.random.below(300), entry.start));
                await deployment.run(startMs);
                // Those with the lowest ids: they watch the store for their data centres.
                const turnedAwayCount = Math.round(part * entryCount);
                const served = deployment.entries.slice(turnedAwayCount);
                deployment.entries.slice(0, turnedAwayCount).forEach(({ index }) => deployment.store.setMode(index, "busy"));
                const goneAfterMs = await playRemovals(deployment, served);
                deployment.entries.forEach(entry => entry.kill());
                assert.ok(Math.max(...goneAfterMs) <= drainMs, `seed ${seed}: ${goneAfterMs.join(", ")}`);
            }
        });
    }
}

for (const [entryCount, dataCentreCount] of [[8, 6], [27, 9]] as const) {
    // Guards against DRAIN: entries kept removed targets in use too long while their own failures were nearly forgotten.
    test(`targets removed while ${entryCount} entries are served again get nothing after the drain time once all are in touch`, async () => {
        for (const seed of [1, 2, 3]) {
            const deployment = createDeployment({ entryCount, dataCentreCount, seed });
            const { store, entries, timer, run } = deployment;
            targets.forEach(id => store.put(targetKey(id), formatTarget(false)));
            entries.forEach(entry => timer.after(deployment.random.below(300), entry.start));
            await run(startMs);
            const turnedAway = entries.slice(0, Math.ceil(entryCount / 3));
            turnedAway.forEach(({ index }) => store.setMode(index, "busy"));
            await run(8_000);
            turnedAway.forEach(({ index }) => store.setMode(index, "up"));
            await run(settleMs - drainMs + gapMs);
            store.remove(targetKey(targets[0]!));
            await run(drainMs);
            const inUse = entries.filter(entry => !entry.isLeaving(targets[0]!));
            entries.forEach(entry => entry.kill());
            assert.deepEqual(inUse.map(({ index }) => index), [], `seed ${seed}`);
        }
    });
}

test("a target that was put out of use for a peer's failure of the store is used again once its record is written", async () => {
    const deployment = createDeployment({ entryCount: 8, dataCentreCount: 6, seed: 1 });
    const { store, entries, run } = deployment;
    const [expired] = targets as [TargetId];
    targets.forEach(id => store.put(targetKey(id), formatTarget(false)));
    entries.forEach(entry => deployment.timer.after(deployment.random.below(300), entry.start));
    await run(startMs);
    entries.slice(0, 3).forEach(({ index }) => store.setMode(index, "busy"));
    await run(gapMs);
    const served = entries.slice(3);
    store.remove(targetKey(expired));
    await run(gapMs);
    assert.ok(served.every(entry => entry.isLeaving(expired)));
    store.put(targetKey(expired), formatTarget(false));
    await run(drainMs);
    assert.ok(served.every(entry => !entry.isLeaving(expired)));
    entries.forEach(entry => entry.kill());
});
