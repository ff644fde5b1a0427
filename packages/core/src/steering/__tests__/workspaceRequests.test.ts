/** Requests of workspaces through the dispatcher: their keys, homes and quotas. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { digestKey } from "../../hash/keyDigest.js";
import { type Fingerprint, type KeyDigest, toDataCentreId, toRegionId, toWorkspaceId } from "../../ids.js";
import type { SharedLimit } from "../../limits/sharedLimit.js";
import { type Result, results } from "../../results/resultCode.js";
import type { SteeringRequest } from "../job.js";
import type { Workspace } from "../steeringDocument.js";
import { createWorkspaceDirectory, type WorkspaceDirectory } from "../workspaceDirectory.js";
import { createTestBench, healthyResponse, record, route, type TestBench, type TestBenchOptions } from "./fixture.js";

const keyOf = (name: string): KeyDigest => digestKey(Buffer.from(`key of ${name}`));
const workspace = (name: string, fields: Partial<Workspace> = {}): Workspace => ({
    id: toWorkspaceId(name),
    keys: [keyOf(name)],
    priority: undefined,
    homeRegions: [],
    quota: undefined,
    isUnreadable: false,
    ...fields,
});
const directoryOf = (...workspaces: readonly Workspace[]): WorkspaceDirectory =>
    createWorkspaceDirectory({ workspaces, hasUnreadableKeys: false });
const benchWith = (directory: WorkspaceDirectory, options: TestBenchOptions = {}): TestBench =>
    createTestBench({ workspaces: () => directory, ...options });
const resultOf = (bench: TestBench, id: string): Result | string | undefined => {
    const response = bench.finalResponses.get(id);
    return response?.kind === "refusal" ? response.result : response?.answer;
};
/** A caller whose copy of the request has the same fingerprint. */
const copyWith = (key: string): Partial<SteeringRequest> => ({
    keyDigest: keyOf(key),
    fingerprint: () => "same" as Fingerprint,
});

const targetIn = (region: string, id: string): ReturnType<typeof record> =>
    record(id, { dataCentre: toDataCentreId(`${region}-a`), region: toRegionId(region), slots: 8 });
const [near, far] = [toRegionId("cpt"), toRegionId("jnb")];

// Guards against a request that runs, at first or on its retry, in a region that its route or its workspace excludes.
test("homes of route and workspace both bind, on the first attempt and on the retry", () => {
    const bench = benchWith(directoryOf(workspace("w", { homeRegions: [far, toRegionId("dur")] })), {
        routes: [route({ homeRegions: [toRegionId("dbn"), far] })],
        targets: ["dbn", "dur", "jnb"].flatMap(place => [targetIn(place, `${place}-1`), targetIn(place, `${place}-2`)]),
    });
    for (let index = 0; index < 10; index++) {
        bench.submit(`r${index}`, { keyDigest: keyOf("w"), deadlineAt: bench.timer.now() + 4_000 });
        bench.timer.advance(40);
        const attempt = bench.sent.at(-1)!;
        bench.dispatcher.recordWritten(attempt);
        bench.dispatcher.handleConnectionFailure(attempt, "reset");
        bench.targetHealth.recordHealthCheck(attempt.target, healthyResponse);
        bench.timer.advance(40);
        bench.sent.slice(-1).filter(({ job }) => job.state === "sent").forEach(last => bench.respond(last));
    }
    assert.ok(bench.sent.length >= 15, `${bench.sent.length} attempts`);
    assert.deepEqual([...new Set(bench.sent.map(({ target }) => target.record.region))], [far]);
});

// Guards against a workspace that is hardly served where its requests have to leave the region: the slots that other data
// centres lend to a single entry are often fewer than one, and these requests have no other place to go.
test("requests that may not run in the caller's region are not held back for lack of lent slots", () => {
    const bench = benchWith(directoryOf(workspace("w", { homeRegions: [far] })), {
        targets: [targetIn("cpt", "cpt-1"), targetIn("jnb", "jnb-1"), targetIn("jnb", "jnb-2")],
    });
    for (let index = 0; index < 5; index++) {
        bench.submit(`r${index}`, { keyDigest: keyOf("w"), deadlineAt: bench.timer.now() + 4_000 });
    }
    assert.equal(bench.sent.length, 5);
    assert.ok(bench.sent.every(({ target }) => target.record.region === far));
});

