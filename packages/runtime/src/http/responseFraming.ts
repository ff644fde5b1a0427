/** How responses are framed (RFC 9112, section 6.3). */
import { type Dispatcher, errors } from "undici";
import type { ConnectionEnd } from "./connectionEnd.js";

/** What marks the end of a response's body; `"none"` if the response has no body whatever its headers say. */
export type Framing = "none" | "length" | "chunked" | "connectionEnd";

/** The head of a response, as far as it frames the body. */
export interface FramingHead {
    readonly status: number;
    /** Alternating names and values. */
    readonly rawHeaders: readonly string[];
}

/** `method` is the request's, `connectionEnd` what was known at the response's end. */
export function framingOf(method: string, { status, rawHeaders }: FramingHead, connectionEnd: ConnectionEnd): Framing {
    if (method === "HEAD" || status === 204 || status === 304) {
        return "none";
    }
    // Parsers differ in how they read odd headers. Only a response that nothing else ends lasts until the connection ends.
    return connectionEnd === "none" ? declaredFraming(rawHeaders) : "connectionEnd";
}

/** Whether a response that has ended is whole. One that its connection's end marks is whole only if that end was in order. */
export const isWhole = (framing: Framing, connectionEnd: ConnectionEnd): boolean =>
    framing !== "connectionEnd" || connectionEnd === "orderly";

function declaredFraming(rawHeaders: readonly string[]): Framing {
    const coding = lastValue(rawHeaders, "transfer-encoding");
    if (coding !== undefined) {
        return /(^|,)\s*chunked\s*$/i.test(coding) ? "chunked" : "connectionEnd";
    }
    return lastValue(rawHeaders, "content-length") === undefined ? "connectionEnd" : "length";
}

function lastValue(rawHeaders: readonly string[], name: string): string | undefined {
    const at = rawHeaders.findLastIndex((text, index) => index % 2 === 0 && text.toLowerCase() === name);
    return at === -1 ? undefined : rawHeaders[at + 1];
}

/** Alternating names and values of the response that is being received, as received. */
export const receivedHeaders = ({ rawHeaders }: Dispatcher.DispatchController): string[] =>
    ((rawHeaders ?? []) as readonly (Buffer | string)[]).map(item => item.toString("latin1"));

/**
 * Whether a response of the given status is whole though the client library reports the error: the length in a 304 is that of a body
 * which it leaves out, and the library waits for it.
 */
export const isWholeDespite = (status: number, error: Error): boolean =>
    status === 304 && error instanceof errors.ResponseContentLengthMismatchError;
