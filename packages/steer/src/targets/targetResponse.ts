/** A target's complete response, as passed on to the caller. */
export interface TargetResponse {
    readonly status: number;
    readonly statusText: string;
    /** Alternating names and values, as received. */
    readonly rawHeaders: readonly string[];
    readonly body: Buffer;
}

const framingHeaders = new Set(["content-length", "transfer-encoding"]);

/**
 * Whether the response declares its length. One that ends with its connection may have been truncated, and is passed on
 * the same way, so that the caller does not take it for complete.
 */
export function hasDeclaredLength(response: TargetResponse): boolean {
    return response.rawHeaders.some((text, index) => index % 2 === 0 && framingHeaders.has(text.toLowerCase()));
}

/** The declared length; 0 if none is declared or it is no number. */
export function declaredBytes(rawHeaders: readonly string[]): number {
    const at = rawHeaders.findIndex((text, index) => index % 2 === 0 && text.toLowerCase() === "content-length");
    return at === -1 ? 0 : Number(rawHeaders[at + 1]) || 0;
}