// Guards against a request that waits for its deadline though it can run nowhere.
test("without a common home the request is refused at once, as not run", () => {
    const bench = benchWith(directoryOf(workspace("w", { homeRegions: [far] })), { routes: [route({ homeRegions: [near] })] });
    bench.submit("a", { keyDigest: keyOf("w") });
    assert.equal(resultOf(bench, "a"), results.noCommonRegion);
    assert.equal(results.noCommonRegion.outcome, "notRun");
});

// Guards against answers that tell callers without a key which paths are served, or 401 where the path is wrong.
test("an unknown route is reported before a missing key, and a public route needs none", () => {
    const bench = benchWith(directoryOf(workspace("w")), {
        routes: [route(), route({ name: "open", prefix: "/open/", isPublic: true })],
    });
    bench.submit("unknown", { path: "/other/1" });
    bench.submit("keyless");
    bench.submit("foreign", { keyDigest: keyOf("v") });
    bench.submit("public", { path: "/open/1" });
    bench.submit("named", { path: "/open/1", keyDigest: keyOf("w") });
    assert.equal(resultOf(bench, "unknown"), results.unknownRoute);
    assert.equal(resultOf(bench, "keyless"), results.unauthorised);
    assert.equal(resultOf(bench, "foreign"), results.unauthorised);
    assert.deepEqual(bench.sent.map(({ job }) => job.terms.workspace?.id), [undefined, "w"]);
});

// Guards against a removed key that runs once more, since its request was queued before or is sent a second time.
test("a key that a newer document removed is refused at once, also for queued requests and retries", () => {
    let directory = directoryOf(workspace("w"), workspace("v"));
    const bench = createTestBench({
        workspaces: () => directory,
        targets: [record("one", { slots: 1 }), record("three", { slots: 1 })],
    });
    for (const id of ["runs", "retried"]) {
        bench.submit(id, { keyDigest: keyOf("w") });
    }
    bench.submit("queued", { keyDigest: keyOf("w") });
    bench.submit("kept", { keyDigest: keyOf("v") });
    directory = directoryOf(workspace("v"));
    bench.dispatcher.dispatchQueued();
    bench.submit("later", { keyDigest: keyOf("w") });
    assert.equal(resultOf(bench, "queued"), results.unauthorised);
    assert.equal(resultOf(bench, "later"), results.unauthorised);
    bench.dispatcher.handleConnectionFailure(bench.sent[1]!, "refused");
    assert.equal(resultOf(bench, "retried"), results.unauthorised);
    bench.respond(bench.sent[0]!);
    assert.equal(resultOf(bench, "runs"), "answer to runs");
    assert.deepEqual(bench.sent.map(({ job }) => job.request.id), ["runs", "retried", "kept"]);
});

// Guards against 401 for callers that already sent keys when the operator introduced them.
test("a request that was queued before the first document with workspaces keeps its place with its key", () => {
    let directory = directoryOf();
    const bench = createTestBench({ workspaces: () => directory, targets: [record("one", { slots: 1 })] });
    bench.submit("runs");
    bench.submit("queued", { keyDigest: keyOf("w") });
    directory = directoryOf(workspace("w"));
    bench.dispatcher.dispatchQueued();
    bench.respond(bench.sent[0]!);
    assert.equal(bench.sent[1]?.job.terms.workspace?.id, "w");
});

// Guards against a removed key that runs on an entry which lost contact while the request was queued.
test("queued requests are refused too once keys may be stale", () => {
    let areKeysStale = false;
    const bench = benchWith(directoryOf(workspace("w")), {
        areKeysStale: () => areKeysStale,
        targets: [record("one", { slots: 1 })],
    });
    bench.submit("runs", { keyDigest: keyOf("w") });
    bench.submit("queued", { keyDigest: keyOf("w") });
    areKeysStale = true;
    bench.submit("later", { keyDigest: keyOf("w") });
    bench.respond(bench.sent[0]!);
    assert.equal(bench.sent.length, 1);
    assert.equal(resultOf(bench, "queued"), results.staleKeys);
    assert.equal(resultOf(bench, "later"), results.staleKeys);
});

