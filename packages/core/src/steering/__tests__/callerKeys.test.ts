/** Tables that are keyed by what callers choose: bounded, and fair to the other callers. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { Fingerprint, ServiceId } from "../../ids.js";
import { createVirtualTimer } from "../../time/virtualTimer.js";
import { createOwnAttempts, maxStartedObjects, maxWaitingObjects } from "../attemptDigest.js";
import { createCallerRetryTracker, maxRefusals } from "../callerRetries.js";
import type { Job } from "../job.js";
import { createObjectAffinity } from "../objectAffinity.js";
import { maxRememberedObjects } from "../objectUsage.js";
import type { Target } from "../target.js";
import { emptyWorkspaceDirectory } from "../workspaceDirectory.js";

const service = "s" as ServiceId;
const requestOf = (callerAddress: string, text: string): Pick<Job<unknown>, "request" | "terms"> => ({
    request: { callerAddress, fingerprint: () => text as Fingerprint } as Job<unknown>["request"],
    terms: { directory: emptyWorkspaceDirectory } as Job<unknown>["terms"],
});

// Guards against a caller of ever new objects, who filled the memory or displaced the objects that others use.
test("a caller that asks for ever new objects displaces its own, not those in use", () => {
    const affinity = createObjectAffinity(createVirtualTimer());
    const used = Array.from({ length: 250 }, (_, index) => -1 - index);
    used.forEach(key => {
        affinity.recordUse(service, key);
        affinity.recordUse(service, key);
    });
    for (let key = 0; key < 3 * maxRememberedObjects; key++) {
        affinity.recordUse(service, key);
    }
    assert.ok(affinity.activeObjectCount(service) <= maxRememberedObjects);
    assert.deepEqual(new Set(used.map(key => affinity.recentUses(service, key))), new Set([2]));
});

// Guards against a caller whose refusals displaced those of the others, who then waited behind it as if they were new.
test("a caller with many refusals does not displace those of others", () => {
    const tracker = createCallerRetryTracker(createVirtualTimer());
    const others = Array.from({ length: 100 }, (_, index) => requestOf(`100.64.0.${index}`, "request"));
    others.forEach(tracker.recordRefusal);
    for (let index = 0; index < 3 * maxRefusals; index++) {
        tracker.recordRefusal(requestOf("100.65.0.1", `request-${index}`));
    }
    assert.ok(others.every(tracker.consumeRefusal));
    assert.ok(!tracker.consumeRefusal(others[0]!), "a refusal counts for one retry");
    assert.ok(!tracker.consumeRefusal(requestOf("100.65.0.1", "request-0")));
    assert.ok(tracker.consumeRefusal(requestOf("100.65.0.1", `request-${3 * maxRefusals - 1}`)));
});

test("objects that wait for a digest are bounded, and the newest are kept", () => {
    const attempts = createOwnAttempts();
    const target = { hashSeed: 1, inFlight: 0 } as Target;
    const count = 10 * maxWaitingObjects;
    for (let object = 0; object < count; object++) {
        attempts.recordStarted(target, object);
    }
    const told: number[] = [];
    for (let digest = attempts.takeDigest(); digest !== undefined && digest.started.length > 0; digest = attempts.takeDigest()) {
        assert.ok(digest.started.length <= maxStartedObjects);
        told.push(...digest.started.map(({ object }) => object));
    }
    assert.ok(told.length < 2 * maxWaitingObjects, `${told.length}`);
    assert.equal(told.at(-1), count - 1);
});
