/** Invariant checks: each reads the event log of a run and returns the violations that it finds. */
import type { RunEvent, RunLog } from "./runLog.js";

export interface Violation {
    readonly invariant: string;
    readonly at: number;
    readonly message: string;
}

export type Invariant = (log: RunLog) => Violation[];

const violation = (invariant: string, event: RunEvent, message: string): Violation => ({
    invariant,
    at: event.at,
    message,
});

/** A target never runs more requests than it has slots. */
export const slotsNeverExceeded: Invariant = log =>
    log.ofKind("workStarted")
        .filter(row => row.inFlight > row.slots)
        .map(row =>
            violation(
                "slots",
                row,
                `${row.target} has ${row.inFlight} requests in flight for ${row.slots} slots, last from ${row.entry}`,
            )
        );

/** At-most-once work starts at most once. */
export const atMostOnce: Invariant = log => {
    const starts = new Map<string, number>();
    return log.ofKind("workStarted").filter(row => row.isAtMostOnce).flatMap(row => {
        const count = (starts.get(row.workId) ?? 0) + 1;
        starts.set(row.workId, count);
        return count > 1 ? [violation("at most once", row, `${row.workId} started ${count} times, last at ${row.target}`)] : [];
    });
};

/** An entry replies "not run" only for work that has not been started before. */
export const notRunNeverStarted: Invariant = log => {
    const started = new Set<string>();
    const violations: Violation[] = [];
    for (const row of log.events()) {
        if (row.kind === "workStarted" && row.isAtMostOnce) {
            started.add(row.workId);
        }
        if (row.kind === "callerReply" && row.outcome === "notRun" && started.has(row.workId)) {
            violations.push(violation("not run", row, `${row.workId} had started when its caller got ${row.code}`));
        }
    }
    return violations;
};

/** Every answer belongs to the request that it is sent for. */
export const answersMatchRequests: Invariant = log =>
    log.ofKind("callerReply")
        .filter(row => row.answeredWorkId !== undefined && row.answeredWorkId !== row.workId)
        .map(row => violation("own answer", row, `${row.workId} got the answer of ${row.answeredWorkId}`));

/** An entry never returns to an earlier revision or applies the same one twice. */
export const revisionsNeverRevert: Invariant = log => {
    const inForce = new Map<string, number>();
    return log.ofKind("inForce").flatMap(row => {
        const before = inForce.get(row.entry) ?? 0;
        inForce.set(row.entry, row.revision);
        return row.revision <= before
            ? [violation("never reverts", row, `${row.entry} went from ${before} to ${row.revision}`)]
            : [];
    });
};

/** Time after a drain order in which new work may still arrive. */
const drainGraceMs = 3_000;

/** A draining target gets no new work after the grace period. */
export const drainedTargetsGetNoWork: Invariant = log =>
    log.ofKind("drainOrdered").flatMap(order =>
        log.ofKind("workStarted")
            .filter(row => row.target === order.target && row.at > order.at + drainGraceMs)
            .map(row => violation("drain", row, `${row.target} got ${row.workId} ${row.at - order.at} ms after its drain`))
    );

/** One request crashes at most two targets. */
export const poisonCrashesAtMostTwoTargets: Invariant = log => {
    const deaths = new Map<string, number>();
    return log.ofKind("targetCrashed").filter(row => row.workId !== "").flatMap(row => {
        const count = (deaths.get(row.workId) ?? 0) + 1;
        deaths.set(row.workId, count);
        return count > 2 ? [violation("poison", row, `${row.workId} crashed ${count} targets`)] : [];
    });
};

export const invariants: readonly Invariant[] = [
    slotsNeverExceeded,
    atMostOnce,
    notRunNeverStarted,
    answersMatchRequests,
    revisionsNeverRevert,
    drainedTargetsGetNoWork,
    poisonCrashesAtMostTwoTargets,
];

export const findViolations = (log: RunLog): Violation[] => invariants.flatMap(invariant => invariant(log));