/** A limit that admits `count` requests, and counts what was given back. */
function createCountedLimit(count: number): SharedLimit<unknown> & { taken: number; givenBack: number; } {
    return {
        taken: 0,
        givenBack: 0,
        tryTake() {
            if (this.taken - this.givenBack >= count) {
                return { kind: "refused", retryAfterMs: 700 };
            }
            this.taken++;
            return { kind: "admitted", giveBack: () => this.givenBack++ };
        },
    };
}

// Guards against a quota that shrinks with each request that was refused without having run.
test("quota is given back for a request that ends without having run, and kept where it may have run", () => {
    const limit = createCountedLimit(2);
    const withQuota = directoryOf(workspace("w", { quota: { ratePerSecond: 1, burst: 1 } }));
    const bench = benchWith(withQuota, { quotaLimit: limit, routes: [route({ isIdempotent: false })], targets: [record("one")] });
    const submit = (id: string): () => void => bench.submit(id, { keyDigest: keyOf("w") });
    submit("notRun");
    bench.respond(bench.sent[0]!, { status: 503, isNotRun: true });
    bench.timer.advance(2_000);
    assert.equal((resultOf(bench, "notRun") as Result).outcome, "notRun");
    assert.equal(limit.givenBack, 1);
    submit("mayHaveRun");
    bench.dispatcher.recordWritten(bench.sent.at(-1)!);
    bench.dispatcher.handleConnectionFailure(bench.sent.at(-1)!, "reset");
    assert.equal(resultOf(bench, "mayHaveRun"), results.outcomeUnknown);
    bench.targetHealth.recordHealthCheck(
        bench.registry.targetsIn(route().weightedServices[0]!.service, record("one").dataCentre)[0]!,
        healthyResponse,
    );
    submit("left");
    const leave = submit("over");
    assert.equal(resultOf(bench, "over"), results.overQuota);
    leave();
    assert.deepEqual([limit.taken, limit.givenBack], [3, 1]);
});

// Guards against quota that is kept when a caller leaves before its request was sent, or given back after it was.
test("quota of a caller that leaves is given back only if nothing of its request was sent", () => {
    const limit = createCountedLimit(9);
    const withQuota = directoryOf(workspace("w", { quota: { ratePerSecond: 1, burst: 1 } }));
    const bench = benchWith(withQuota, { quotaLimit: limit, targets: [record("one", { slots: 1 })] });
    const [leaveSent, leaveQueued] = ["sent", "queued"].map(id => bench.submit(id, { keyDigest: keyOf("w") }));
    leaveQueued!();
    assert.equal(limit.givenBack, 1);
    bench.dispatcher.recordWritten(bench.sent[0]!);
    leaveSent!();
    assert.equal(limit.givenBack, 1);
});

// Guards against a request that is served as late, behind others, since another workspace's caller was refused before.
test("a caller's retry is told apart by its key where requests need keys, and only there", () => {
    const isRetry = (directory: WorkspaceDirectory, first: string, second: string): boolean => {
        const bench = benchWith(directory, { targets: [record("one")] });
        bench.submit("first", copyWith(first));
        for (let attempts = 0; attempts < 4 && !bench.finalResponses.has("first"); attempts++) {
            bench.respond(bench.sent.at(-1)!, { status: 503, isNotRun: true });
        }
        assert.notEqual(resultOf(bench, "first"), undefined);
        bench.submit("second", copyWith(second));
        bench.timer.advance(1_000);
        return bench.sent.at(-1)!.job.isCallerRetry;
    };
    const directory = directoryOf(workspace("v"), workspace("w"));
    assert.equal(isRetry(directory, "v", "v"), true);
    assert.equal(isRetry(directory, "v", "w"), false);
    assert.equal(isRetry(directoryOf(), "v", "w"), true);
});
