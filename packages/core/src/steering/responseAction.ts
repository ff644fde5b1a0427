/** What follows from a target's answer: hand it on, try elsewhere, or admit that the outcome is unknown. */
import type { Job, ResponseHead } from "./job.js";

export type ResponseAction<Answer> =
    | { readonly kind: "deliver"; readonly answer: Answer; }
    | {
        readonly kind: "repeat";
        readonly reason: string;
        /** Handed on when no other target does better. */
        readonly failure: Answer | undefined;
        readonly mayHaveRun: boolean;
    }
    | { readonly kind: "unknown"; readonly reason: string; };

const isSuccess = (status: number): boolean => status >= 200 && status < 300;

export function classifyResponse<Answer>(job: Job<Answer>, head: ResponseHead, answer: Answer): ResponseAction<Answer> {
    if (head.isNotRun || head.isMisdirected) {
        const reason = head.isMisdirected ? "another target lives at the address" : `shed with status ${head.status}`;
        return { kind: "repeat", reason, failure: undefined, mayHaveRun: false };
    }
    if (isSuccess(head.status) && !head.isSigned) {
        const reason = "the answer does not carry the target's signature";
        return job.route.isIdempotent
            ? { kind: "repeat", reason, failure: undefined, mayHaveRun: true }
            : { kind: "unknown", reason };
    }
    if (head.status >= 500 && job.route.isIdempotent) {
        return { kind: "repeat", reason: `failed with status ${head.status}`, failure: answer, mayHaveRun: true };
    }
    return { kind: "deliver", answer };
}
