/**
 * The two sides of a request in an entry: the requester (a caller's HTTP exchange or a peer's mesh stream) and the
 * tries at targets and peers. The shell connects them as the core decides.
 */
import type { Result } from "@pimentospring/core/results/resultCode";
import type { CachedAnswer } from "@pimentospring/core/tickets/ticketRegistry";
import type { Readable } from "node:stream";

/** Header names in lower case. */
export type Headers = Readonly<Record<string, string | readonly string[]>>;

export interface ResponseHead {
    readonly status: number;
    /** Belongs to the answer alone; the requester adds its own. */
    readonly headers: Headers;
    /** Result code that goes with the answer. */
    readonly code: number;
}

/** Who asked. Each request is answered by exactly one of `head`, `refuse` and `repeat`. */
export interface ResponseWriter {
    writeHead(head: ResponseHead): void;
    /** Returns false when the requester can't take more until `whenDrained` calls back. */
    writeData(chunk: Uint8Array): boolean;
    end(): void;
    refuse(result: Result, detail?: string): void;
    replay(answer: CachedAnswer): void;
    /** Ends a begun answer so that nobody takes it for whole. */
    abort(): void;
    onDrain(listener: () => void): void;
}

/** What is sent to a target or peer. */
export interface OutgoingRequest {
    readonly method: string;
    readonly path: string;
    /** Belongs to the request alone; each try writes its own trace context and deadline into it. */
    readonly headers: Record<string, string | readonly string[]>;
    /** Whole body, or a stream that can be sent once. */
    readonly body: Uint8Array | Readable | undefined;
}

/** How a try failed. */
export type AttemptFailure =
    | { readonly kind: "notSent"; readonly reason: string; }
    | { readonly kind: "refused"; readonly result: Result; }
    | { readonly kind: "broken"; readonly reason: string; };

export interface AttemptListener {
    onHead(head: ResponseHead): void;
    /** Returns false to pause until `resume`. */
    onData(chunk: Uint8Array): boolean;
    onEnd(): void;
    onFailure(failure: AttemptFailure): void;
}

/** A try under way. */
export interface AttemptHandle {
    cancel(): void;
    resume(): void;
}

const hopByHopHeaders = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "host",
]);

/** Drops headers that belong to one connection only. */
export function endToEndHeaders(
    headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string | string[]> {
    const kept: Record<string, string | string[]> = {};
    for (const name in headers) {
        const value = headers[name];
        if (value !== undefined && !hopByHopHeaders.has(name)) {
            kept[name] = value;
        }
    }
    return kept;
}
