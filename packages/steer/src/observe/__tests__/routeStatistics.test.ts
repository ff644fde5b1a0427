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
const responseWith = (status: number): FinalResponse<TargetResponse> => ({
    kind: "answer",
    answer: { status } as TargetResponse,
});
const refusalWith = (result: typeof results.noRoom | typeof results.timedOut): FinalResponse<TargetResponse> => ({
    kind: "refusal",
    result,
    retryAfterMs: undefined,
});

test("requests are counted by outcome, and taking the counts resets them", () => {
    const timer = createVirtualTimer();
    const statistics = createRouteStatistics(timer);
    statistics.recordFinalResponse(job, responseWith(200));
    statistics.recordFinalResponse(job, responseWith(500));
    statistics.recordFinalResponse(job, refusalWith(results.noRoom));
    statistics.recordFinalResponse(job, refusalWith(results.timedOut));
    timer.advance(301);
    statistics.recordFinalResponse(job, responseWith(200));
    const { inTime, late, refused: notRun, failed } = statistics.takeCounts(service).get("look-up")!;
    assert.deepEqual({ inTime, late, notRun, failed }, { inTime: 1, late: 1, notRun: 1, failed: 2 });
    assert.equal(statistics.takeCounts(service).size, 0);
});

test("runs are counted by expected and by observed warmth of the object", () => {
    const statistics = createRouteStatistics(createVirtualTimer());
    statistics.recordRun({ job, isWarm: true } as Attempt<TargetResponse>, true);
    statistics.recordRun({ job, isWarm: true } as Attempt<TargetResponse>, false);
    statistics.recordRun({ job, isWarm: false } as Attempt<TargetResponse>, true);
    const { known, knownQuick, fresh, freshQuick } = statistics.takeCounts(service).get("look-up")!;
    assert.deepEqual({ known, knownQuick, fresh, freshQuick }, { known: 2, knownQuick: 1, fresh: 1, freshQuick: 1 });
});

test("only the busiest of many routes are returned", () => {
    const statistics = createRouteStatistics(createVirtualTimer());
    for (let index = 0; index < 100; index++) {
        const other = { ...job, route: { name: `route-${index}` } } as Job<TargetResponse>;
        statistics.recordFinalResponse(other, responseWith(200));
        statistics.recordFinalResponse(index === 42 ? other : job, responseWith(200));
    }
    assert.deepEqual(busiestRoutes(statistics.takeCounts(service), 2), ["look-up", "route-42"]);
});
