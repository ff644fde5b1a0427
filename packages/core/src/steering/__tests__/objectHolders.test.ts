/** The index of the targets to which objects were sent agrees with what each target's cache model remembers. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { toTargetId } from "../../ids.js";
import { createRandom } from "../../random/random.js";
import { createVirtualTimer } from "../../time/virtualTimer.js";
import { createTargetRegistry } from "../targetRegistry.js";
import { record } from "./fixture.js";

const objectCount = 400;
const targetIds = ["one", "three", "fives", "sevens1"];

test("the holders of an object are the targets that have it cached, also after evictions, restarts and removals", () => {
    const registry = createTargetRegistry({ timer: createVirtualTimer(), onChanged: () => {} });
    const random = createRandom(7);
    let startedAt = 1;
    targetIds.forEach(id => registry.put(record(id, { startedAt })));
    for (let step = 0; step < 5_000; step++) {
        const id = targetIds[random.below(targetIds.length)]!;
        if (random.next() < 0.002) {
            registry.remove(toTargetId(id));
            registry.put(record(id, { startedAt: ++startedAt }));
        }
        registry.find(toTargetId(id))!.cache.recordAccess(random.below(objectCount));
    }
    registry.remove(toTargetId("one"));
    for (let object = 0; object < objectCount; object++) {
        const holders = new Set(registry.holdersOf(object));
        for (const target of registry.all()) {
            assert.ok(!target.cache.isCached(object) || holders.has(target));
        }
        holders.forEach(holder => assert.equal(registry.find(holder.record.id), holder));
    }
});
