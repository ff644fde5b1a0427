/** Checks of the product's guarantees ("promises") against the record of what callers and targets observed. */
import { answerText } from "@pimentospring/standin/direct/targetAnswer";
import { crashMarker, longMarker, type RequestRun } from "@pimentospring/standin/direct/targetStandin";
import { gracePeriodMs } from "../cluster/deployment.js";
import { checkEndsOnlyWhenTold, checkStarts, checkStopsInTime, checkWithinMemory } from "./processPromises.js";
import {
    type AttemptOutcome,
    type FaultSpan,
    isItselfUndisturbed,
    isUndisturbed,
    prefixOf,
    type PromiseCheck,
    type SoakRecord,
    type Violation,
} from "./records.js";

const violation = (promise: string, text: string): Violation => ({ promise, text });

function groupBy<Item>(items: readonly Item[], keyOf: (item: Item) => string): ReadonlyMap<string, readonly Item[]> {
    const groups = new Map<string, Item[]>();
    for (const item of items) {
        const key = keyOf(item);
        const group = groups.get(key);
        if (group === undefined) {
            groups.set(key, [item]);
        }
        else {
            group.push(item);
        }
    }
    return groups;
}

const groupRunsByRequest = (record: SoakRecord): ReadonlyMap<string, readonly RequestRun[]> =>
    groupBy(record.runs, run => run.request);

/** A request that is not idempotent runs at most once. */
export const checkAtMostOnce: PromiseCheck = record => {
    const runs = groupRunsByRequest(record);
    return record.outcomes.filter(outcome => !outcome.isIdempotent && (runs.get(outcome.request)?.length ?? 0) > 1)
        .map(outcome => violation("once", `${outcome.request} ran ${runs.get(outcome.request)!.length} times`));
};

const notRunStatuses = [408, 421, 429, 503];

/** A request that was answered "not run" has not run and is not run later. */
export const checkRefusedNeverRuns: PromiseCheck = record => {
    const runs = groupRunsByRequest(record);
    return record.outcomes.filter(({ status, request, isIdempotent }) =>
        !isIdempotent && status !== undefined && notRunStatuses.includes(status) && runs.has(request)
    ).map(outcome => violation("refusedIsNotRun", `${outcome.request} was answered ${outcome.status} and ran`));
};

/** Every 503 carries a positive retry delay. */
export const checkRefusalsHaveRetryAfter: PromiseCheck = record =>
    record.outcomes.filter(({ status, retryAfterMs }) => status === 503 && !(retryAfterMs !== undefined && retryAfterMs > 0))
        .map(outcome => violation("refusalsSayWhen", `${outcome.request} was refused without a retry delay`));

/** A success is the complete, signed answer to that request, from a target that ran it. */
export const checkAnswersMatchRequests: PromiseCheck = record => {
    const runs = groupRunsByRequest(record);
    return record.outcomes.filter(({ status }) => status === 200).filter(outcome => {
        const targets = (runs.get(outcome.request) ?? []).map(run => run.target);
        return !outcome.isSigned || !targets.some(target => isWholeAnswer(outcome, target));
    }).map(({ request, text }) => violation("ownAnswers", `${request} got ${text.length} bytes: "${text.slice(0, shownBytes)}"`));
};

const shownBytes = 80;

/** Whether a text is a whole short answer, or a whole one of its length. */
const isWholeAnswer = ({ text, request }: AttemptOutcome, target: string): boolean =>
    text === answerText(target, request) || text === answerText(target, request, text.length);

/** Targets run only requests that a caller sent, with an unchanged path. */
export const checkOnlySentRequestsRun: PromiseCheck = record => {
    const sent = new Map(record.outcomes.map(outcome => [outcome.request, outcome.path]));
    return record.runs.filter(run => sent.get(run.request) !== run.path)
        .map(run => violation("asked", `${run.target} ran ${run.request} as ${run.path}`));
};

/** A request runs only at a service to which some configuration routes it. */
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

const maxDrainMs = 2_500;

/** A leaving target gets no request that was sent after the time limit, as far as the daemon was undisturbed. */
export const checkLeavingTargetsDrain: PromiseCheck = record => {
    const sent = new Map(record.outcomes.map(outcome => [outcome.request, outcome]));
    return record.leavings.flatMap(leaving =>
        record.runs.filter(run => {
            const outcome = sent.get(run.request);
            return run.target === leaving.target && outcome !== undefined && outcome.sentAt > leaving.at + maxDrainMs
                && isUndisturbed(record, outcome.daemon, leaving.at, run.at);
        }).map(run =>
            violation(
                "drained",
                `${run.target} ran ${run.request} ${Math.round(run.at - leaving.at)} ms after it was marked as leaving`,
            )
        )
    );
};

