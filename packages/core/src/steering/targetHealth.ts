/**
 * Judges targets by what happens to requests. A broken connection makes a target suspect until a health answer clears
 * it; a target that fails many requests is left out for a while, as long as most of its service stays in use.
 */
import type { Fingerprint } from "../ids.js";
import type { Random } from "../random/random.js";
import type { Timer } from "../time/timer.js";
import type { ResponseHead } from "./job.js";
import { recordLoadReport, recordRequestOutcome, type Target } from "./target.js";
import type { TargetRegistry } from "./targetRegistry.js";

/** What a health check found. */
export interface HealthCheckResult {
    /** Whether the target itself answered, with whatever status. */
    readonly isReached: boolean;
    /** Whether the answer came from the target that was expected. */
    readonly isExpectedTarget: boolean;
    readonly isHealthy: boolean;
    readonly coldMs: number | undefined;
    readonly load: ResponseHead["load"];
}

export interface TargetHealth {
    recordResponse(target: Target, head: ResponseHead, isServed: boolean): void;
    /** A connection broke; with the fingerprint of the request whose bytes it may have had. */
    recordConnectionFailure(target: Target, fingerprint: Fingerprint | undefined): void;
    /** A request had no answer until its time was up. */
    recordTimeout(target: Target): void;
    recordHealthCheck(target: Target, answer: HealthCheckResult): void;
}

export interface TargetHealthOptions {
    readonly timer: Timer;
    readonly random: Random;
    readonly registry: TargetRegistry;
    /** Asks for a health check; `checked` is told the result. */
    readonly startHealthCheck: (target: Target) => void;
    readonly onChanged: (target: Target, what: "suspect" | "cleared" | "ejected" | "misdirected", reason: string) => void;
    /** A target died while it ran the request. */
    readonly onTargetDeath: (fingerprint: Fingerprint, target: Target) => void;
    /** A target can be used again. */
    readonly onRecovered: () => void;
}

/** Failure rate above which a target is left out. */
const ejectionFailureRate = 0.4;
const ejectionMs = 1_500;
/** Most of a service's targets in a data centre that may be left out at once. */
const maxEjectedFraction = 0.34;
/** Time between two checks of a suspect. */
const checkIntervalMs = 500;
/** Connections of a target that broke are not trusted with at-most-once work for this long. */
const noConnectionReuseMs = 15_000;

export function createTargetHealth(options: TargetHealthOptions): TargetHealth {
    const { timer, random, registry, onChanged: changed } = options;
    const blamed = new Map<Target, Fingerprint[]>();

    const suspect = (target: Target, reason: string): void => {
        if (target.isSuspect || target.isRemoved) {
            return;
        }
        target.isSuspect = true;
        changed(target, "suspect", reason);
        options.startHealthCheck(target);
    };
    const mayEject = (target: Target): boolean => {
        const peers = registry.targetsIn(target.record.service, target.record.dataCentre);
        const out = peers.filter(peer => peer.ejectedUntil > timer.now() || peer.isSuspect).length;
        return out + 1 <= Math.max(1, Math.floor(maxEjectedFraction * peers.length)) && peers.length > 1;
    };
    const judge = (target: Target): void => {
        if (target.failureRate > ejectionFailureRate && target.ejectedUntil <= timer.now() && mayEject(target)) {
            target.ejectedUntil = timer.now() + ejectionMs;
            target.failureRate = ejectionFailureRate * 0.8;
            changed(target, "ejected", "too many requests failed");
        }
    };
    return {
        recordResponse: (target, head, isServed) => {
            blamed.delete(target);
            recordRequestOutcome(target, !isServed || head.status >= 500);
            if (head.isMisdirected) {
                registry.retire(target);
                changed(target, "misdirected", "another target lives at its address");
            }
            judge(target);
        },
        recordConnectionFailure: (target, fingerprint) => {
            target.noConnectionReuseUntil = timer.now() + noConnectionReuseMs;
            if (fingerprint !== undefined) {
                const list = blamed.get(target) ?? [];
                list.push(fingerprint);
                blamed.set(target, list);
            }
            suspect(target, "a connection broke");
            judge(target);
        },
        recordTimeout: target => {
            recordRequestOutcome(target, true);
            target.noConnectionReuseUntil = timer.now() + noConnectionReuseMs;
            // Long work is more common than a dead target: it stays in use until a health check says otherwise.
            if (!target.isSuspect && !target.isRemoved) {
                options.startHealthCheck(target);
            }
        },
        recordHealthCheck: (target, answer) => {
            const fingerprints = blamed.get(target) ?? [];
            blamed.delete(target);
            if (target.isRemoved) {
                return;
            }
            if (answer.isReached && !answer.isExpectedTarget) {
                registry.retire(target);
                changed(target, "misdirected", "another target lives at its address");
                return;
            }
            if (!answer.isReached) {
                new Set(fingerprints).forEach(fingerprint => options.onTargetDeath(fingerprint, target));
            }
            if (answer.coldMs !== undefined) {
                target.coldUntil = timer.now() + answer.coldMs;
            }
            if (answer.load !== undefined) {
                recordLoadReport(target, answer.load, timer.now());
            }
            if (!target.isSuspect) {
                if (!answer.isReached) {
                    suspect(target, "a request and a health check had no answer");
                }
                options.onRecovered();
                return;
            }
            if (!answer.isReached || !answer.isHealthy) {
                timer.after(checkIntervalMs * (0.8 + 0.4 * random.next()), () => options.startHealthCheck(target));
                return;
            }
            target.isSuspect = false;
            changed(target, "cleared", "its health answer is good");
            options.onRecovered();
        },
    };
}
