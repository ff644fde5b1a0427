/** Order of queued requests by workspace: what a workspace that sends too much costs the others. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { digestKey } from "../../hash/keyDigest.js";
import { type ServiceId, toDataCentreId, toRegionId, toWorkspaceId } from "../../ids.js";
import { createRandom, type Random } from "../../random/random.js";
import { type ConnectionPlace, firstPlace } from "../connectionPlace.js";
import type { Job } from "../job.js";
import { compareQueuedRequests, createRequestQueue, type QueuedRequest, type RequestQueue } from "../requestQueue.js";
import type { Workspace } from "../steeringDocument.js";
import { createWorkspaceDirectory, type WorkspaceDirectory } from "../workspaceDirectory.js";
import { createTestBench, record, route, service } from "./fixture.js";

const workspaceOf = (name: string, ratePerSecond?: number): Workspace => ({
    id: toWorkspaceId(name),
    keys: [digestKey(Buffer.from(name))],
    priority: undefined,
    homeRegions: [],
    quota: ratePerSecond === undefined ? undefined : { ratePerSecond, burst: ratePerSecond },
    isUnreadable: false,
});
const directoryOf = (...workspaces: readonly Workspace[]): WorkspaceDirectory =>
    createWorkspaceDirectory({ workspaces, hasUnreadableKeys: false });

interface JobFields {
    readonly directory: WorkspaceDirectory;
    readonly workspace: Workspace | undefined;
    readonly priority?: number;
    readonly isCallerRetry?: boolean;
    readonly arrivedAt?: number;
    readonly place?: ConnectionPlace;
    readonly service?: ServiceId;
}

const jobOf = (
    { directory, workspace, priority = 1, isCallerRetry = false, arrivedAt = 0, place = firstPlace }: JobFields,
): Job<string> =>
    ({
        service,
        isCallerRetry,
        request: { arrivedAt, place },
        terms: { directory, workspace, priority, weight: directory.weightOf(workspace) },
    }) as unknown as Job<string>;

/** Queued requests at random: of some workspaces and of none, late and in time, with equal times among them. */
function fillAtRandom(
    queue: RequestQueue<string>,
    random: Random,
    workspaces: readonly (Workspace | undefined)[],
): QueuedRequest<string>[] {
    const directory = directoryOf(...workspaces.filter(workspace => workspace !== undefined));
    const pick = (): Job<string> =>
        jobOf({
            directory,
            workspace: workspaces[random.below(workspaces.length)],
            priority: random.below(2),
            isCallerRetry: random.below(3) === 0,
            arrivedAt: random.below(5),
            place: { ahead: random.below(3), delayMs: random.below(5) },
        });
    for (let count = random.below(20); count > 0; count--) {
        queue.recordSent(pick());
    }
    return Array.from({ length: 1 + random.below(40) }, () => queue.add(pick(), 90 + random.below(20)));
}

// Guards against a change for deployments without workspaces.
test("without workspaces the order is by urgency and time alone", () => {
    for (let seed = 1; seed <= 200; seed++) {
        const queue = createRequestQueue<string>();
        const queued = fillAtRandom(queue, createRandom(seed), [undefined]);
        const expected = queued.slice().sort((a, b) => compareQueuedRequests(a, b, 100));
        assert.deepEqual(queue.inServiceOrder(service, 100), expected, `seed ${seed}`);
        for (const one of queued) {
            const ahead = queued.filter(other => compareQueuedRequests(other, one, 100) < 0);
            const aheadInTime = ahead.filter(({ latestStartAt }) => latestStartAt >= 100).length;
            assert.deepEqual(queue.countAhead(one, 100), { ahead: ahead.length, aheadInTime }, `seed ${seed}`);
        }
    }
});

// Guards against estimates of the waiting time that are made for another order than the one in which requests are served.
test("the requests counted ahead of one are those before it in the order of service", () => {
    for (let seed = 1; seed <= 300; seed++) {
        const queue = createRequestQueue<string>();
        const workspaces = [workspaceOf("a", 1), workspaceOf("b", 3), workspaceOf("c"), workspaceOf("d", 10), undefined];
        fillAtRandom(queue, createRandom(seed), workspaces);
        const order = queue.inServiceOrder(service, 100);
        order.forEach((one, index) => {
            const aheadInTime = order.slice(0, index).filter(({ latestStartAt }) => latestStartAt >= 100).length;
            assert.deepEqual(queue.countAhead(one, 100), { ahead: index, aheadInTime }, `seed ${seed}, position ${index}`);
        });
    }
});