const toldSettlingMs = 500;

/** A daemon that has passed on an answer of a target that says it leaves sends it nothing more. */
export const checkToldDaemonsKeepAway: PromiseCheck = record => {
    const sent = new Map(record.outcomes.map(outcome => [outcome.request, outcome]));
    const runsOf = (target: string): readonly (RequestRun & { readonly outcome: AttemptOutcome; })[] =>
        record.runs.filter(run => run.target === target && sent.has(run.request))
            .map(run => ({ ...run, outcome: sent.get(run.request)! }));
    return record.notices.filter(({ kind }) => kind === "leaving").flatMap(({ target, at }) => {
        const runs = runsOf(target);
        const told = runs.filter(run => run.at > at && run.outcome.status === 200);
        return runs.filter(run =>
            told.some(({ outcome }) =>
                isSameProcess(outcome, run.outcome) && run.outcome.sentAt > outcome.endedAt + toldSettlingMs
            )
        ).map(run =>
            violation("told", `${target} ran ${run.request} from ${run.outcome.daemon} after it had said that it leaves`)
        );
    });
};

const isSameProcess = (a: AttemptOutcome, b: AttemptOutcome): boolean => a.daemon === b.daemon && a.daemonRun === b.daemonRun;

const pauseSettlingMs = 500;
const maxArrivalsInPause = 2;

/** A target that has turned a daemon away with a time gets at most two requests of it until then. */
export const checkPausesKept: PromiseCheck = record => {
    const sent = new Map(record.outcomes.map(outcome => [outcome.request, outcome]));
    return record.notices.filter(({ kind }) => kind === "pause").flatMap(({ target, at, until }) => {
        const arrivals = record.turnedAway.filter(turned => turned.target === target && turned.at >= at && turned.at < until);
        const processes = groupBy(arrivals, ({ request }) => {
            const outcome = sent.get(request);
            return outcome === undefined ? "unknown" : `${outcome.daemon} ${outcome.daemonRun}`;
        });
        return [...processes].filter(([, list]) =>
            list.filter(turned => turned.at > list[0]!.at + pauseSettlingMs).length > maxArrivalsInPause
        ).map(([process, list]) => violation("pauseKept", `${target} turned ${process} away ${list.length} times in one pause`));
    });
};

const maxApplyMs = 2_500;

/** An undisturbed daemon serves a new route within the time limit. */
export const checkNewRoutesApplied: PromiseCheck = record =>
    record.versions.flatMap(version =>
        record.outcomes.filter(outcome =>
            outcome.path === versionProbePath(version.version) && outcome.status === 404
            && outcome.sentAt > version.writtenAt + maxApplyMs && isStillConfigured(record, version.version, outcome)
            && isUndisturbed(record, outcome.daemon, version.writtenAt, outcome.endedAt)
        ).map(outcome =>
            violation(
                "applied",
                `${outcome.daemon} has no route of version ${version.version} after ${formatElapsed(version.writtenAt, outcome)}`,
            )
        )
    );

const isStoreFault = ({ kind }: FaultSpan): boolean => kind.startsWith("store") && !kind.startsWith("storeLink");

/** A daemon serves a new route soon after the store is back, whatever it waited for while the store was away. */
export const checkAppliedAfterReturn: PromiseCheck = record => {
    const outages = record.disturbances.filter(isStoreFault);
    return record.versions.flatMap(version =>
        record.outcomes.filter(outcome => {
            const isLost = outcome.path === versionProbePath(version.version) && outcome.status === 404
                && isStillConfigured(record, version.version, outcome);
            // What the store's outages do not excuse is checked as "applied".
            const isCalm = isUndisturbed(record, outcome.daemon, version.writtenAt, outcome.endedAt);
            if (!isLost || isCalm || outages.some(({ from, to }) => from <= outcome.sentAt && to >= outcome.sentAt)) {
                return false;
            }
            const ends = outages.filter(({ to }) => to < outcome.sentAt).map(({ to }) => to);
            const availableFrom = Math.max(version.writtenAt, ...ends);
            return outcome.sentAt > availableFrom + maxApplyMs
                && isItselfUndisturbed(record, outcome.daemon, availableFrom, outcome.endedAt);
        }).map(outcome =>
            violation(
                "appliedAfterReturn",
                `${outcome.daemon} has no route of version ${version.version} after ${formatElapsed(version.writtenAt, outcome)}`,
            )
        )
    );
};

const revertCheckDelayMs = 250;

