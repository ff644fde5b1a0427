/** Counts of request outcomes and of expected and observed warm objects. */
import { toServiceId } from "@pimentospring/core/ids";
import { results } from "@pimentospring/core/results/resultCode";
import type { Attempt, FinalResponse, Job } from "@pimentospring/core/steering/job";
import { createVirtualTimer } from "@pimentospring/core/time/virtualTimer";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { TargetResponse } from "../../targets/targetResponse.js";
import { busiestRoutes, createRouteStatistics } from "../routeStatistics.js";

const service = toServiceId("tokens");
const job = { service, route: { name: "look-up" }, objectiveAt: 300 } as Job<TargetResponse>;
const answered = (status: number): FinalResponse<TargetResponse> => ({ kind: "answer", answer: { status } as TargetResponse });
const refused = (result: typeof results.noRoom | typeof results.timedOut): FinalResponse<TargetResponse> => ({
    kind: "refusal",
    result,
    retryAfterMs: undefined,
});

test("requests are counted by how they ended, and each is taken once", () => {
    const timer = createVirtualTimer();
    const tally = createRouteStatistics(timer);
    tally.recordEnding(job, answered(200));
    tally.recordEnding(job, answered(500));
    tally.recordEnding(job, refused(results.noRoom));
    tally.recordEnding(job, refused(results.timedOut));
    timer.advance(301);
    tally.recordEnding(job, answered(200));
    const { inTime, late, refused: notRun, failed } = tally.takeCounts(service).get("look-up")!;
    assert.deepEqual({ inTime, late, notRun, failed }, { inTime: 1, late: 1, notRun: 1, failed: 2 });
    assert.equal(tally.takeCounts(service).size, 0);
});

test("runs are counted by what was expected of the target's memory and by what was found", () => {
    const tally = createRouteStatistics(createVirtualTimer());
    tally.recordRun({ job, isWarm: true } as Attempt<TargetResponse>, true);
    tally.recordRun({ job, isWarm: true } as Attempt<TargetResponse>, false);
    tally.recordRun({ job, isWarm: false } as Attempt<TargetResponse>, true);
    const { known, knownQuick, fresh, freshQuick } = tally.takeCounts(service).get("look-up")!;
    assert.deepEqual({ known, knownQuick, fresh, freshQuick }, { known: 2, knownQuick: 1, fresh: 1, freshQuick: 1 });
});

test("however many routes have requests, only the busiest are told", () => {
    const tally = createRouteStatistics(createVirtualTimer());
    for (let index = 0; index < 100; index++) {
        const other = { ...job, route: { name: `route-${index}` } } as Job<TargetResponse>;
        tally.recordEnding(other, answered(200));
        tally.recordEnding(index === 42 ? other : job, answered(200));
    }
    assert.deepEqual(busiestRoutes(tally.takeCounts(service), 2), ["look-up", "route-42"]);
});
