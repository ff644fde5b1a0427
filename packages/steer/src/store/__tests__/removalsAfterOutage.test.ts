/** Targets that are removed after an outage of the store, and records that expired in it, under virtual time. */
import { type TargetId, toTargetId } from "@pimentospring/core/ids";
import assert from "node:assert/strict";
import { test } from "node:test";
import { formatTarget, targetKey } from "./deploymentItems.js";
import { createDeployment, type Deployment, type DeploymentOptions } from "./storeDeployment.js";
import type { StoreMode } from "./storeServer.js";

/** Time after which the store counts as stable, and within which a removal is to be in force then. */
const settleMs = 4_000;
const drainMs = 2_500;
const startMs = 12_000;
const outageMs = 3_000;
const removalCount = 10;
const gapMs = 1_000;
/** The store changes all the time, so that entries tell each other of it. */
const changeIntervalMs = 300;
const pollMs = 50;
const targets = Array.from({ length: 40 }, (_, index) => toTargetId(`t${index}`));

async function startDeployment(options: DeploymentOptions): Promise<Deployment> {
    const deployment = createDeployment(options);
    targets.forEach(id => deployment.store.put(targetKey(id), formatTarget(false)));
    deployment.entries.forEach(entry => deployment.timer.after(deployment.random.below(300), entry.start));
    await deployment.run(startMs);
    return deployment;
}

const setMode = ({ store, entries }: Deployment, mode: StoreMode): void =>
    entries.forEach(({ index }) => store.setMode(index, mode));

/** Removes targets one by one from the moment at which the store is stable; returns how long each stayed in use somewhere. */
async function playRemovals(deployment: Deployment, mode: StoreMode): Promise<number[]> {
    const { timer, store, entries, run } = deployment;
    setMode(deployment, mode);
    await run(outageMs);
    setMode(deployment, "up");
    let changes = 0;
    timer.subscribe(changeIntervalMs, () => store.put("other", String(++changes)));
    await run(settleMs);
    const removedAt = new Map<TargetId, number>();
    const goneAfterMs = new Map<TargetId, number>();
    const endAt = timer.now() + removalCount * gapMs + 2 * drainMs;
    for (let nextAt = timer.now(); timer.now() < endAt; await run(pollMs)) {
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

for (const mode of ["busy", "silent", "reset"] as const) {
    for (const [entryCount, dataCentreCount] of [[4, 2], [8, 6], [27, 9], [195, 9]] as const) {
        // Guards against DRAIN: entries kept each other's mark of the outage alive, or dated it by when they noticed it.
        test(`a target that is removed once the store is stable after it was ${mode} gets nothing at ${entryCount} entries after the drain time`, async () => {
            for (const seed of entryCount > 100 ? [1] : [1, 2, 3]) {
                const deployment = await startDeployment({ entryCount, dataCentreCount, seed });
                const goneAfterMs = await playRemovals(deployment, mode);
                deployment.entries.forEach(entry => entry.kill());
                assert.ok(Math.max(...goneAfterMs) <= drainMs, `seed ${seed}: ${goneAfterMs.join(", ")}`);
            }
        });
    }
}

for (const [entryCount, dataCentreCount] of [[4, 2], [8, 6], [27, 9], [195, 9]] as const) {
    // Guards against DRAIN: a removal that was put off for its number was not in force in time.
    test(`a third of the targets removed at once from a store that works get nothing at ${entryCount} entries after the drain time`, async () => {
        const deployment = await startDeployment({ entryCount, dataCentreCount, seed: 1 });
        const removed = targets.slice(0, Math.ceil(targets.length / 3));
        removed.forEach(id => deployment.store.remove(targetKey(id)));
        await deployment.run(drainMs);
        const inUse = deployment.entries.filter(entry => !removed.every(entry.isLeaving));
        deployment.entries.forEach(entry => entry.kill());
        assert.deepEqual(inUse.map(({ index }) => index), []);
    });
}

for (const mode of ["busy", "silent", "reset"] as const) {
    test(`a target whose record expired while the store was ${mode}, and is back within two seconds, stays in use throughout`, async () => {
        for (const seed of [1, 2, 3]) {
            const deployment = await startDeployment({ entryCount: 8, dataCentreCount: 6, seed });
            const { store, entries, run } = deployment;
            setMode(deployment, mode);
            await run(outageMs);
            // Few enough that only the failure of the store tells them from targets that leave.
            const expired = targets.slice(0, 3);
            expired.forEach(id => store.remove(targetKey(id)));
            setMode(deployment, "up");
            for (let passedMs = 0; passedMs < 5_000; passedMs += pollMs) {
                if (passedMs === 1_900) {
                    expired.forEach(id => store.put(targetKey(id), formatTarget(false)));
                }
                await run(pollMs);
                const lost = entries.filter(entry => expired.some(id => entry.isLeaving(id)));
                assert.deepEqual(lost.map(({ index }) => index), [], `seed ${seed}, ${passedMs} ms after the return`);
            }
            entries.forEach(entry => entry.kill());
        }
    });
}
