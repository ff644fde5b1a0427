/**
 * Decides what follows from a target's response: deliver it, retry at another target, or report that the outcome is
 * unknown.
 */
import type { Job, ResponseHead } from "./job.js";

export type ResponseAction<Answer> =
    | { readonly kind: "deliver"; readonly answer: Answer; }
    | {
        readonly kind: "retry";
        readonly reason: string;
        /** Delivered to the caller if no other target gives a better response. */
        readonly failureResponse: Answer | undefined;
        readonly mayHaveRun: boolean;
    }
    | { readonly kind: "unknown"; readonly reason: string; };

const isSuccess = (status: number): boolean => status >= 200 && status < 300;

/** Whether the target refused the request although it reports free slots, so that not its load is the reason. */
export const isRefusedWithFreeSlots = ({ isNotRun, isMisdirected, load }: ResponseHead): boolean =>
    isNotRun && !isMisdirected && load !== undefined && load.running < load.slots;

export function classifyResponse<Answer>(job: Job<Answer>, head: ResponseHead, answer: Answer): ResponseAction<Answer> {
    if (head.isNotRun || head.isMisdirected) {
        const reason = head.isMisdirected ? "another target has the address" : `shed with status ${head.status}`;
        return { kind: "retry", reason, failureResponse: undefined, mayHaveRun: false };
    }
    if (isSuccess(head.status) && !head.isSigned) {
        const reason = "the response lacks the target's signature";
        return job.route.isIdempotent
            ? { kind: "retry", reason, failureResponse: undefined, mayHaveRun: true }
            : { kind: "unknown", reason };
    }
    if (head.status >= 500 && job.route.isIdempotent) {
        return { kind: "retry", reason: `failed with status ${head.status}`, failureResponse: answer, mayHaveRun: true };
    }
    return { kind: "deliver", answer };
}
