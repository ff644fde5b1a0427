/** A target's complete response, as passed on to the caller. */
export interface TargetResponse {
    readonly status: number;
    readonly statusText: string;
    /** Alternating names and values, as received. */
    readonly rawHeaders: readonly string[];
    readonly body: Buffer;
}
