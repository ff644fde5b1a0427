/** Counts of how requests ended and of what targets remembered. */
import { toServiceId } from "@pimentospring/core/ids";
import { results } from "@pimentospring/core/results/resultCode";
import type { Attempt, FinalResponse, Job } from "@pimentospring/core/steering/job";
import { createVirtualTimer } from "@pimentospring/core/time/virtualTimer";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { Answer } from "../../targets/answer.js";
import { busiestRoutes, createServiceTally } from "../serviceTally.js";

const service = toServiceId("tokens");
const job = { service, route: { name: "look-up" }, objectiveAt: 300 } as Job<Answer>;
const answered = (status: number): FinalResponse<Answer> => ({ kind: "answer", answer: { status } as Answer });
const refused = (result: typeof results.noRoom | typeof results.timedOut): FinalResponse<Answer> => ({
    kind: "refusal",
    result,
    retryAfterMs: undefined,
});

test("requests are counted by how they ended, and each is taken once", () => {
    const timer = createVirtualTimer();
    const tally = createServiceTally(timer);
    tally.ended(job, answered(200));
    tally.ended(job, answered(500));
    tally.ended(job, refused(results.noRoom));
    tally.ended(job, refused(results.timedOut));
    timer.advance(301);
    tally.ended(job, answered(200));
    const { inTime, late, refused: notRun, failed } = tally.take(service).get("look-up")!;
    assert.deepEqual({ inTime, late, notRun, failed }, { inTime: 1, late: 1, notRun: 1, failed: 2 });
    assert.equal(tally.take(service).size, 0);
});

test("runs are counted by what was expected of the target's memory and by what was found", () => {
    const tally = createServiceTally(createVirtualTimer());
    tally.worked({ job, isWarm: true } as Attempt<Answer>, true);
    tally.worked({ job, isWarm: true } as Attempt<Answer>, false);
    tally.worked({ job, isWarm: false } as Attempt<Answer>, true);
    const { known, knownQuick, fresh, freshQuick } = tally.take(service).get("look-up")!;
    assert.deepEqual({ known, knownQuick, fresh, freshQuick }, { known: 2, knownQuick: 1, fresh: 1, freshQuick: 1 });
});

test("however many routes have requests, only the busiest are told", () => {
    const tally = createServiceTally(createVirtualTimer());
    for (let index = 0; index < 100; index++) {
        const other = { ...job, route: { name: `route-${index}` } } as Job<Answer>;
        tally.ended(other, answered(200));
        tally.ended(index === 42 ? other : job, answered(200));
    }
    assert.deepEqual(busiestRoutes(tally.take(service), 2), ["look-up", "route-42"]);
});
