/**
 * The two sides of a request in an entry: the response writer (a caller's HTTP exchange or a peer's mesh stream) and the
 * attempts at targets and peers. The request executor connects them as the core decides.
 */
import type { Result } from "@pimentospring/core/results/resultCode";
import type { TargetNotice } from "@pimentospring/core/steering/targetRecord";
import type { CachedResponse } from "@pimentospring/core/tickets/ticketRegistry";
import type { Readable } from "node:stream";

/** HTTP headers, with names in lower case. */
export type Headers = Readonly<Record<string, string | readonly string[]>>;

export interface ResponseHead {
    readonly status: number;
    /** Owned by this response; the response writer adds its own headers. */
    readonly headers: Headers;
    /** Result code sent with the response. */
    readonly code: number;
}

/** Writes the response to a caller or peer. Each request is answered by exactly one of `writeHead`, `refuse` and `replay`. */
export interface ResponseWriter {
    writeHead(head: ResponseHead): void;
    /** Returns false when the receiver can't take more until the listener of `onDrain` is called. */
    writeData(chunk: Uint8Array): boolean;
    end(): void;
    refuse(result: Result, detail?: string): void;
    replay(answer: CachedResponse): void;
    /** Ends a response that has started in such a way that the receiver sees that it is incomplete. */
    abort(): void;
    onDrain(listener: () => void): void;
}

/** A request as it is sent to a target or peer. */
export interface OutgoingRequest {
    readonly method: string;
    readonly path: string;
    /** Owned by this request; each attempt writes its own trace context and deadline into it. */
    readonly headers: Record<string, string | readonly string[]>;
    /** Buffered body, or a stream that can be sent only once. */
    readonly body: Uint8Array | Readable | undefined;
}

/** Why an attempt failed: nothing was sent, it was refused with a result code, or the connection broke after sending. */
export type AttemptFailure =
    | { readonly kind: "notSent"; readonly reason: string; }
    | { readonly kind: "refused"; readonly result: Result; }
    | { readonly kind: "broken"; readonly reason: string; };

export interface AttemptListener {
    /** A target says something of its availability, in a response that may also go to the caller. */
    onNotice(notice: TargetNotice): void;
    onHead(head: ResponseHead): void;
    /** Returns false to pause the response until `resume` is called. */
    onData(chunk: Uint8Array): boolean;
    onEnd(): void;
    onFailure(failure: AttemptFailure): void;
}

/** Controls a running attempt. */
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

/** Returns a copy without the headers that apply to one connection only. */
export function endToEndHeaders(
    headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string | string[]> {
    const endToEnd: Record<string, string | string[]> = {};
    for (const name in headers) {
        const value = headers[name];
        if (value !== undefined && !hopByHopHeaders.has(name)) {
            endToEnd[name] = value;
        }
    }
    return endToEnd;
}