// Guards against a workspace whose long queue or whose retries delay the one request of another.
test("a workspace's single request waits for one turn, not for the queue or the retries of another workspace", () => {
    const directory = directoryOf(workspaceOf("flood"), workspaceOf("calm"));
    const [flood, calm] = directory.workspaces;
    for (const latestStartAt of [50, 150]) {
        const queue = createRequestQueue<string>();
        for (let index = 0; index < 300; index++) {
            queue.add(jobOf({ directory, workspace: flood, isCallerRetry: true }), latestStartAt);
        }
        const single = queue.add(jobOf({ directory, workspace: calm, arrivedAt: 40 }), latestStartAt);
        assert.equal(queue.countAhead(single, 100).ahead, 1);
        assert.equal(queue.inServiceOrder(service, 100)[1], single);
    }
});

// Guards against workspaces that wait while others are served: fairness holds for any load and any weights.
test("no workspace with waiting requests gets less than a quarter of what others are served, by their rates", () => {
    for (let seed = 1; seed <= 10; seed++) {
        const random = createRandom(seed);
        const workspaces = Array.from(
            { length: 2 + random.below(9) },
            (_, index) => workspaceOf(`w${index}`, 1 + random.below(9)),
        );
        const directory = directoryOf(...workspaces);
        const excess = workspaces.map(() => (random.below(4) === 0 ? 7 : 1 + random.next()));
        const queue = createRequestQueue<string>();
        const served = workspaces.map(() => 0);
        const waiting = workspaces.map(() => 0);
        const alwaysWaited = workspaces.map(() => true);
        const total = workspaces.reduce((sum, { quota }) => sum + quota!.ratePerSecond, 0);
        for (let step = 0; step < 2_000; step++) {
            workspaces.forEach((workspace, index) => {
                const arrivals = excess[index]! * workspace.quota!.ratePerSecond / total;
                for (let left = Math.floor(arrivals + random.next()); left > 0 && waiting[index]! < 50; left--) {
                    queue.add(jobOf({ directory, workspace }), 5_000 + step);
                    waiting[index]!++;
                }
            });
            const next = queue.inServiceOrder(service, 0)[0];
            if (next !== undefined) {
                queue.remove(next.job);
                queue.recordSent(next.job);
                const index = workspaces.indexOf(next.job.terms.workspace!);
                waiting[index]!--;
                served[index]!++;
            }
            if (step > 400) {
                workspaces.forEach((_, index) => alwaysWaited[index] &&= waiting[index]! > 0);
            }
        }
        const shares = workspaces.map(({ quota }, index) => served[index]! / quota!.ratePerSecond);
        workspaces.forEach((_, index) =>
            assert.ok(!alwaysWaited[index] || shares[index]! >= 0.25 * Math.max(...shares), `seed ${seed}: ${shares.join()}`)
        );
    }
});

// Guards against an arrival that takes a slot which came free unnoticed, ahead of those that waited for it.
test("a slot that became free goes to the request whose turn it is, not to the one that arrives", () => {
    const directory = directoryOf(workspaceOf("flood"), workspaceOf("calm"));
    const [flood, calm] = directory.workspaces.map(({ keys }) => ({ keyDigest: keys[0] }));
    for (const arrival of [flood, { path: "/open/1" }]) {
        const bench = createTestBench({
            workspaces: () => directory,
            routes: [route(), route({ prefix: "/open/", isPublic: true })],
            targets: [record("one", { slots: 1 })],
        });
        bench.submit("runs", flood);
        bench.submit("queued", calm);
        bench.registry.put(record("one", { slots: 2 }));
        bench.submit("arrives", arrival);
        assert.deepEqual(bench.sent.map(({ job }) => job.request.id), ["runs", "queued"]);
    }
});

// Guards against workspaces whose regions are full and that hold up the queue for all others.
test("requests that wait for a slot in their home regions do not hold up those of other workspaces", () => {
    const far = Array.from({ length: 12 }, (_, index) => ({ ...workspaceOf(`far-${index}`), homeRegions: [toRegionId("jnb")] }));
    const directory = directoryOf(workspaceOf("near"), ...far);
    const [nearKey, ...farKeys] = directory.workspaces.map(({ keys }) => ({ keyDigest: keys[0] }));
    const bench = createTestBench({
        workspaces: () => directory,
        targets: [
            record("one", { slots: 1 }),
            record("there", { dataCentre: toDataCentreId("jnb-a"), region: toRegionId("jnb"), slots: 0 }),
        ],
    });
    // Shows that slots become free often enough to queue for them.
    for (let index = 0; index < 200; index++) {
        bench.submit(`earlier-${index}`, nearKey);
        bench.timer.advance(5);
        bench.respond(bench.sent.at(-1)!);
    }
    bench.submit("runs", nearKey);
    farKeys.forEach((farKey, index) => bench.submit(`far-${index}`, farKey));
    bench.submit("queued", nearKey);
    assert.ok(bench.dispatcher.queuedCount(service) > 10, `${bench.dispatcher.queuedCount(service)} are queued`);
    bench.respond(bench.sent.at(-1)!);
    assert.deepEqual(bench.sent.slice(200).map(({ job }) => job.request.id), ["runs", "queued"]);
});

