/** The promises of the product, each judged on what callers and targets saw. */
import { answerText, type RequestRun } from "@pimentospring/standin/direct/targetStandin";
import { type AttemptOutcome, isUndisturbed, prefixOf, type SoakRecord, type Violation } from "./records.js";

export type PromiseCheck = (record: SoakRecord) => readonly Violation[];

const violation = (promise: string, text: string): Violation => ({ promise, text });

function runsByRequest(record: SoakRecord): ReadonlyMap<string, readonly RequestRun[]> {
    const runs = new Map<string, RequestRun[]>();
    for (const run of record.runs) {
        const list = runs.get(run.request);
        if (list === undefined) {
            runs.set(run.request, [run]);
        }
        else {
            list.push(run);
        }
    }
    return runs;
}

/** Work that is not idempotent runs once at most. */
export const checkAtMostOnce: PromiseCheck = record => {
    const runs = runsByRequest(record);
    return record.outcomes.filter(outcome => !outcome.isIdempotent && (runs.get(outcome.request)?.length ?? 0) > 1)
        .map(outcome => violation("once", `${outcome.request} ran ${runs.get(outcome.request)!.length} times`));
};

const notRunStatuses = [408, 421, 429, 503];

/** What is answered "not run" has not run and never does. */
export const checkRefusedNeverRuns: PromiseCheck = record => {
    const runs = runsByRequest(record);
    return record.outcomes.filter(({ status, request, isIdempotent }) =>
        !isIdempotent && status !== undefined && notRunStatuses.includes(status) && runs.has(request)
    ).map(outcome => violation("refusedIsNotRun", `${outcome.request} was answered ${outcome.status} and ran`));
};

/** A refusal says when to come back. */
export const checkRefusalsHaveRetryAfter: PromiseCheck = record =>
    record.outcomes.filter(({ status, retryAfterMs }) => status === 503 && !(retryAfterMs !== undefined && retryAfterMs > 0))
        .map(outcome => violation("refusalsSayWhen", `${outcome.request} was refused without a time`));

/** A success is the whole, signed answer to that request, from a target that ran it. */
export const checkAnswersMatchRequests: PromiseCheck = record => {
    const runs = runsByRequest(record);
    return record.outcomes.filter(({ status }) => status === 200).filter(outcome => {
        const targets = (runs.get(outcome.request) ?? []).map(run => run.target);
        return !outcome.isSigned || !targets.some(target => outcome.text === answerText(target, outcome.request));
    }).map(outcome => violation("ownAnswers", `${outcome.request} got "${outcome.text.slice(0, 80)}"`));
};

/** Nothing runs that no caller sent, or with another path. */
export const checkOnlySentRequestsRun: PromiseCheck = record => {
    const sent = new Map(record.outcomes.map(outcome => [outcome.request, outcome.path]));
    return record.runs.filter(run => sent.get(run.request) !== run.path)
        .map(run => violation("asked", `${run.target} ran ${run.request} as ${run.path}`));
};

/** Work runs only at services to which some configuration sends it. */
export const checkRunsFollowRoutes: PromiseCheck = record => {
    const allowed = new Map<string, Set<string>>();
    for (const { services } of record.versions) {
        for (const [prefix, names] of Object.entries(services)) {
            allowed.set(prefix, new Set([...(allowed.get(prefix) ?? []), ...names]));
        }
    }
    return record.runs.filter(run => allowed.get(prefixOf(run.path))?.has(run.service) !== true)
        .map(run => violation("routed", `${run.request} ran at ${run.service} as ${run.path}`));
};

const drainMs = 2_500;

/** A leaving target gets nothing from calm daemons that callers sent later than the bound. */
export const checkLeavingTargetsDrain: PromiseCheck = record => {
    const sent = new Map(record.outcomes.map(outcome => [outcome.request, outcome]));
    return record.leavings.flatMap(leaving =>
        record.runs.filter(run => {
            const outcome = sent.get(run.request);
            return run.target === leaving.target && outcome !== undefined && outcome.sentAt > leaving.at + drainMs
                && isUndisturbed(record, outcome.daemon, leaving.at, run.at);
        }).map(run =>
            violation("drained", `${run.target} ran ${run.request} ${Math.round(run.at - leaving.at)} ms after it left`)
        )
    );
};

const applyMs = 2_500;

/** A calm daemon knows a route that was added longer ago than the bound. */
export const checkNewRoutesApplied: PromiseCheck = record =>
    record.versions.flatMap(version =>
        record.outcomes.filter(outcome =>
            outcome.path === versionProbePath(version.version) && outcome.status === 404
            && outcome.sentAt > version.writtenAt + applyMs && isStillThere(record, version.version, outcome)
            && isUndisturbed(record, outcome.daemon, version.writtenAt, outcome.endedAt)
        ).map(outcome =>
            violation(
                "applied",
                `${outcome.daemon} does not know version ${version.version} after ${since(version.writtenAt, outcome)}`,
            )
        )
    );

const rollbackMs = 250;

/** A run of a daemon never goes back to an older configuration. */
export const checkConfigurationNeverReverts: PromiseCheck = record =>
    record.outcomes.filter(isProbe).filter(late =>
        record.outcomes.filter(isProbe).some(early =>
            early.daemon === late.daemon && early.daemonRun === late.daemonRun && early.endedAt + rollbackMs < late.sentAt
            && isServedVersion(early) && late.status === 404 && versionOf(early) >= versionOf(late)
            && versionOf(late) > versionOf(early) - retainedVersionCount
            && isStillThere(record, versionOf(late), late)
        )
    ).map(outcome => violation("forward", `${outcome.daemon} forgot version ${versionOf(outcome)}`));

