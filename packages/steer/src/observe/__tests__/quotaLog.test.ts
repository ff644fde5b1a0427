/** Log lines and status of quotas. */
import { toWorkspaceId, type WorkspaceId } from "@pimentospring/core/ids";
import type { KeyStatus } from "@pimentospring/core/limits/quotaLimit";
import { createVirtualTimer } from "@pimentospring/core/time/virtualTimer";
import type { Log } from "@pimentospring/runtime/logs/log";
import assert from "node:assert/strict";
import { test } from "node:test";
import { quotaStatuses, startQuotaLog } from "../quotaLog.js";

const useOf = (index: number): KeyStatus<WorkspaceId> => ({
    key: toWorkspaceId(`w${index}`),
    quota: { ratePerSecond: 10, burst: 10 },
    used: index + 0.4,
    groupLimit: 62.7,
    share: 1.23,
    isOverQuota: index % 2 === 0,
});

test("the lines name the workspaces over their quota that use the most, however many there are", () => {
    const timer = createVirtualTimer();
    const lines: unknown[] = [];
    const log = { write: (_: unknown, fields: unknown) => lines.push(fields) } as unknown as Log;
    const statuses = Array.from({ length: 300 }, (_, index) => useOf(index));
    startQuotaLog({ timer, log, quotaLimit: { status: () => statuses, hasContact: () => true } });
    timer.advance(10_000);
    assert.equal(lines.length, 5);
    assert.deepEqual(lines[0], { workspace: "w298", used: 298, limit: 62, share: 1.2, over: 50, inContact: true });
    assert.equal(quotaStatuses({ status: () => statuses }).length, 100);
});