/** A daemon process never returns to an older configuration. */
export const checkConfigurationNeverReverts: PromiseCheck = record =>
    record.outcomes.filter(isProbe).filter(late =>
        record.outcomes.filter(isProbe).some(early =>
            early.daemon === late.daemon && early.daemonRun === late.daemonRun && early.endedAt + revertCheckDelayMs < late.sentAt
            && isServed(early) && late.status === 404 && versionOf(early) >= versionOf(late)
            && versionOf(late) > versionOf(early) - retainedVersionCount
            && isStillConfigured(record, versionOf(late), late)
        )
    ).map(outcome => violation("forward", `${outcome.daemon} lost version ${versionOf(outcome)}`));

/** A configuration holds the probe routes of this many of the latest versions. */
export const retainedVersionCount = 3;
export const versionProbePath = (version: number): string => `/version-${version}/probe`;
const versionPattern = /^\/version-(\d+)\//;
const isProbe = (outcome: AttemptOutcome): boolean => versionPattern.test(outcome.path);
const versionOf = (outcome: AttemptOutcome): number => Number(versionPattern.exec(outcome.path)![1]);
const isServed = (outcome: AttemptOutcome): boolean =>
    outcome.status !== undefined && outcome.status !== 404 && !notRunStatuses.includes(outcome.status);
const formatElapsed = (at: number, outcome: AttemptOutcome): string => `${Math.round(outcome.sentAt - at)} ms`;
const isStillConfigured = (record: SoakRecord, version: number, outcome: AttemptOutcome): boolean =>
    !record.versions.some(next =>
        next.writtenAt < outcome.endedAt && !Object.keys(next.services).includes(prefixOf(versionProbePath(version)))
        && next.version > version
    );

const maxTimeoutOverrunMs = 500;
const minLateAnswers = 8;

/** At undisturbed daemons, most requests that reach their route's timeout are answered soon after it. */
export const checkAnsweredInTime: PromiseCheck = record => {
    const calm = record.outcomes.filter(outcome => isUndisturbed(record, outcome.daemon, outcome.sentAt, outcome.endedAt));
    const answeredAfterMs = ({ sentAt, begunAt, endedAt }: AttemptOutcome): number => (begunAt ?? endedAt) - sentAt;
    const overdue = calm.filter(outcome => answeredAfterMs(outcome) >= outcome.timeoutMs - 20);
    const late = overdue.filter(outcome => answeredAfterMs(outcome) > outcome.timeoutMs + maxTimeoutOverrunMs);
    return late.length >= minLateAnswers && late.length > overdue.length / 4
        ? [violation(
            "answeredInTime",
            `${late.length} of ${overdue.length} were still unanswered ${maxTimeoutOverrunMs} ms after their timeout`,
        )]
        : [];
};

/** An answer that has begun to arrive arrives whole, unless the daemon's process is killed or has to end before its caller. */
export const checkAnswersWhole: PromiseCheck = record =>
    record.outcomes.filter(outcome =>
        outcome.isCut && !outcome.isAbandoned && !isProcessDisturbed(record, outcome) && !isCutByStop(record, outcome)
    ).map(outcome => violation("whole", `${outcome.request} from ${outcome.daemon} was cut`));

/** Time before the end of the grace period in which a daemon may cut what its callers would read for longer. */
const stopMarginMs = 1_000;

const isCutByStop = ({ daemonRuns }: SoakRecord, { daemon, daemonRun, outlastsStop, isCut, endedAt }: AttemptOutcome): boolean =>
    outlastsStop && isCut
    && daemonRuns.some(run =>
        run.daemon === daemon && run.number === daemonRun &&
        endedAt >= (run.stopRequestedAt ?? Infinity) + gracePeriodMs - stopMarginMs
    );

const isProcessDisturbed = ({ disturbances }: SoakRecord, { daemon, sentAt, endedAt }: AttemptOutcome): boolean =>
    disturbances.some(span =>
        span.daemon === daemon && span.kind.startsWith("daemon") && span.from <= endedAt && span.to >= sentAt
    );

/** A daemon whose process runs on answers each request, whatever its targets, its connections and the store do. */
export const checkEachAnswered: PromiseCheck = record =>
    record.outcomes.filter(outcome =>
        outcome.status === undefined && !outcome.isAbandoned
        && outcome.endedAt - outcome.sentAt > outcome.timeoutMs + maxTimeoutOverrunMs
        && !isProcessDisturbed(record, outcome) && !isCutByStop(record, outcome)
    ).map(outcome => violation("answered", `${outcome.request} got no answer from ${outcome.daemon}`));

const budgetWindowMs = 10_000;
const budgetRatio = 0.2;

/** Over all daemons, repeated runs of a service's requests stay within the shared retry budget. */
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
            violation("withinBudget", `retry budget exceeded at ${run.service} from ${Math.round(run.at)} ms on`)
        );
    };
}

const stopWindowMs = 7_000;

