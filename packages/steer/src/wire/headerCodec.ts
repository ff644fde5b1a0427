/** What the daemon and its neighbours say in HTTP headers: the adapter of a platform gives its own names. */
import type { ResponseHead } from "@pimentospring/core/steering/job";
import type { HealthCheckResult } from "@pimentospring/core/steering/targetHealth";

/** Header names are in lower case. A name that came more than once has its first value. */
export type HeaderReader = (name: string) => string | undefined;

/** What a caller said about its request. */
export interface CallerHeaders {
    readonly id: string | undefined;
    /** How long it waits, in milliseconds. */
    readonly deadlineMs: number | undefined;
    /** Names the object that the request is about. */
    readonly object: string | undefined;
}

/** Head of a target's answer, with the id of the request that it answers. */
export interface TargetResponseHead extends ResponseHead {
    readonly echoedRequestId: string | undefined;
}

export interface HeaderCodec {
    decodeCallerHeaders(header: HeaderReader): CallerHeaders;
    /** Whether the daemon sets this header towards targets itself, so that a caller's is not passed on. */
    isReservedHeader(name: string): boolean;
    /** Headers for a target: time left in whole milliseconds, and the id of the target that must answer. */
    encodeTargetHeaders(deadlineMs: number, target: string): readonly (readonly [string, string])[];
    decodeResponse(status: number, header: HeaderReader, bodyBytes: number): TargetResponseHead;
    decodeHealthResponse(status: number, header: HeaderReader, target: string): HealthCheckResult;
}
