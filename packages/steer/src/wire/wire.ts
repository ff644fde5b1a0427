/** What the daemon and its neighbours say in HTTP headers: the adapter of a platform gives its own names. */
import type { ResponseHead } from "@pimentospring/core/steering/job";
import type { HealthCheckResult } from "@pimentospring/core/steering/targetHealth";

/** Header names are in lower case. A name that came more than once has its first value. */
export type HeaderReader = (name: string) => string | undefined;

/** What a caller said about its request. */
export interface CallerHead {
    readonly id: string | undefined;
    /** How long it waits, in milliseconds. */
    readonly deadlineMs: number | undefined;
    /** Names the object that the request is about. */
    readonly object: string | undefined;
}

/** Head of a target's answer, with the id of the request that it answers. */
export interface TargetHead extends ResponseHead {
    readonly answersId: string | undefined;
}

export interface Wire {
    readCaller(header: HeaderReader): CallerHead;
    /** Whether the daemon sets this header towards targets itself, so that a caller's is not passed on. */
    isOwnHeader(name: string): boolean;
    /** Headers for a target: time left in whole milliseconds, and the id of the target that must answer. */
    targetHeaders(deadlineMs: number, target: string): readonly (readonly [string, string])[];
    readAnswer(status: number, header: HeaderReader, bodyBytes: number): TargetHead;
    readHealth(status: number, header: HeaderReader, target: string): HealthCheckResult;
}