/** A stopping daemon answers the requests that it sent to a target, unless another fault disturbs it. */
export const checkStopsCleanly: PromiseCheck = record => {
    const runs = groupRunsByRequest(record);
    return record.outcomes.filter(outcome =>
        outcome.status === undefined && !outcome.isAbandoned && runs.has(outcome.request) && !isCutByStop(record, outcome)
        && record.stops.some(stop =>
            stop.daemon === outcome.daemon && stop.run === outcome.daemonRun && outcome.endedAt >= stop.at
            && outcome.endedAt < stop.at + stopWindowMs && outcome.sentAt < stop.at + 3_000
        )
        && isUndisturbed(record, outcome.daemon, outcome.sentAt, outcome.endedAt)
    ).map(outcome => violation("stoppedCleanly", `${outcome.request} got no answer because of the stop of ${outcome.daemon}`));
};

const abandonGraceMs = 500;
const maxLateRuns = 3;

/** A request is not sent to a target after its caller has disconnected. */
export const checkAbandonedNotSent: PromiseCheck = record => {
    const abandoned = new Map(record.outcomes.filter(outcome => outcome.isAbandoned).map(outcome => [outcome.request, outcome]));
    const late = record.runs.filter(run => {
        const outcome = abandoned.get(run.request);
        return outcome !== undefined && run.at > outcome.endedAt + abandonGraceMs
            && isUndisturbed(record, outcome.daemon, outcome.sentAt, run.at);
    });
    return late.length > maxLateRuns
        ? [violation(
            "forgotten",
            `${late.length} requests ran more than ${abandonGraceMs} ms after their callers had disconnected`,
        )]
        : [];
};

const crashesBeforeRefusal = 3;
const refusalSettlingMs = 4_000;
const maxLateCrashRuns = 3;
const isCrashing = ({ path }: { readonly path: string; }): boolean => path.includes(crashMarker);

/** A request that has crashed three targets is soon not sent to others, also by daemons that have restarted. */
export const checkCrashingRequestsRefused: PromiseCheck = record => {
    const sent = new Map(record.outcomes.map(outcome => [outcome.request, outcome]));
    const thirdCrashAt = [...record.crashes].sort((a, b) => a - b)[crashesBeforeRefusal - 1] ?? Infinity;
    const late = record.runs.filter(run => {
        const outcome = sent.get(run.request);
        return isCrashing(run) && outcome !== undefined && outcome.sentAt > thirdCrashAt + refusalSettlingMs
            && isItselfUndisturbed(record, outcome.daemon, outcome.sentAt, run.at);
    });
    return late.length > maxLateCrashRuns
        ? [violation(
            "crashesEnd",
            `a request that had crashed three targets ran ${late.length} times more, ${record.crashes.length} crashed`,
        )]
        : [];
};

const maxRecoveryMs = 4_000;
const minServedRatio = 0.9;

/**
 * Most requests are served again soon after the last fault; in a run at the limits those with long answers don't count,
 * as a daemon that has no memory left for them refuses them.
 */
export const checkRecovery: PromiseCheck = record => {
    const after = record.outcomes.filter(outcome =>
        outcome.sentAt > record.calmFrom + maxRecoveryMs && !isProbe(outcome) && !outcome.isAbandoned
        && !isCrashing(outcome) && !(record.isAtLimits && outcome.path.includes(longMarker))
    );
    const served = after.filter(outcome => outcome.status === 200).length;
    return served >= minServedRatio * after.length && after.length > 0
        ? []
        : [violation("recovered", `${served} of ${after.length} requests were served ${maxRecoveryMs} ms after the last fault`)];
};

export const createPromiseChecks = (retrySlack: number): Readonly<Record<string, PromiseCheck>> => ({
    endsOnlyWhenTold: checkEndsOnlyWhenTold,
    withinMemory: checkWithinMemory,
    starts: checkStarts,
    stopsInTime: checkStopsInTime,
    once: checkAtMostOnce,
    refusedIsNotRun: checkRefusedNeverRuns,
    refusalsSayWhen: checkRefusalsHaveRetryAfter,
    ownAnswers: checkAnswersMatchRequests,
    asked: checkOnlySentRequestsRun,
    routed: checkRunsFollowRoutes,
    drained: checkLeavingTargetsDrain,
    told: checkToldDaemonsKeepAway,
    pauseKept: checkPausesKept,
    applied: checkNewRoutesApplied,
    appliedAfterReturn: checkAppliedAfterReturn,
    forward: checkConfigurationNeverReverts,
    answeredInTime: checkAnsweredInTime,
    answered: checkEachAnswered,
    whole: checkAnswersWhole,
    withinBudget: createRetryBudgetCheck(retrySlack),
    stoppedCleanly: checkStopsCleanly,
    forgotten: checkAbandonedNotSent,
    crashesEnd: checkCrashingRequestsRefused,
    recovered: checkRecovery,
});
