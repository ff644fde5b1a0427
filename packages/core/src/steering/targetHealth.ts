/**
 * Judges targets by what happens to requests. A broken connection makes a target suspect until a health answer clears
 * it; a target that fails many requests is left out for a while, as long as most of its service stays in use.
 */
import type { Fingerprint } from "../ids.js";
import type { Random } from "../random/random.js";
import type { Timer } from "../time/timer.js";
import type { AnswerHead } from "./job.js";
import { noteOutcome, noteReport, type Target } from "./target.js";
import type { TargetRegistry } from "./targetRegistry.js";

/** What a health check found. */
export interface HealthAnswer {
    /** Whether the target itself answered, with whatever status. */
    readonly isReached: boolean;
    /** Whether the answer came from the target that was expected. */
    readonly isExpected: boolean;
    readonly isHealthy: boolean;
    readonly coldMs: number | undefined;
    readonly load: AnswerHead["load"];
}

export interface TargetHealth {
    answered(target: Target, head: AnswerHead, isServed: boolean): void;
    /** A connection broke; with the fingerprint of the request whose bytes it may have had. */
    broken(target: Target, fingerprint: Fingerprint | undefined): void;
    /** A request had no answer until its time was up. */
    silent(target: Target): void;
    checked(target: Target, answer: HealthAnswer): void;
}

export interface TargetHealthOptions {
    readonly timer: Timer;
    readonly random: Random;
    readonly registry: TargetRegistry;
    /** Asks for a health check; `checked` is told the result. */
    readonly check: (target: Target) => void;
    readonly changed: (target: Target, what: "suspect" | "cleared" | "ejected" | "misdirected", reason: string) => void;
    /** A target died while it ran the request. */
    readonly diedUnder: (fingerprint: Fingerprint, target: Target) => void;
    /** A target can be used again. */
    readonly recovered: () => void;
}

/** Failure rate above which a target is left out. */
const ejectedRate = 0.4;
const ejectedMs = 1_500;
/** Most of a service's targets in a data centre that may be left out at once. */
const mostEjected = 0.34;
/** Time between two checks of a suspect. */
const checkIntervalMs = 500;
/** Connections of a target that broke are not trusted with at-most-once work for this long. */
const distrustMs = 15_000;

export function createTargetHealth(options: TargetHealthOptions): TargetHealth {
    const { timer, random, registry, changed } = options;
    const blamed = new Map<Target, Fingerprint[]>();

    const suspect = (target: Target, reason: string): void => {
        if (target.isSuspect || target.isGone) {
            return;
        }
        target.isSuspect = true;
        changed(target, "suspect", reason);
        options.check(target);
    };
    const mayEject = (target: Target): boolean => {
        const peers = registry.inDataCentre(target.record.service, target.record.dataCentre);
        const out = peers.filter(peer => peer.ejectedUntil > timer.now() || peer.isSuspect).length;
        return out + 1 <= Math.max(1, Math.floor(mostEjected * peers.length)) && peers.length > 1;
    };
    const judge = (target: Target): void => {
        if (target.failureRate > ejectedRate && target.ejectedUntil <= timer.now() && mayEject(target)) {
            target.ejectedUntil = timer.now() + ejectedMs;
            target.failureRate = ejectedRate * 0.8;
            changed(target, "ejected", "too many requests failed");
        }
    };
    return {
        answered: (target, head, isServed) => {
            blamed.delete(target);
            noteOutcome(target, !isServed || head.status >= 500);
            if (head.isMisdirected) {
                registry.forget(target);
                changed(target, "misdirected", "another target lives at its address");
            }
            judge(target);
        },
        broken: (target, fingerprint) => {
            target.distrustUntil = timer.now() + distrustMs;
            if (fingerprint !== undefined) {
                const list = blamed.get(target) ?? [];
                list.push(fingerprint);
                blamed.set(target, list);
            }
            suspect(target, "a connection broke");
            judge(target);
        },
        silent: target => {
            noteOutcome(target, true);
            target.distrustUntil = timer.now() + distrustMs;
            // Long work is more common than a dead target: it stays in use until a health check says otherwise.
            if (!target.isSuspect && !target.isGone) {
                options.check(target);
            }
        },
        checked: (target, answer) => {
            const fingerprints = blamed.get(target) ?? [];
            blamed.delete(target);
            if (target.isGone) {
                return;
            }
            if (answer.isReached && !answer.isExpected) {
                registry.forget(target);
                changed(target, "misdirected", "another target lives at its address");
                return;
            }
            if (!answer.isReached) {
                new Set(fingerprints).forEach(fingerprint => options.diedUnder(fingerprint, target));
            }
            if (answer.coldMs !== undefined) {
                target.coldUntil = timer.now() + answer.coldMs;
            }
            if (answer.load !== undefined) {
                noteReport(target, answer.load, timer.now());
            }
            if (!target.isSuspect) {
                if (!answer.isReached) {
                    suspect(target, "a request and a health check had no answer");
                }
                options.recovered();
                return;
            }
            if (!answer.isReached || !answer.isHealthy) {
                timer.after(checkIntervalMs * (0.8 + 0.4 * random.next()), () => options.check(target));
                return;
            }
            target.isSuspect = false;
            changed(target, "cleared", "its health answer is good");
            options.recovered();
        },
    };
}
