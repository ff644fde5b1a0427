/** Record of a soak run, the input of the promise checks. Times are monotonic, in milliseconds. */
import type { RequestRun, TurnedAway } from "@pimentospring/standin/direct/targetStandin";

/** Result of one attempt of a caller. */
export interface AttemptOutcome {
    readonly request: string;
    readonly path: string;
    readonly isIdempotent: boolean;
    readonly daemon: string;
    /** Incarnation of the daemon's process to which the request was sent. */
    readonly daemonRun: number;
    readonly sentAt: number;
    readonly endedAt: number;
    /** When the answer began to arrive; a slow caller may read it for long. */
    readonly begunAt: number | undefined;
    /** `undefined` when the connection failed. */
    readonly status: number | undefined;
    readonly text: string;
    readonly isSigned: boolean;
    readonly retryAfterMs: number | undefined;
    /** The caller disconnected before the answer. */
    readonly isAbandoned: boolean;
    /** The answer began to arrive and broke off. */
    readonly isCut: boolean;
    /** The caller reads a long answer so slowly that a stopping daemon has to end before its end. */
    readonly outlastsStop: boolean;
    /** Time limit for the answer: the route's timeout or the remaining deadline. */
    readonly timeoutMs: number;
}

/** A configuration written by the operator. */
export interface ConfigurationVersion {
    readonly version: number;
    readonly writtenAt: number;
    /** Services to which each path prefix is routed. */
    readonly services: Readonly<Record<string, readonly string[]>>;
}

/** A target that was marked as leaving in the store. */
export interface TargetDeparture {
    readonly target: string;
    readonly at: number;
}

/** A target that says in its responses that it leaves, or asks for a pause up to `until`. */
export interface TargetNoticeSpan {
    readonly kind: "leaving" | "pause";
    readonly target: string;
    readonly at: number;
    readonly until: number;
}

/** A time span in which a fault disturbed one daemon, or all of them if `daemon` is `"*"`. */
export interface FaultSpan {
    readonly daemon: string;
    readonly kind: string;
    readonly from: number;
    readonly to: number;
}

/** One process of a daemon. */
export interface DaemonRun {
    readonly daemon: string;
    readonly number: number;
    readonly startedAt: number;
    endedAt: number | undefined;
    /** Exit code or signal. */
    exit: string | undefined;
    /** The last lines of its log. */
    lastLines: readonly string[];
    /** When the soak first sent a signal that may end it. */
    toldToEndAt: number | undefined;
    /** When the soak first sent a signal that makes it finish its requests and end. */
    stopRequestedAt: number | undefined;
    /** When its callers' listener first answered, with no earlier process left. */
    answeredAt: number | undefined;
    /** Largest resident size, in millions of bytes. */
    maxResidentMb: number;
}

export interface SoakRecord {
    readonly outcomes: readonly AttemptOutcome[];
    readonly runs: readonly RequestRun[];
    readonly versions: readonly ConfigurationVersion[];
    readonly leavings: readonly TargetDeparture[];
    readonly notices: readonly TargetNoticeSpan[];
    /** Times at which the request that crashes targets did so. */
    readonly crashes: readonly number[];
    /** Requests that targets turned away with the time of a pause. */
    readonly turnedAway: readonly TurnedAway[];
    readonly disturbances: readonly FaultSpan[];
    readonly daemonRuns: readonly DaemonRun[];
    /** Time spans in which a daemon can't start, as its callers' port is in use or its settings file is not whole. */
    readonly obstacles: readonly FaultSpan[];
    /** Times at which SIGTERM or SIGINT was sent, with the daemon and the incarnation of its process. */
    readonly stops: readonly { readonly daemon: string; readonly run: number; readonly at: number; }[];
    /** Whether some callers read long answers more slowly than a daemon's memory bears. */
    readonly isAtLimits: boolean;
    /** End of the fault phase. */
    readonly calmFrom: number;
    readonly endedAt: number;
}

/** A broken promise and how it showed. */
export interface Violation {
    readonly promise: string;
    readonly text: string;
}

export type PromiseCheck = (record: SoakRecord) => readonly Violation[];

export const prefixOf = (path: string): string => path.slice(0, path.indexOf("/", 1) + 1);

/** Whether no fault disturbed the daemon from `settlingMs` before `from` until `to`. */
export function isUndisturbed(record: SoakRecord, daemon: string, from: number, to: number): boolean {
    return !record.disturbances.some(span =>
        (span.daemon === daemon || span.daemon === "*") && span.from <= to && span.to >= from - settlingMs
    );
}

/** Whether no fault of the daemon itself or of its connections disturbed it, whatever happened to others. */
export const isItselfUndisturbed = (record: SoakRecord, daemon: string, from: number, to: number): boolean =>
    !record.disturbances.some(span => span.daemon === daemon && span.from <= to && span.to >= from - settlingMs);

const settlingMs = 4_000;
