/** How a response ended towards its caller. */

/** Why a caller got part of a response only. */
export type CutReason = "callerLeft" | "memory" | "stop";

/** Bytes of a response's body. */
export interface ResponseProgress {
    readonly requestId: string;
    /** Bytes that the operating system has taken, counted by the parts in which they are written. */
    readonly sentBytes: number;
    /** Bytes that the caller is to get. */
    readonly dueBytes: number;
}

export interface CallerResponseEnd extends ResponseProgress {
    readonly status: number;
    /** `"whole"` if the operating system has taken all of it. */
    readonly outcome: "whole" | CutReason;
}
