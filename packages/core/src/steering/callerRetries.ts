/**
 * When callers whose requests were not run should come back, and which requests are such returns. Returns are spread,
 * and later the harder the targets are pressed; they go before other late work, so that nobody is turned away twice.
 */
import type { Fingerprint } from "../ids.js";
import type { Random } from "../random/random.js";
import type { Timer } from "../time/timer.js";
import type { Job } from "./job.js";

export interface CallerRetryTracker {
    /** A request was refused and may come back. */
    recordRefusal(fingerprint: Fingerprint): void;
    /** Whether a request is one that was refused lately; each refusal counts for one return. */
    consumeRefusal(fingerprint: Fingerprint): boolean;
}

const refusalRetentionMs = 8_000;
const maxRefusals = 4_000;

export function createCallerRetryTracker(timer: Timer): CallerRetryTracker {
    const refusedAt = new Map<Fingerprint, number>();
    return {
        recordRefusal: fingerprint => {
            refusedAt.delete(fingerprint);
            refusedAt.set(fingerprint, timer.now());
            if (refusedAt.size > maxRefusals) {
                refusedAt.delete(refusedAt.keys().next().value!);
            }
        },
        consumeRefusal: fingerprint => {
            const at = refusedAt.get(fingerprint);
            return at !== undefined && refusedAt.delete(fingerprint) && timer.now() - at < refusalRetentionMs;
        },
    };
}

export interface RetryAfterOptions {
    readonly job: Job<unknown>;
    readonly now: number;
    /** From 0 to 1. */
    readonly pressure: number;
    readonly random: Random;
}

/** Part of the time left within which callers follow the advice. */
const retryWindowFraction = 1 / 3;
const minRetryAfterMs = 20;

/** Milliseconds to wait, from now. */
export function retryAfterMs(options: RetryAfterOptions): number {
    const { job, now, pressure, random } = options;
    const most = Math.max(0, (job.request.deadlineAt - now) * retryWindowFraction);
    const share = (0.3 + 0.7 * pressure) * (0.6 + 0.4 * random.next());
    return Math.max(minRetryAfterMs, most * share);
}
