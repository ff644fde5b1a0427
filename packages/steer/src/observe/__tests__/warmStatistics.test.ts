/** Guards against a hot spot or a cold region that an operator can't see. */
import { toRegionId, toServiceId, toTargetId } from "@pimentospring/core/ids";
import type { Attempt } from "@pimentospring/core/steering/job";
import type { ScoredTarget } from "@pimentospring/core/steering/targetSelector";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { TargetResponse } from "../../targets/targetResponse.js";
import { createWarmStatistics } from "../warmStatistics.js";

const service = toServiceId("tokens");
const attemptAt = (id: string, region: string, objectId: string): Attempt<TargetResponse> =>
    ({
        job: { service, route: { isSticky: true, prefix: "/" }, request: { objectId } },
        target: { record: { id: toTargetId(id), region: toRegionId(region) } },
    }) as Attempt<TargetResponse>;
const choice = (isWarm: boolean, isFirstRun: boolean): ScoredTarget => ({ isWarm, isFirstRun }) as ScoredTarget;

test("the counts name the warm share by region, the hottest object and target, and the copies added", () => {
    const statistics = createWarmStatistics();
    const popular = attemptAt("t1", "jhb", "popular");
    assert.equal(statistics.recordStart(popular, choice(false, true)), false);
    assert.equal(statistics.recordStart(popular, choice(true, false)), false);
    assert.equal(statistics.recordStart(attemptAt("t2", "dbn", "popular"), choice(false, false)), true);
    statistics.recordStart(attemptAt("t1", "jhb", "other"), choice(false, true));
    statistics.recordRun(popular, true);
    statistics.recordRun(popular, false);
    statistics.recordRun(attemptAt("t2", "dbn", "popular"), true);
    const { warmShares, hottestObject, hottestTarget, copiesAdded } = statistics.takeCounts(service);
    assert.deepEqual(warmShares, { jhb: 0.5, dbn: 1 });
    assert.match(hottestObject!.name, /^[0-9a-f]{8}$/);
    assert.deepEqual([hottestObject!.share, hottestTarget, copiesAdded], [0.75, { name: "t1", share: 0.75 }, 1]);
    assert.equal(statistics.takeCounts(service).hottestObject, undefined);
});

test("objects that a caller makes up do not grow the counts without bound", () => {
    const statistics = createWarmStatistics();
    for (let index = 0; index < 20_000; index++) {
        statistics.recordStart(attemptAt("t1", "jhb", "usual"), choice(true, false));
        statistics.recordStart(attemptAt("t1", "jhb", `new-${index}`), choice(false, true));
    }
    assert.equal(statistics.takeCounts(service).hottestObject!.share, 0.5);
});
