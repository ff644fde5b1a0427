/** What a soak notes of its callers, targets and faults; promises are judged on it. Times are steady milliseconds. */
import type { RequestRun } from "@pimentospring/standin/direct/targetStandin";

/** How one attempt of a caller ended. */
export interface AttemptOutcome {
    readonly request: string;
    readonly path: string;
    readonly isIdempotent: boolean;
    readonly daemon: string;
    /** Run of the daemon's process that was up when it was sent. */
    readonly daemonRun: number;
    readonly sentAt: number;
    readonly endedAt: number;
    /** `undefined` when the connection failed. */
    readonly status: number | undefined;
    readonly text: string;
    readonly isSigned: boolean;
    readonly retryAfterMs: number | undefined;
    /** The caller left before the answer. */
    readonly isAbandoned: boolean;
    /** Longest time that the operator lets it go unanswered. */
    readonly timeoutMs: number;
}

/** A configuration that the operator wrote. */
export interface ConfigurationVersion {
    readonly version: number;
    readonly writtenAt: number;
    /** Services to which each prefix may go. */
    readonly services: Readonly<Record<string, readonly string[]>>;
}

/** A target that the store said is leaving or gone. */
export interface TargetDeparture {
    readonly target: string;
    readonly at: number;
}

/** A span in which a daemon, or everything at `"*"`, was disturbed. */
export interface FaultSpan {
    readonly daemon: string;
    readonly kind: string;
    readonly from: number;
    readonly to: number;
}

export interface SoakRecord {
    readonly outcomes: readonly AttemptOutcome[];
    readonly runs: readonly RequestRun[];
    readonly versions: readonly ConfigurationVersion[];
    readonly leavings: readonly TargetDeparture[];
    readonly disturbances: readonly FaultSpan[];
    /** SIGTERMs, by daemon and run. */
    readonly stops: readonly { readonly daemon: string; readonly run: number; readonly at: number; }[];
    /** Until when requests count. */
    readonly calmFrom: number;
    readonly endedAt: number;
}

/** A broken promise. */
export interface Violation {
    readonly promise: string;
    readonly text: string;
}

export const prefixOf = (path: string): string => path.slice(0, path.indexOf("/", 1) + 1);

/** Whether nothing disturbed the daemon from `settleMs` before `from` until `to`. */
export function isUndisturbed(record: SoakRecord, daemon: string, from: number, to: number): boolean {
    return !record.disturbances.some(span =>
        (span.daemon === daemon || span.daemon === "*") && span.from <= to && span.to >= from - settleMs
    );
}

const settleMs = 4_000;