// Guards against a small workspace whose few requests, when two arrive together, wait for its next turn for seconds.
test("a workspace that sends less than its share gets its requests served together, and one that sends more does not", () => {
    const directory = directoryOf(workspaceOf("flood", 100), workspaceOf("calm", 1));
    const [flood, calm] = directory.workspaces;
    const queue = createRequestQueue<string>();
    for (let index = 0; index < 100; index++) {
        queue.recordSent(jobOf({ directory, workspace: flood }));
    }
    for (let index = 0; index < 20; index++) {
        queue.add(jobOf({ directory, workspace: flood }), 150);
    }
    const aheadOf = (): number => queue.countAhead(queue.add(jobOf({ directory, workspace: calm }), 150), 100).ahead;
    assert.deepEqual(Array.from({ length: 6 }, aheadOf), [0, 1, 2, 3, 4, 5]);
    assert.ok(aheadOf() > 20);
});

interface ServedShares {
    readonly flood: number;
    readonly others: number;
    readonly worst: number;
}

const workMs = 50;
const usualPerSecond = 18;
const workspaceCount = 8;
const replayMs = 6_000;

/**
 * Load at 90% of the slots, of which the first workspace sends `excess` times its part; shares of usual requests answered in
 * time. The others send in equal parts, or each half of what the one before it sends.
 */
function replay(excess: number, hasWorkspaces: boolean, areEqual = true): ServedShares {
    const parts = Array.from({ length: workspaceCount }, (_, index) => areEqual ? 1 : 0.5 ** index);
    const total = parts.reduce((sum, part) => sum + part, 0);
    const rates = parts.map(part => part / total * usualPerSecond * workspaceCount);
    const workspaces = rates.map((rate, index) => workspaceOf(`w${index}`, 1.6 * rate));
    const directory = directoryOf(...(hasWorkspaces ? workspaces : []));
    const random = createRandom(7);
    const inTime = workspaces.map(() => 0);
    const sentRequests = workspaces.map(() => 0);
    const bench = createTestBench({
        routes: [route({ objectiveMs: 400 })],
        targets: ["a", "bb", "ccc", "dddd"].map(id => record(id)),
        workspaces: () => directory,
        events: {
            onEnded: (job, response) => {
                if (response.kind === "answer" && bench.timer.now() <= job.objectiveAt) {
                    inTime[Number(job.request.id.split("-")[0])]!++;
                }
            },
        },
    });
    const due: { readonly at: number; readonly attempt: typeof bench.sent[number]; }[] = [];
    let scheduled = 0;
    for (let ms = 0; ms < replayMs; ms++) {
        workspaces.forEach(({ keys }, index) => {
            if (random.next() < (index === 0 ? excess : 1) * rates[index]! / 1_000) {
                bench.submit(`${index}-${sentRequests[index]!++}`, { keyDigest: keys[0] });
            }
        });
        while (due.length > 0 && due[0]!.at <= ms) {
            bench.respond(due.shift()!.attempt);
        }
        while (scheduled < bench.sent.length) {
            due.push({ at: ms + workMs, attempt: bench.sent[scheduled++]! });
        }
        bench.timer.advance(1);
    }
    const shares = inTime.map((count, index) => count / sentRequests[index]!);
    return {
        flood: inTime[0]! / (rates[0]! * replayMs / 1_000),
        others: shares.slice(1).reduce((sum, share) => sum + share, 0) / (workspaceCount - 1),
        worst: Math.min(...shares.slice(1)),
    };
}

// Guards against a workspace that sends seven times its usual and takes the slots of the others.
test("with full targets, a workspace at seven times its usual load costs the others nothing", t => {
    const calm = replay(1, true);
    const flooded = replay(7, true);
    t.diagnostic(JSON.stringify({ calm, flooded, withoutWorkspaces: replay(7, false) }));
    assert.ok(flooded.others >= calm.others - 0.02, `${flooded.others} of ${calm.others}`);
    assert.ok(flooded.worst >= calm.worst - 0.05, `${flooded.worst} of ${calm.worst}`);
    assert.ok(flooded.flood >= 0.9, `${flooded.flood}`);
});

// Guards against small workspaces whose few requests, arriving at random, are refused beside a large one in excess.
test("a large workspace at seven times its usual load costs small ones nothing", t => {
    const calm = replay(1, true, false);
    const flooded = replay(7, true, false);
    t.diagnostic(JSON.stringify({ calm, flooded, withoutWorkspaces: replay(7, false, false) }));
    assert.ok(flooded.others >= calm.others - 0.03, `${flooded.others} of ${calm.others}`);
    assert.ok(flooded.worst >= 0.9, `${flooded.worst} of ${calm.worst}`);
});
