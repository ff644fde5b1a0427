/**
 * Tells refused callers when to retry, and recognises their retries. Retry times are spread out and become longer with
 * slot pressure; a caller whom targets with free slots refused comes back at once, while its response can still be in
 * time. Retries go before other late requests, so that no request is refused twice.
 */
import type { Random } from "../random/random.js";
import type { Timer } from "../time/timer.js";
import type { Job } from "./job.js";

export interface CallerRetryTracker {
    /** Records that a request was refused and may be sent again. */
    recordRefusal(asked: AskedRequest): void;
    /** Whether the request was refused recently; each refusal counts for one retry. */
    consumeRefusal(asked: AskedRequest): boolean;
}

type AskedRequest = Pick<Job<unknown>, "request" | "terms">;

const refusalRetentionMs = 8_000;
const maxRefusals = 4_000;

export function createCallerRetryTracker(timer: Timer): CallerRetryTracker {
    const refusedAt = new Map<string, number>();
    /** The same request of another caller is no retry, nor is the one with another key where requests need keys. */
    const keyOf = ({ request, terms }: AskedRequest): string => {
        const { callerAddress, keyDigest, fingerprint } = request;
        return `${callerAddress} ${(terms.directory.needsKeys ? keyDigest : undefined) ?? ""} ${fingerprint()}`;
    };
    return {
        recordRefusal: asked => {
            const key = keyOf(asked);
            refusedAt.delete(key);
            refusedAt.set(key, timer.now());
            if (refusedAt.size > maxRefusals) {
                refusedAt.delete(refusedAt.keys().next().value!);
            }
        },
        consumeRefusal: asked => {
            const key = keyOf(asked);
            const at = refusedAt.get(key);
            return at !== undefined && refusedAt.delete(key) && timer.now() - at < refusalRetentionMs;
        },
    };
}

export interface RetryAfterOptions {
    readonly job: Job<unknown>;
    readonly now: number;
    /** From 0 to 1. */
    readonly pressure: number;
    /** Whether targets refused the request although they had free slots, so that waiting for slots gains nothing. */
    readonly hadFreeSlots: boolean;
    /** Earliest time at which a target accepts requests. */
    readonly notBefore: number;
    readonly random: Random;
}

/** Fraction of the remaining time within which callers are told to retry. */
const retryWindowFraction = 1 / 3;
/** Shortest delay where slots are taken, as a fraction of that window. */
const minSlotWaitFraction = 0.3;
const minRetryAfterMs = 20;

/** Milliseconds, from now, until the caller should retry. */
export function retryAfterMs(options: RetryAfterOptions): number {
    const { job, now, pressure, hadFreeSlots, notBefore, random } = options;
    const maxDelayMs = Math.max(0, (job.request.deadlineAt - now) * retryWindowFraction);
    const minFraction = hadFreeSlots ? 0 : minSlotWaitFraction;
    const delayFraction = (minFraction + (1 - minFraction) * pressure) * (0.6 + 0.4 * random.next());
    // Callers that wait for targets to open are spread over the time after it.
    return Math.max(
        minRetryAfterMs,
        maxDelayMs * delayFraction,
        notBefore - now + maxDelayMs * minSlotWaitFraction * random.next(),
    );
}
