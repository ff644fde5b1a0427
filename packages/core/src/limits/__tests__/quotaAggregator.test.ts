/** Sums of reported use while relays change and reports are lost. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { toDataCentreId } from "../../ids.js";
import { createVirtualTimer } from "../../time/virtualTimer.js";
import { createQuotaAggregator } from "../quotaAggregator.js";
import type { DataCentreReport } from "../quotaReport.js";

const self = 1;
const key = 77;

function createFixture() {
    const timer = createVirtualTimer();
    const aggregator = createQuotaAggregator({
        timer,
        self,
        dataCentre: toDataCentreId("cpt-a"),
        windowMs: () => 5_000,
        instanceCount: () => 4,
        allowanceOf: () => 100,
    });
    const receive = (relay: number, count: number, isComplete: boolean): void => {
        const report: DataCentreReport = {
            kind: "dataCentre",
            dataCentre: toDataCentreId("jhb-a"),
            instanceCount: 2,
            knownCount: 4,
            heardRelays: [self],
            isComplete,
            uses: [{ key, count }],
        };
        aggregator.applyDataCentre(relay, report);
    };
    const use = (): readonly [number, number] => {
        const total = aggregator.total().uses[0];
        return [total?.count ?? 0, total?.silentCount ?? 0];
    };
    return { timer, aggregator, receive, use };
}

test("what a data centre admitted before all its instances restarted counts until it has left the window", () => {
    const { timer, receive, use } = createFixture();
    receive(8, 50, true);
    timer.advance(1_000);
    receive(9, 3, true);
    assert.deepEqual(use(), [3, 47]);
    timer.advance(4_001);
    receive(9, 3, true);
    assert.deepEqual(use(), [3, 0]);
});

test("a deputy that reports what its relay reported is not counted twice", () => {
    const { timer, receive, use } = createFixture();
    receive(8, 50, true);
    timer.advance(600);
    receive(9, 51, true);
    assert.deepEqual(use(), [51, 0]);
});

test("a report of changes is ignored without what came before it, and all is repeated to its sender", () => {
    const { aggregator, receive, use } = createFixture();
    aggregator.takeDataCentreReport();
    receive(8, 5, false);
    assert.deepEqual(use(), [0, 0]);
    assert.equal(aggregator.takeDataCentreReport()?.isComplete, true);
    receive(8, 50, true);
    receive(8, 60, false);
    assert.deepEqual(use(), [60, 0]);
});

test("the use of a data centre whose report is overdue grows at its last rate until it counts as silent", () => {
    const { timer, receive, use } = createFixture();
    receive(8, 10, true);
    timer.advance(100);
    receive(8, 30, false);
    timer.advance(400);
    assert.deepEqual(use(), [110, 0]);
    timer.advance(1_000);
    assert.deepEqual(use(), [0, 126]);
});
