/**
 * Guards against an estimate that collapses under load: at a busy target, warm work is often as slow as cold work, and an
 * estimate that is too low makes entries take cached objects for evicted ones and copy them.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { createRandom } from "../../random/random.js";
import { createCacheCapacity } from "../cacheCapacity.js";

const maxDistance = 40;
const quickFractionWhenCached = 0.75;
const quickFractionWhenEvicted = 0.15;
const warmUpRequests = 600;
const requests = 4_000;

for (const actual of [12, 24]) {
    test(`the estimate stays near ${actual} objects when a quarter of the warm work is slow`, () => {
        const random = createRandom(actual);
        const capacity = createCacheCapacity();
        for (let request = 0; request < requests; request++) {
            const distance = random.below(maxDistance);
            const quickFraction = distance < actual ? quickFractionWhenCached : quickFractionWhenEvicted;
            capacity.record(distance, random.next() < quickFraction);
            if (request >= warmUpRequests) {
                assert.ok(Math.abs(capacity.current() - actual) <= actual / 2, `${capacity.current()} after ${request}`);
            }
        }
    });
}
