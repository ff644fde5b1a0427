/**
 * Passive health checking and outlier ejection. A failed connection makes a target suspect until a health check
 * succeeds; a target that fails many requests is ejected for a while, as long as most targets of its service stay in
 * use.
 */
import type { Fingerprint } from "../ids.js";
import type { Random } from "../random/random.js";
import { type CrashCausesOptions, createCrashCauses } from "./crashCauses.js";
import type { ResponseHead, SteeringRequest } from "./job.js";
import { recordLoadReport, recordRequestOutcome, type Target } from "./target.js";
import { targetIncarnationOf, type TargetNotice } from "./targetRecord.js";
import type { TargetRegistry } from "./targetRegistry.js";

/** Result of a health check. */
export interface HealthCheckResult {
    /** Whether the target responded, with any status. */
    readonly isReached: boolean;
    /** Whether the response came from the expected target. */
    readonly isExpectedTarget: boolean;
    readonly isHealthy: boolean;
    readonly coldMs: number | undefined;
    readonly load: ResponseHead["load"];
    readonly notice: TargetNotice;
}

export interface TargetHealth {
    recordResponse(target: Target, head: ResponseHead, isServed: boolean): void;
    /** Records what the target says of its own availability, in any of its responses. */
    recordNotice(target: Target, notice: TargetNotice): void;
    /** Records a failed connection; `request` is the one whose bytes the target may have received. */
    recordConnectionFailure(target: Target, request: SteeringRequest | undefined): void;
    /** Records that a request timed out without a response; `request` as for a failed connection. */
    recordTimeout(target: Target, request: SteeringRequest | undefined): void;
    recordHealthCheck(target: Target, result: HealthCheckResult): void;
    /** Whether the request may have crashed a target that is being checked. */
    isPossibleCause(fingerprint: () => Fingerprint): boolean;
}

export interface TargetHealthOptions extends CrashCausesOptions {
    readonly random: Random;
    readonly registry: TargetRegistry;
    /** Starts a health check; its result goes to `recordHealthCheck`. */
    readonly startHealthCheck: (target: Target) => void;
    readonly onChanged: (
        target: Target,
        change: "suspect" | "cleared" | "ejected" | "misdirected" | "paused",
        reason: string,
    ) => void;
    /** A target can be used again. */
    readonly onRecovered: () => void;
}

/** Failure rate above which a target is ejected. */
const ejectionFailureRate = 0.4;
/**
 * By how much its failure rate must exceed the mean of the service's other targets in the data centre. When all of them
 * fail alike, an ejection only moves their requests to targets that have not cached the objects.
 */
const minFailureRateExcess = 0.3;
const ejectionMs = 1_500;
/** Maximum fraction of a service's targets in a data centre that may be ejected at once. */
const maxEjectedFraction = 0.34;
/** Interval between health checks of a suspect target. */
const checkIntervalMs = 500;
/** Longest pause that a target may ask for, so that a wrong time does not take it out of use for good. */
const maxPauseMs = 60_000;
/** Targets that asked for the same pause are used again within this part of it. */
const pauseSpreadRatio = 0.1;
const maxPauseSpreadMs = 300;
/** Time after a failed connection during which at-most-once requests use new connections to the target. */
const noConnectionReuseMs = 15_000;

