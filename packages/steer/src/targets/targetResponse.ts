/** A target's whole answer, as it is handed to the caller. */
export interface TargetResponse {
    readonly status: number;
    readonly statusText: string;
    /** Name and value by turns, as received. */
    readonly rawHeaders: readonly string[];
    readonly body: Buffer;
}

const framingHeaders = new Set(["content-length", "transfer-encoding"]);

/**
 * Whether the answer said where it ends. One that ends with its connection may have been cut off: it is passed on in
 * the same way, so that nothing is claimed that is not known.
 */
export function hasDeclaredLength(answer: TargetResponse): boolean {
    return answer.rawHeaders.some((text, index) => index % 2 === 0 && framingHeaders.has(text.toLowerCase()));
}
