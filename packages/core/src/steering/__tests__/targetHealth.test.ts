/** Which failing targets are taken out of use. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { toTargetId } from "../../ids.js";
import { createTestBench, head, record, type TestBench } from "./fixture.js";

const targetIds = ["one", "three", "fives", "sevens1"];
const isEjected = (bench: TestBench, id: string): boolean =>
    bench.registry.find(toTargetId(id))!.ejectedUntil > bench.timer.now();

/** Lets targets refuse every second request, in turn. */
function refuseHalf(bench: TestBench, ids: readonly string[]): void {
    for (let step = 0; step < 40; step++) {
        for (const id of targetIds) {
            const isRefused = ids.includes(id) && step % 2 === 0;
            const response = isRefused ? head({ status: 503, isNotRun: true }) : head();
            bench.targetHealth.recordResponse(bench.registry.find(toTargetId(id))!, response, !isRefused);
        }
    }
}

test("a target that fails much more often than its peers is ejected", () => {
    const bench = createTestBench({ targets: targetIds.map(id => record(id)) });
    refuseHalf(bench, ["three"]);
    assert.deepEqual(targetIds.filter(id => isEjected(bench, id)), ["three"]);
});

test("no target is ejected while all fail alike", () => {
    const bench = createTestBench({ targets: targetIds.map(id => record(id)) });
    refuseHalf(bench, targetIds);
    assert.deepEqual(targetIds.filter(id => isEjected(bench, id)), []);
});
