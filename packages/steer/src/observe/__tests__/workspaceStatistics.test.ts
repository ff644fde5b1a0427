/** Counts of workspaces in metrics and status. */
import { toWorkspaceId } from "@pimentospring/core/ids";
import { results } from "@pimentospring/core/results/resultCode";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createSteerMetrics } from "../metrics.js";
import { createWorkspaceStatistics, refusalCount } from "../workspaceStatistics.js";

// Guards against metrics that grow with the number of workspaces, and counters that go back.
test("metrics show the busiest workspaces only, and counts survive that others were busier for a while", async () => {
    const statistics = createWorkspaceStatistics();
    const metrics = createSteerMetrics();
    metrics.registerWorkspaceCounters(statistics.busiest);
    const record = (name: string, times: number): void => {
        for (let count = 0; count < times; count++) {
            statistics.record(toWorkspaceId(name), count % 2 === 0 ? undefined : results.overQuota);
        }
    };
    record("quiet", 4);
    for (let index = 0; index < 100; index++) {
        record(`w${index}`, 10 + index);
    }
    const first = await metrics.render();
    assert.equal(first.match(/^pimento_workspace_requests_total\{/gm)?.length, 20);
    assert.match(first, /pimento_workspace_refusals_total\{workspace="w99",result="2017"\} 54/);
    assert.doesNotMatch(first, /"quiet"/);
    record("quiet", 1_000);
    const second = await metrics.render();
    assert.match(second, /pimento_workspace_requests_total\{workspace="quiet"\} 1004/);
    assert.equal(second, await metrics.render());
});

// Guards against counts of workspaces that are kept for good after the operator removed them.
test("counts of removed workspaces are dropped, and those of requests without a workspace stay", () => {
    const statistics = createWorkspaceStatistics();
    const [kept, removed] = [toWorkspaceId("kept"), toWorkspaceId("removed")];
    [kept, removed, undefined].forEach(workspace => statistics.record(workspace, results.unauthorised));
    statistics.retain([kept]);
    assert.deepEqual(statistics.busiest().map(({ workspace }) => workspace), [kept, undefined]);
    assert.equal(refusalCount(statistics.countsOf(kept)), 1);
    assert.equal(refusalCount(statistics.countsOf(removed)), 0);
});
