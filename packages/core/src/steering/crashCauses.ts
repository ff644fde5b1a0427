/**
 * Requests whose connections to a target broke, or that had no response in time, until a health check shows whether the
 * target died. A check decides only on what happened before it began, and a response that was on its way proves nothing.
 */
import type { Fingerprint } from "../ids.js";
import type { Timer } from "../time/timer.js";
import type { SteeringRequest } from "./job.js";
import type { Target } from "./target.js";

/** Why requests are not counted as a cause of a target's death. */
export type DropReason = "reached" | "leaving" | "removed" | "misdirected";

export interface CrashCauses {
    /** Records a request that the target may have been running when it stopped to respond. */
    add(target: Target, request: SteeringRequest): void;
    recordCheckStarted(target: Target): void;
    /** The target did not respond to the check: it is dead. */
    confirmDeath(target: Target): void;
    /** The target responded. Returns whether requests have been added since the check began, so that another is needed. */
    recordAlive(target: Target): boolean;
    drop(target: Target, reason: DropReason): void;
    /** Whether the request is a possible cause that a check has yet to confirm. */
    isPossibleCause(fingerprint: () => Fingerprint): boolean;
}

export interface CrashCausesOptions {
    readonly timer: Timer;
    /** A target died while it ran the requests. */
    readonly onTargetDeath: (requests: readonly SteeringRequest[], target: Target) => void;
    readonly onCausesDropped: (target: Target, count: number, reason: DropReason) => void;
}

interface Cause {
    readonly request: SteeringRequest;
    readonly at: number;
}

/** Longer than it takes to be refused by a crashed target of another region; a slow check does not hold requests back. */
const maxHoldMs = 150;

export function createCrashCauses(options: CrashCausesOptions): CrashCauses {
    const { timer } = options;
    const causes = new Map<Target, Cause[]>();
    const checkStartedAt = new WeakMap<Target, number>();
    const deadTargets = new WeakSet<Target>();

    const report = (target: Target, requests: readonly SteeringRequest[]): void => {
        // A target that leaves ends its connections without having crashed.
        if (target.isLeaving || target.record.isDraining) {
            options.onCausesDropped(target, requests.length, "leaving");
            return;
        }
        options.onTargetDeath(requests, target);
    };
    const take = (target: Target): readonly Cause[] => {
        const taken = causes.get(target) ?? [];
        causes.delete(target);
        return taken;
    };
    const drop = (target: Target, reason: DropReason): void => {
        const { length } = take(target);
        if (length > 0) {
            options.onCausesDropped(target, length, reason);
        }
    };
    return {
        add: (target, request) => {
            if (deadTargets.has(target)) {
                report(target, [request]);
                return;
            }
            const known = causes.get(target);
            const cause = { request, at: timer.now() };
            if (known === undefined) {
                causes.set(target, [cause]);
            }
            else {
                known.push(cause);
            }
        },
        recordCheckStarted: target => void checkStartedAt.set(target, timer.now()),
        confirmDeath: target => {
            deadTargets.add(target);
            const requests = take(target).map(({ request }) => request);
            if (requests.length > 0) {
                report(target, requests);
            }
        },
        recordAlive: target => {
            deadTargets.delete(target);
            const startedAt = checkStartedAt.get(target) ?? timer.now();
            const later = (causes.get(target) ?? []).filter(({ at }) => at > startedAt);
            const settledCount = (causes.get(target)?.length ?? 0) - later.length;
            if (settledCount > 0) {
                options.onCausesDropped(target, settledCount, "reached");
            }
            if (later.length === 0) {
                causes.delete(target);
                return false;
            }
            causes.set(target, later);
            return true;
        },
        drop,
        isPossibleCause: fingerprint => {
            for (const list of causes.values()) {
                if (list.some(({ request, at }) => timer.now() - at < maxHoldMs && request.fingerprint() === fingerprint())) {
                    return true;
                }
            }
            return false;
        },
    };
}
