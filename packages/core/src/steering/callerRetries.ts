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
export const maxRefusals = 4_000;

export function createCallerRetryTracker(timer: Timer): CallerRetryTracker {
    /** By caller address, as the same request of another caller is no retry. */
    const refusedAt = new Map<string, Map<string, number>>();
    /** The same request with another key is no retry where requests need keys. The fingerprint reads the whole body. */
    const contentOf = ({ request, terms }: AskedRequest): string =>
        `${(terms.directory.needsKeys ? request.keyDigest : undefined) ?? ""} ${request.fingerprint()}`;
    let count = 0;
    const remove = (address: string, content: string): void => {
        const refusals = refusedAt.get(address);
        if (refusals?.delete(content) === true) {
            count--;
        }
        if (refusals?.size === 0) {
            refusedAt.delete(address);
        }
    };
    /** The oldest of the address that has most, so that a caller with many refusals does not displace those of others. */
    const removeOne = (lastAddress: string): void => {
        const lastCount = refusedAt.get(lastAddress)?.size ?? 0;
        let most = lastAddress;
        if (lastCount <= maxRefusals / refusedAt.size) {
            for (const [address, refusals] of refusedAt) {
                if (refusals.size > refusedAt.get(most)!.size) {
                    most = address;
                }
            }
        }
        remove(most, refusedAt.get(most)!.keys().next().value!);
    };
    return {
        recordRefusal: asked => {
            const { callerAddress } = asked.request;
            const content = contentOf(asked);
            remove(callerAddress, content);
            const refusals = refusedAt.get(callerAddress) ?? new Map<string, number>();
            refusedAt.set(callerAddress, refusals.set(content, timer.now()));
            if (++count > maxRefusals) {
                removeOne(callerAddress);
            }
        },
        consumeRefusal: asked => {
            const { callerAddress } = asked.request;
            const refusals = refusedAt.get(callerAddress);
            if (refusals === undefined) {
                return false;
            }
            const content = contentOf(asked);
            const at = refusals.get(content);
            if (at === undefined) {
                return false;
            }
            remove(callerAddress, content);
            return timer.now() - at < refusalRetentionMs;
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