/** Versions whose route stands in a configuration. */
export const retainedVersionCount = 3;
export const versionProbePath = (version: number): string => `/version-${version}/probe`;
const versionPattern = /^\/version-(\d+)\//;
const isProbe = (outcome: AttemptOutcome): boolean => versionPattern.test(outcome.path);
const versionOf = (outcome: AttemptOutcome): number => Number(versionPattern.exec(outcome.path)![1]);
const isServedVersion = (outcome: AttemptOutcome): boolean =>
    outcome.status !== undefined && outcome.status !== 404 && !notRunStatuses.includes(outcome.status);
const since = (at: number, outcome: AttemptOutcome): string => `${Math.round(outcome.sentAt - at)} ms`;
const isStillThere = (record: SoakRecord, version: number, outcome: AttemptOutcome): boolean =>
    !record.versions.some(next =>
        next.writtenAt < outcome.endedAt && !Object.keys(next.services).includes(prefixOf(versionProbePath(version)))
        && next.version > version
    );

const lateMs = 500;
const fewestLate = 8;

/** At calm daemons, most requests that reach their route's timeout have their answer soon after it. */
export const checkAnsweredInTime: PromiseCheck = record => {
    const calm = record.outcomes.filter(outcome => isUndisturbed(record, outcome.daemon, outcome.sentAt, outcome.endedAt));
    const overdue = calm.filter(outcome => outcome.endedAt - outcome.sentAt >= outcome.timeoutMs - 20);
    const late = overdue.filter(outcome => outcome.endedAt - outcome.sentAt > outcome.timeoutMs + lateMs);
    return late.length >= fewestLate && late.length > overdue.length / 4
        ? [violation("answeredInTime", `${late.length} of ${overdue.length} had no answer ${lateMs} ms after their timeout`)]
        : [];
};

const budgetWindowMs = 10_000;
const budgetRatio = 0.2;

/** Over all daemons, repeats stay within the budget that they share. */
export function createRetryBudgetCheck(slack: number): PromiseCheck {
    return record => {
        const seen = new Set<string>();
        const repeats: RequestRun[] = [];
        for (const run of [...record.runs].sort((a, b) => a.at - b.at)) {
            if (seen.has(run.request)) {
                repeats.push(run);
            }
            seen.add(run.request);
        }
        return repeats.filter(first => {
            const isWithin = (at: number, service?: string): boolean =>
                at >= first.at && at < first.at + budgetWindowMs && (service === undefined || service === first.service);
            const requests = record.outcomes.filter(outcome => isWithin(outcome.sentAt)).length;
            return repeats.filter(run => isWithin(run.at, run.service)).length > budgetRatio * requests + slack;
        }).slice(0, 1).map(run =>
            violation("withinBudget", `too many repeats at ${run.service} from ${Math.round(run.at)} ms on`)
        );
    };
}

const stopSpanMs = 7_000;

/** A stopping daemon answers what it passed on to a target, if nothing else disturbs it. */
export const checkStopsCleanly: PromiseCheck = record => {
    const runs = runsByRequest(record);
    return record.outcomes.filter(outcome =>
        outcome.status === undefined && !outcome.isAbandoned && runs.has(outcome.request)
        && record.stops.some(stop =>
            stop.daemon === outcome.daemon && stop.run === outcome.daemonRun && outcome.endedAt >= stop.at
            && outcome.endedAt < stop.at + stopSpanMs && outcome.sentAt < stop.at + 3_000
        )
        && isUndisturbed(record, outcome.daemon, outcome.sentAt, outcome.endedAt)
    ).map(outcome => violation("stoppedCleanly", `${outcome.request} was cut off by the stop of ${outcome.daemon}`));
};

const goneMs = 500;
const fewGone = 3;

/** After a caller has left, its request is not sent on any more. */
export const checkAbandonedNotSent: PromiseCheck = record => {
    const left = new Map(record.outcomes.filter(outcome => outcome.isAbandoned).map(outcome => [outcome.request, outcome]));
    const late = record.runs.filter(run => {
        const outcome = left.get(run.request);
        return outcome !== undefined && run.at > outcome.endedAt + goneMs
            && isUndisturbed(record, outcome.daemon, outcome.sentAt, run.at);
    });
    return late.length > fewGone ? [violation("forgotten", `${late.length} requests ran long after their callers had left`)] : [];
};

const recoveryMs = 4_000;
const servedAfterwards = 0.9;

/** Soon after the last fault, requests are served again. */
export const checkRecovery: PromiseCheck = record => {
    const after = record.outcomes.filter(outcome =>
        outcome.sentAt > record.calmFrom + recoveryMs && !isProbe(outcome) && !outcome.isAbandoned
    );
    const served = after.filter(outcome => outcome.status === 200).length;
    return served >= servedAfterwards * after.length && after.length > 0
        ? []
        : [violation("recovered", `${served} of ${after.length} requests were served ${recoveryMs} ms after the last fault`)];
};

export const createPromiseChecks = (retrySlack: number): Readonly<Record<string, PromiseCheck>> => ({
    once: checkAtMostOnce,
    refusedIsNotRun: checkRefusedNeverRuns,
    refusalsSayWhen: checkRefusalsHaveRetryAfter,
    ownAnswers: checkAnswersMatchRequests,
    asked: checkOnlySentRequestsRun,
    routed: checkRunsFollowRoutes,
    drained: checkLeavingTargetsDrain,
    applied: checkNewRoutesApplied,
    forward: checkConfigurationNeverReverts,
    answeredInTime: checkAnsweredInTime,
    withinBudget: createRetryBudgetCheck(retrySlack),
    stoppedCleanly: checkStopsCleanly,
    forgotten: checkAbandonedNotSent,
    recovered: checkRecovery,
});
