/** Connects the poison list of an entry with its logs, its metrics and the other entries. */
import type { WorkspaceId } from "@pimentospring/core/ids";
import type { PoisonList, PoisonReport } from "@pimentospring/core/poison/poisonList";
import { createTokenBucket } from "@pimentospring/core/policy/budget";
import type { SteeringRequest } from "@pimentospring/core/steering/job";
import type { SteeringOptions } from "@pimentospring/core/steering/steering";
import { targetIncarnationOf } from "@pimentospring/core/steering/targetRecord";
import type { Timer } from "@pimentospring/core/time/timer";
import type { Log } from "@pimentospring/runtime/logs/log";
import { logEvents } from "@pimentospring/runtime/logs/logEvents";
import type { PoisonEvidence } from "../observe/metrics.js";

export interface PoisonReportingOptions {
    readonly timer: Timer;
    readonly poisonList: PoisonList;
    readonly log: Log;
    readonly recordEvidence: (event: PoisonEvidence, count: number) => void;
    /** Sends reports to all live entries. */
    readonly broadcast: (reports: readonly PoisonReport[]) => void;
    /** Called when a request may have become one that is refused. */
    readonly onRefusable: () => void;
}

export interface PoisonReporting {
    readonly onTargetDeath: SteeringOptions<unknown>["onTargetDeath"];
    readonly onCausesDropped: SteeringOptions<unknown>["onCausesDropped"];
    /** A request was served under which targets had died. */
    readonly onCleared: (request: SteeringRequest, cleared: readonly PoisonReport[]) => void;
    /** A request was refused on arrival. */
    readonly onRefused: (request: SteeringRequest, workspace: WorkspaceId | undefined) => void;
    /** Takes what another entry reports. */
    readonly receive: (reports: readonly PoisonReport[]) => void;
    /** Takes what a sender reports that is no known member, such as an entry that leaves. */
    readonly receiveUnconfirmed: (reports: readonly PoisonReport[]) => void;
}

/** Refusals beyond this rate are counted and not logged. */
const maxRefusalLinesPerSecond = 5;
const burstWindowMs = 1_000;

export function createPoisonReporting(options: PoisonReportingOptions): PoisonReporting {
    const { poisonList, log, recordEvidence, broadcast } = options;
    const lineBudget = createTokenBucket(options.timer, maxRefusalLinesPerSecond, burstWindowMs);
    /** That another request is cleared makes the evidence on those beside it stronger. */
    const announceRefusable = (reports: readonly PoisonReport[]): void => {
        if (reports.some(({ fingerprint, isCleared }) => isCleared || poisonList.isRefused(() => fingerprint))) {
            options.onRefusable();
        }
    };
    const recordReceived = (newReports: readonly PoisonReport[]): void => {
        if (newReports.length > 0) {
            recordEvidence("received", newReports.length);
            announceRefusable(newReports);
        }
    };
    return {
        onTargetDeath: (requests, { record }) => {
            const byFingerprint = new Map(requests.map(request => [request.fingerprint(), request]));
            const reports = poisonList.recordDeath(byFingerprint.keys(), targetIncarnationOf(record));
            for (const [fingerprint, request] of byFingerprint) {
                log.write(logEvents.poison, {
                    request: request.id,
                    fingerprint,
                    parts: request.describeFingerprint(),
                    deaths: poisonList.deathCount(fingerprint),
                    target: record.id,
                });
            }
            recordEvidence("counted", byFingerprint.size);
            broadcast(reports);
            announceRefusable(reports);
        },
        onCausesDropped: ({ record }, count, reason) => {
            log.write(logEvents.poisonNotCounted, { target: record.id, count, reason });
            recordEvidence(reason, count);
        },
        onCleared: (request, cleared) => {
            log.write(logEvents.poison, { request: request.id, fingerprint: request.fingerprint(), deaths: 0 });
            recordEvidence("cleared", cleared.length);
            broadcast(cleared);
        },
        onRefused: (request, workspace) => {
            const fingerprint = request.fingerprint();
            recordEvidence("refused", 1);
            if (lineBudget.take(1)) {
                log.write(logEvents.poisonRefused, {
                    request: request.id,
                    workspace,
                    fingerprint,
                    parts: request.describeFingerprint(),
                    deaths: poisonList.deathCount(fingerprint),
                });
            }
        },
        receive: reports => recordReceived(reports.filter(report => poisonList.recordReport(report))),
        receiveUnconfirmed: reports => recordReceived(reports.filter(report => poisonList.recordUnconfirmedReport(report))),
    };
}
