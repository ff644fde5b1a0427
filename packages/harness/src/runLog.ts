/** What happened in a run, row by row; the invariant checkers read it and nothing else. */
import type { InstanceId, RegionId, ServiceId, TargetId } from "@pimentospring/core/ids";
import type { Outcome } from "@pimentospring/core/results/resultCode";

export type RunEvent =
    | {
        readonly kind: "workStarted";
        readonly at: number;
        readonly workId: string;
        readonly isAtMostOnce: boolean;
        readonly target: TargetId;
        readonly entry: InstanceId;
        /** In flight at the target with this one, and its slots. */
        readonly inFlight: number;
        readonly slots: number;
    }
    | {
        readonly kind: "workEnded";
        readonly at: number;
        readonly workId: string;
        readonly target: TargetId;
        readonly isComplete: boolean;
    }
    | { readonly kind: "targetDied"; readonly at: number; readonly target: TargetId; readonly workId: string; }
    /** A target's state was ordered by the operators. */
    | { readonly kind: "drainOrdered"; readonly at: number; readonly target: TargetId; }
    /** An entry told a caller what became of its request. */
    | {
        readonly kind: "callerTold";
        readonly at: number;
        readonly workId: string;
        readonly code: number;
        readonly outcome: Outcome;
        /** Work that the answer belongs to; undefined for a refusal. */
        readonly answeredWorkId: string | undefined;
        /** Tries that the caller had made at entries, this one included. */
        readonly callerAttempts: number;
        readonly latencyMs: number;
    }
    /** The caller heard nothing: its entry died or was cut off. */
    | { readonly kind: "callerHeardNothing"; readonly at: number; readonly workId: string; }
    | {
        readonly kind: "callerDone";
        readonly at: number;
        readonly workId: string;
        readonly finalOutcome: "answered" | "notRun" | "unknown";
        readonly latencyMs: number;
        readonly loadClass: string;
    }
    | { readonly kind: "inForce"; readonly at: number; readonly entry: InstanceId; readonly revision: number; }
    | { readonly kind: "accepted"; readonly at: number; readonly revision: number; }
    /** A request was sent to a peer in another region. */
    | {
        readonly kind: "moved";
        readonly at: number;
        readonly service: ServiceId;
        readonly from: RegionId;
        readonly to: RegionId;
        readonly entry: InstanceId;
    };

export type RunEventOf<Kind extends RunEvent["kind"]> = Extract<RunEvent, { readonly kind: Kind; }>;

export interface RunLog {
    append(row: RunEvent): void;
    events(): readonly RunEvent[];
    ofKind<Kind extends RunEvent["kind"]>(kind: Kind): RunEventOf<Kind>[];
}

export function createRunLog(): RunLog {
    const rows: RunEvent[] = [];
    return {
        append: row => void rows.push(row),
        events: () => rows,
        ofKind: <Kind extends RunEvent["kind"]>(kind: Kind) => rows.filter((row): row is RunEventOf<Kind> => row.kind === kind),
    };
}
