/** Log lines and gauges on the quotas of workspaces: who is over it, and what this entry may admit. */
import type { WorkspaceId } from "@pimentospring/core/ids";
import type { KeyStatus, ReportedLimit } from "@pimentospring/core/limits/quotaLimit";
import type { QuotaStatus } from "@pimentospring/core/steering/steeringStatus";
import type { Timer } from "@pimentospring/core/time/timer";
import type { Log } from "@pimentospring/runtime/logs/log";
import { logEvents } from "@pimentospring/runtime/logs/logEvents";
import type { SteerMetrics } from "./metrics.js";

type QuotaUse = Pick<ReportedLimit<WorkspaceId>, "status" | "hasContact">;

export interface QuotaLogOptions {
    readonly timer: Timer;
    readonly log: Log;
    readonly quotaLimit: QuotaUse;
}

const logIntervalMs = 10_000;
/** Workspaces with the most use that are logged at a time, and that the status page shows. */
const maxLoggedWorkspaces = 5;
const maxShownWorkspaces = 100;

const byUse = (first: KeyStatus<WorkspaceId>, second: KeyStatus<WorkspaceId>): number => second.used - first.used;

const toQuotaStatus = ({ key, quota, used, groupLimit, share, isOverQuota }: KeyStatus<WorkspaceId>): QuotaStatus => ({
    workspace: key,
    ratePerSecond: quota.ratePerSecond,
    burst: quota.burst,
    used: Math.round(used),
    limit: Math.floor(groupLimit),
    share: Number(share.toFixed(1)),
    isOverQuota,
});

/** Use of the workspaces of which this entry had requests lately, those with the most use first. */
export const quotaStatuses = (quotaLimit: Pick<QuotaUse, "status">): QuotaStatus[] =>
    [...quotaLimit.status()].sort(byUse).slice(0, maxShownWorkspaces).map(toQuotaStatus);

/** Logs at an interval the workspaces that were refused requests because of their quotas. */
export function startQuotaLog({ timer, log, quotaLimit }: QuotaLogOptions): void {
    timer.subscribe(logIntervalMs, () => {
        const over = quotaStatuses(quotaLimit).filter(({ isOverQuota }) => isOverQuota);
        over.slice(0, maxLoggedWorkspaces).forEach(({ workspace, used, limit, share }) =>
            log.write(logEvents.overQuota, {
                workspace,
                used,
                limit,
                share,
                over: over.length,
                inContact: quotaLimit.hasContact(),
            })
        );
    });
}

export function registerQuotaGauges(metrics: SteerMetrics, quotaLimit: QuotaUse): void {
    const countOver = (): number => quotaLimit.status().filter(({ isOverQuota }) => isOverQuota).length;
    metrics.registerGauge("pimento_quota_over", "Workspaces refused by this entry in the last window for their quota", countOver);
    metrics.registerGauge(
        "pimento_quota_share",
        "Requests that this entry may admit now under the quotas of all workspaces seen lately",
        () => quotaLimit.status().reduce((sum, { share }) => sum + share, 0),
    );
    metrics.registerGauge(
        "pimento_quota_contact",
        "1 while reports on the use of quotas are exchanged with other entries, otherwise 0",
        () => (quotaLimit.hasContact() ? 1 : 0),
    );
}
