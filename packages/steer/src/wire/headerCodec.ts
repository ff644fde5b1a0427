/** Codec for the HTTP headers between daemon, callers and targets. A platform's adapter supplies the header names. */
import type { ResponseHead } from "@pimentospring/core/steering/job";
import type { HealthCheckResult } from "@pimentospring/core/steering/targetHealth";

/** Takes a header name in lower case. Returns the first value if the header was repeated. */
export type HeaderReader = (name: string) => string | undefined;

/** Request properties from a caller's headers. */
export interface CallerHeaders {
    readonly id: string | undefined;
    /** Time that the caller waits for its response. */
    readonly deadlineMs: number | undefined;
    /** Key of the object that the request concerns. */
    readonly objectId: string | undefined;
}

/** Head of a target's response, with the request id that it echoes. */
export interface TargetResponseHead extends ResponseHead {
    readonly echoedRequestId: string | undefined;
}

export interface HeaderCodec {
    decodeCallerHeaders(header: HeaderReader): CallerHeaders;
    /** The key of the caller's workspace, as it was received. Keys are secrets: only its digest may be kept. */
    decodeKey(header: HeaderReader): string | undefined;
    /** Whether the header carries a key or names a workspace, so that where requests need keys no caller's value is forwarded. */
    isWorkspaceHeader(name: string): boolean;
    /** Whether the daemon sets this header on requests to targets, so that a caller's value is not forwarded. */
    isReservedHeader(name: string): boolean;
    /**
     * Headers of a request to a target: remaining time in whole milliseconds, and the id of the target that must handle
     * it, and the name of the request's workspace, if it has one.
     */
    encodeTargetHeaders(deadlineMs: number, target: string, workspace?: string): readonly (readonly [string, string])[];
    decodeResponse(status: number, header: HeaderReader, bodyBytes: number): TargetResponseHead;
    decodeHealthResponse(status: number, header: HeaderReader, target: string): HealthCheckResult;
}
