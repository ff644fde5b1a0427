/** Checks of what is promised of the daemons' processes: they start, stay within their limits and end only when told. */
import { gracePeriodMs, processLimits } from "../cluster/deployment.js";
import type { DaemonRun, FaultSpan, PromiseCheck, SoakRecord } from "./records.js";

const nameOf = ({ daemon, number }: DaemonRun): string => `${daemon}, run ${number},`;

const isTooLarge = (run: DaemonRun): boolean => run.maxResidentMb > processLimits.memoryMb;

/** No process ends unless it was told to; one that exceeds its memory breaks `withinMemory` instead. */
export const checkEndsOnlyWhenTold: PromiseCheck = record =>
    record.daemonRuns.filter(run => run.endedAt !== undefined && run.toldToEndAt === undefined && !isTooLarge(run))
        .map(run => ({
            promise: "endsOnlyWhenTold",
            text: `${nameOf(run)} ended untold with ${run.exit}; its log ends: ${run.lastLines.join(" / ")}`,
        }));

/** No process exceeds the memory that its site allows. */
export const checkWithinMemory: PromiseCheck = record =>
    record.daemonRuns.filter(isTooLarge).map(run => ({
        promise: "withinMemory",
        text: `${nameOf(run)} had ${Math.round(run.maxResidentMb)} MB resident, ${processLimits.memoryMb} MB are allowed`,
    }));

const maxStartMs = 5_000;

/** The callers' listener answers within seconds of a start, or of the end of what kept the process from opening it. */
export const checkStarts: PromiseCheck = record =>
    record.daemonRuns.flatMap(run => {
        const until = freeToStartAt(record, run) + maxStartMs;
        const leftAt = Math.min(run.toldToEndAt ?? Infinity, run.endedAt ?? Infinity, record.endedAt);
        return (run.answeredAt ?? Infinity) <= until || leftAt <= until
            ? []
            : [{ promise: "starts", text: `${nameOf(run)} did not answer callers within ${maxStartMs} ms` }];
    });

/** When the last of the obstacles that follow on the start of a process, each within the time for a start, was over. */
function freeToStartAt(record: SoakRecord, run: DaemonRun): number {
    const pauses = record.disturbances.filter(({ kind }) => kind === "daemonPause");
    const predecessors = record.daemonRuns.filter(({ daemon, number }) => daemon === run.daemon && number < run.number)
        .map(({ startedAt, endedAt }) => ({ daemon: run.daemon, kind: "predecessor", from: startedAt, to: endedAt ?? Infinity }));
    const obstacles: readonly FaultSpan[] = [...record.obstacles, ...pauses, ...predecessors];
    let free = run.startedAt;
    for (const { daemon, from, to } of obstacles.toSorted((a, b) => a.from - b.from)) {
        if (daemon === run.daemon && from <= free + maxStartMs && to > free) {
            free = to;
        }
    }
    return free;
}

/** Time for which a process may seem to live on, as the soak is late to note its end. */
const endNoticeMs = 500;

/** A process that was told to stop, and neither killed nor paused, ends before a platform kills it. */
export const checkStopsInTime: PromiseCheck = record =>
    record.daemonRuns.flatMap(run => {
        const { stopRequestedAt: from = Infinity, endedAt = record.endedAt } = run;
        const isPaused = record.disturbances.some(span =>
            span.daemon === run.daemon && span.kind === "daemonPause" && span.from <= endedAt && span.to >= from
        );
        return endedAt - from <= gracePeriodMs + endNoticeMs || isPaused
            ? []
            : [{ promise: "stopsInTime", text: `${nameOf(run)} took ${Math.round(endedAt - from)} ms to stop` }];
    });
