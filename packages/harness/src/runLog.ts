/** Event log of a simulation run, the only input of the invariant checks. */
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
        /** Requests in flight at the target, this one included. */
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
    | { readonly kind: "targetCrashed"; readonly at: number; readonly target: TargetId; readonly workId: string; }
    /** An operator ordered the target to drain. */
    | { readonly kind: "drainOrdered"; readonly at: number; readonly target: TargetId; }
    /** A caller received the reply to an attempt. */
    | {
        readonly kind: "callerReply";
        readonly at: number;
        readonly workId: string;
        readonly code: number;
        readonly outcome: Outcome;
        /** Work id of the answer; undefined for a refusal. */
        readonly answeredWorkId: string | undefined;
        /** Attempts of the caller so far, this one included. */
        readonly callerAttempts: number;
        readonly latencyMs: number;
    }
    /** The caller got no reply: the entry died, the connection broke, or the wait timed out. */
    | { readonly kind: "callerReplyLost"; readonly at: number; readonly workId: string; }
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
    /** A request was forwarded to a peer in another region. */
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
    append(event: RunEvent): void;
    events(): readonly RunEvent[];
    ofKind<Kind extends RunEvent["kind"]>(kind: Kind): RunEventOf<Kind>[];
}

export function createRunLog(): RunLog {
    const events: RunEvent[] = [];
    return {
        append: event => void events.push(event),
        events: () => events,
        ofKind: <Kind extends RunEvent["kind"]>(kind: Kind) =>
            events.filter((event): event is RunEventOf<Kind> => event.kind === kind),
    };
}
