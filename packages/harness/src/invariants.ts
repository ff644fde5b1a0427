/** Checkers of what must always hold. Each reads a run's log and returns what it found broken. */
import type { RunEvent, RunLog } from "./runLog.js";

export interface Violation {
    readonly invariant: string;
    readonly at: number;
    readonly message: string;
}

export type Invariant = (log: RunLog) => Violation[];

const violation = (promise: string, row: RunEvent, text: string): Violation => ({
    invariant: promise,
    at: row.at,
    message: text,
});

/** No target is ever given more than its slots. */
export const slotsNeverExceeded: Invariant = log =>
    log.ofKind("workStarted")
        .filter(row => row.inFlight > row.slots)
        .map(row => violation("slots", row, `${row.target} got ${row.inFlight} of ${row.slots} by ${row.entry}`));

/** At-most-once work starts at most once. */
export const atMostOnce: Invariant = log => {
    const starts = new Map<string, number>();
    return log.ofKind("workStarted").filter(row => row.isAtMostOnce).flatMap(row => {
        const times = (starts.get(row.workId) ?? 0) + 1;
        starts.set(row.workId, times);
        return times > 1 ? [violation("at most once", row, `${row.workId} started ${times} times, now at ${row.target}`)] : [];
    });
};

/** "Not run" is only said of work that never started until then. */
export const notRunNeverStarted: Invariant = log => {
    const started = new Set<string>();
    const violations: Violation[] = [];
    for (const row of log.events()) {
        if (row.kind === "workStarted" && row.isAtMostOnce) {
            started.add(row.workId);
        }
        if (row.kind === "callerTold" && row.outcome === "notRun" && started.has(row.workId)) {
            violations.push(violation("not run", row, `${row.workId} had started when its caller was told ${row.code}`));
        }
    }
    return violations;
};

/** Every answer belongs to the request it is given to. */
export const answersMatchRequests: Invariant = log =>
    log.ofKind("callerTold")
        .filter(row => row.answeredWorkId !== undefined && row.answeredWorkId !== row.workId)
        .map(row => violation("own answer", row, `${row.workId} got the answer of ${row.answeredWorkId}`));

/** No entry goes back to an earlier revision. */
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

/** Time after a drain order in which new work may still arrive, in milliseconds. */
const drainGraceMs = 3_000;

/** A draining target gets no new work. */
export const drainedTargetsGetNoWork: Invariant = log =>
    log.ofKind("drainOrdered").flatMap(order =>
        log.ofKind("workStarted")
            .filter(row => row.target === order.target && row.at > order.at + drainGraceMs)
            .map(row => violation("drain", row, `${row.target} got ${row.workId} ${row.at - order.at} ms after its drain`))
    );

/** At most two targets die of one request. */
export const poisonCrashesAtMostTwoTargets: Invariant = log => {
    const deaths = new Map<string, number>();
    return log.ofKind("targetDied").filter(row => row.workId !== "").flatMap(row => {
        const count = (deaths.get(row.workId) ?? 0) + 1;
        deaths.set(row.workId, count);
        return count > 2 ? [violation("poison", row, `${row.workId} killed ${count} targets`)] : [];
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
