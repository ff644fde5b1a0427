/** Writes the final response to a caller: a target's, or a refusal. */
import type { Result } from "@pimentospring/core/results/resultCode";
import { cutResponse } from "@pimentospring/runtime/http/responseCut";
import { type ServerResponse, STATUS_CODES } from "node:http";
import { endToEndHeaders } from "../targets/hopHeaders.js";
import type { ResponseBody } from "../targets/responseBody.js";
import type { TargetResponse } from "../targets/targetResponse.js";
import { hasResponseBody } from "./responseBody.js";

/** Sends the final response to a request. Calls have no effect once one has been sent. */
export interface CallerResponder {
    /** Throws if the response can't be written to the caller, who then has to be refused. */
    respond(targetResponse: TargetResponse, requestId: string): void;
    /** A response that has been sent in part is cut, so that its caller does not take it for complete. */
    refuse(result: Result, retryAfterMs: number | undefined): void;
}

const isContentLength = (name: string): boolean => name === "content-length";

export interface CallerResponderOptions {
    readonly response: ServerResponse;
    readonly isKeepAliveDisabled: () => boolean;
    /** Sends the body of a target's response, whose head has been written. */
    readonly endResponse: (body: ResponseBody, requestId: string) => void;
    /** Ends the response to a refused request with its body. */
    readonly endRefusal?: (body: string) => void;
}

export function createResponder(options: CallerResponderOptions): CallerResponder {
    const { response, isKeepAliveDisabled, endResponse, endRefusal = body => response.end(body) } = options;
    let isSent = false;
    const isFinished = (): boolean => isSent || response.destroyed || response.writableEnded;
    return {
        respond: (targetResponse, requestId) => {
            if (isFinished()) {
                return;
            }
            const headers = endToEndHeaders(targetResponse.rawHeaders, isContentLength);
            if (response.req.method === "HEAD") {
                headers.push(...declaredLength(targetResponse));
            }
            else if (hasResponseBody(response.req.method, targetResponse.status)) {
                // Also where the target gave none: the body is whole here, and its caller must see if it is cut on the way.
                headers.push("Content-Length", String(targetResponse.body.length));
            }
            if (isKeepAliveDisabled()) {
                response.shouldKeepAlive = false;
            }
            response.writeHead(targetResponse.status, reasonPhraseOf(targetResponse), headers);
            isSent = true;
            endResponse(targetResponse.body, requestId);
        },
        refuse: (result, retryAfterMs) => {
            if (isFinished()) {
                return;
            }
            if (response.headersSent) {
                cutResponse(response);
                return;
            }
            const body = JSON.stringify({ error: result.name, code: result.code, text: result.text });
            const headers = ["Content-Type", "application/json", "Content-Length", String(Buffer.byteLength(body))];
            headers.push("X-Pimento-Result", String(result.code));
            if (retryAfterMs !== undefined) {
                headers.push("Retry-After", (retryAfterMs / 1_000).toFixed(3));
            }
            if (isKeepAliveDisabled()) {
                response.shouldKeepAlive = false;
            }
            // Named, as a response that could not be written may have left its own reason phrase.
            response.writeHead(result.status, STATUS_CODES[result.status], headers);
            endRefusal(body);
        },
    };
}

const printablePattern = /^[\t\x20-\x7e]*$/;

/** The target's reason phrase, or the status's usual one in place of a phrase with letters that the server can't write. */
const reasonPhraseOf = ({ status, statusText }: TargetResponse): string =>
    printablePattern.test(statusText) ? statusText : STATUS_CODES[status] ?? "";

function declaredLength(targetResponse: TargetResponse): string[] {
    const at = targetResponse.rawHeaders.findIndex((text, index) => index % 2 === 0 && text.toLowerCase() === "content-length");
    return at === -1 ? [] : ["Content-Length", targetResponse.rawHeaders[at + 1]!];
}
