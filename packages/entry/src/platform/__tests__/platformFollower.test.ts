/** The document on an entry whose watch of the store has gone silent without an error. */
import type { EntryCore } from "@pimentospring/core/entryCore";
import { createRandom } from "@pimentospring/core/random/random";
import type { CoreEvent } from "@pimentospring/core/requests/events";
import { createVirtualTimer, type VirtualTimer } from "@pimentospring/core/time/virtualTimer";
import { silentLog } from "@pimentospring/runtime/logs/log";
import type { Store, StoredValue } from "@pimentospring/runtime/platform/store";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ok } from "true-myth/result";
import { createPlatformFollower } from "../platformFollower.js";

async function advance(timer: VirtualTimer, durationMs: number): Promise<void> {
    for (let passed = 0; passed < durationMs; passed += 50) {
        await new Promise(resolve => setImmediate(resolve));
        timer.advance(50);
    }
}

test("a watch that stays silent while a read brings a newer document is opened anew", async context => {
    const timer = createVirtualTimer();
    let current: StoredValue = { text: "first", modRevision: 1 };
    const open = new Set<(value: StoredValue) => void>();
    let watchCount = 0;
    const store = {
        get: () => Promise.resolve(ok(current)),
        watch: (_key: string, onChange: (value: StoredValue) => void, onEnd: (reason: string) => void) => {
            watchCount++;
            open.add(onChange);
            return () => {
                open.delete(onChange);
                onEnd("stopped");
            };
        },
    } as unknown as Store;
    const change = (text: string): void => {
        current = { text, modRevision: current.modRevision + 1 };
        open.forEach(onChange => onChange(current));
    };
    const offered: string[] = [];
    const follower = createPlatformFollower({
        timer,
        random: createRandom(1),
        log: silentLog,
        core: { isFollower: () => true, index: () => ({}) } as unknown as EntryCore,
        handle: (event: CoreEvent) => event.kind === "documentOffered" && offered.push(event.text),
        store,
        listUrl: "http://127.0.0.1:9",
        timeoutMs: 10,
        onInstances: () => {},
    });
    context.after(() => follower.close());
    await advance(timer, 1_000);
    change("second");
    assert.equal(offered.at(-1), "second");
    open.clear();
    change("third");
    await advance(timer, 12_000);
    assert.equal(offered.at(-1), "third");
    assert.equal(watchCount, 2);
    change("fourth");
    assert.equal(offered.at(-1), "fourth");
});