export function createTargetHealth(options: TargetHealthOptions): TargetHealth {
    const { timer, random, registry, onChanged } = options;
    const causes = createCrashCauses(options);
    const startCheck = (target: Target): void => {
        causes.recordCheckStarted(target);
        options.startHealthCheck(target);
    };
    const addCause = (target: Target, request: SteeringRequest | undefined): void => {
        if (request === undefined) {
            return;
        }
        causes.add(target, request);
        if (target.isRemoved) {
            startCheck(target);
        }
    };

    const markSuspect = (target: Target, reason: string): void => {
        if (target.isSuspect || target.isRemoved) {
            return;
        }
        target.isSuspect = true;
        onChanged(target, "suspect", reason);
        checkAfter(target, 0);
    };
    const mayEject = (target: Target): boolean => {
        const peers = registry.targetsIn(target.record.service, target.record.dataCentre);
        const unavailable = peers.filter(peer => peer.ejectedUntil > timer.now() || peer.isSuspect).length;
        return unavailable + 1 <= Math.max(1, Math.floor(maxEjectedFraction * peers.length)) && peers.length > 1;
    };
    /** Load pattern: many targets refuse or fail part of their requests at once, for seconds. */
    const isOutlier = (target: Target): boolean => {
        const others = registry.targetsIn(target.record.service, target.record.dataCentre).filter(other => other !== target);
        const meanRate = others.reduce((sum, other) => sum + other.failureRate, 0) / Math.max(1, others.length);
        return target.failureRate > Math.max(ejectionFailureRate, meanRate + minFailureRateExcess);
    };
    const ejectIfFailing = (target: Target): void => {
        if (target.ejectedUntil <= timer.now() && isOutlier(target) && mayEject(target)) {
            target.ejectedUntil = timer.now() + ejectionMs;
            target.failureRate = ejectionFailureRate * 0.8;
            onChanged(target, "ejected", "too many requests failed");
        }
    };
    /** Targets that named the same time are used again one after the other. */
    const pause = (target: Target, requestedMs: number): void => {
        const pauseMs = Math.min(requestedMs, maxPauseMs);
        const spreadMs = Math.min(maxPauseSpreadMs, pauseMs * pauseSpreadRatio) * random.next();
        const until = timer.now() + pauseMs + spreadMs;
        if (until <= target.pausedUntil) {
            return;
        }
        target.pausedUntil = until;
        onChanged(target, "paused", `it wants no requests for ${Math.round(requestedMs)} ms`);
        timer.after(until - timer.now(), options.onRecovered);
    };
    const checkAfter = (target: Target, delayMs: number): void => {
        const waitMs = Math.max(delayMs, target.pausedUntil - timer.now());
        if (waitMs <= 0) {
            startCheck(target);
            return;
        }
        timer.after(waitMs, () => target.isRemoved ? causes.drop(target, "removed") : checkAfter(target, 0));
    };
    const recordNotice = (target: Target, { isLeaving, pauseMs }: TargetNotice): void => {
        if (isLeaving) {
            registry.markLeaving(targetIncarnationOf(target.record));
        }
        if (pauseMs !== undefined) {
            pause(target, pauseMs);
        }
    };
    return {
        recordNotice,
        isPossibleCause: causes.isPossibleCause,
        recordResponse: (target, head, isServed) => {
            // A target that asks for a pause or leaves is neither slow nor faulty.
            if (head.notice.pauseMs === undefined) {
                recordRequestOutcome(target, !isServed || head.status >= 500);
            }
            if (head.isMisdirected) {
                registry.retire(target);
                onChanged(target, "misdirected", "another target has its address");
            }
            ejectIfFailing(target);
        },
        recordConnectionFailure: (target, request) => {
            target.noConnectionReuseUntil = timer.now() + noConnectionReuseMs;
            addCause(target, request);
            markSuspect(target, "a connection failed");
            ejectIfFailing(target);
        },
        recordTimeout: (target, request) => {
            recordRequestOutcome(target, true);
            addCause(target, request);
            target.noConnectionReuseUntil = timer.now() + noConnectionReuseMs;
            // Long-running work is more common than a dead target: the target stays in use until a health check fails.
            if (!target.isSuspect && !target.isRemoved) {
                checkAfter(target, 0);
            }
        },
        recordHealthCheck: (target, result) => {
            if (!result.isReached) {
                causes.confirmDeath(target);
            }
            if (target.isRemoved) {
                causes.drop(target, "removed");
                options.onRecovered();
                return;
            }
            if (result.isReached && !result.isExpectedTarget) {
                causes.drop(target, "misdirected");
                registry.retire(target);
                onChanged(target, "misdirected", "another target has its address");
                return;
            }
            const needsOtherCheck = result.isReached && causes.recordAlive(target);
            recordNotice(target, result.notice);
            if (result.coldMs !== undefined) {
                target.coldUntil = timer.now() + result.coldMs;
            }
            if (result.load !== undefined) {
                recordLoadReport(target, result.load, timer.now());
            }
            if (!target.isSuspect) {
                if (!result.isReached) {
                    markSuspect(target, "a request and a health check had no response");
                }
                else if (needsOtherCheck) {
                    checkAfter(target, 0);
                }
                options.onRecovered();
                return;
            }
            if (!result.isReached || !result.isHealthy || needsOtherCheck) {
                checkAfter(target, needsOtherCheck ? 0 : checkIntervalMs * (0.8 + 0.4 * random.next()));
                options.onRecovered();
                return;
            }
            target.isSuspect = false;
            onChanged(target, "cleared", "a health check succeeded");
            options.onRecovered();
        },
    };
}
