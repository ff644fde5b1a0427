/** Writes responses to callers over HTTP. */
import { type Result, results } from "@pimentospring/core/results/resultCode";
import { cutResponse } from "@pimentospring/runtime/http/responseCut";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { ResponseWriter } from "../exchange/exchange.js";

/** Result code; on every response to a service request. */
export const resultHeader = "x-pimento-result";
/** Trace id of the request; on every response to a service request. */
export const traceHeader = "x-pimento-trace";

/** Responds with a result code when there is no response of a target. */
export function sendRefusal(response: ServerResponse, result: Result, detail?: string, traceId?: string): void {
    if (response.headersSent || response.destroyed) {
        return;
    }
    const { code, name, outcome, text } = result;
    const body = JSON.stringify({ code, name, outcome, text, detail, trace: traceId });
    response.writeHead(result.status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(body),
        [resultHeader]: String(code),
        ...(traceId === undefined ? {} : { [traceHeader]: traceId }),
    });
    response.end(body);
}

export function createCallerResponseWriter(request: IncomingMessage, response: ServerResponse, traceId: string): ResponseWriter {
    const discardBody = (): void => {
        // An unread body would block the connection for further requests.
        if (!request.complete) {
            request.resume();
        }
    };
    return {
        writeHead: head => {
            const headers = head.headers as Record<string, string | string[]>;
            headers[resultHeader] = String(head.code);
            headers[traceHeader] = traceId;
            response.writeHead(head.status, headers);
        },
        writeData: chunk => response.write(chunk),
        end: () => {
            response.end();
            discardBody();
        },
        refuse: (result, detail) => {
            sendRefusal(response, result, detail, traceId);
            discardBody();
        },
        replay: answer => {
            response.writeHead(answer.status, {
                "content-type": answer.contentType,
                "content-length": answer.body.length,
                [resultHeader]: String(results.answeredAgain.code),
                [traceHeader]: traceId,
            });
            response.end(answer.body);
        },
        abort: () => cutResponse(response),
        onDrain: listener => void response.once("drain", listener),
    };
}
