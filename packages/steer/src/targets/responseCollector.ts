/** Collects a response as it arrives at the HTTP client. */
import type { ConnectionEnd } from "@pimentospring/runtime/http/connectionEnd";
import { framingOf, isWholeDespite, receivedHeaders } from "@pimentospring/runtime/http/responseFraming";
import type { Dispatcher } from "undici";
import { createResponseBodyCollector } from "./responseBody.js";
import type { ResponseBuffer, ResponseBuffers } from "./responseBuffers.js";
import type { EndedResponse, TargetResponse } from "./targetResponse.js";

/** Interim (1xx) responses accepted before the final one. */
const maxInterimResponses = 16;

/** Bytes that HTTP allows in no reason phrase, so that what has them is not a response. The parser lets them through. */
const controlCharacterPattern = /[\x00-\x08\x0a-\x1f\x7f]/;

export interface ResponseCollectorOptions {
    /** The request's. */
    readonly method: string;
    readonly maxResponseBytes: number;
    readonly buffers: ResponseBuffers;
    readonly connectionEnd: () => ConnectionEnd;
    readonly onWriteStart: () => void;
    readonly onResponse: (response: EndedResponse) => void;
    readonly onFailure: (reason: string) => void;
    readonly onNoMemory: (reason: string) => void;
}

/** Creates a handler that collects one response. */
export function createResponseCollector(options: ResponseCollectorOptions): Dispatcher.DispatchHandler {
    const { maxResponseBytes, buffers } = options;
    let status = 0;
    let statusText = "";
    let rawHeaders: string[] = [];
    let size = 0;
    let interimCount = 0;
    let isAborted = false;
    const body = createResponseBodyCollector();
    let requestController: Dispatcher.DispatchController | undefined;
    const buffer: ResponseBuffer = {
        bytes: () => size,
        isStalled: () => false,
        abort: reason => {
            isAborted = true;
            body.clear();
            options.onNoMemory(reason);
            requestController?.abort(new Error(reason));
        },
    };
    const end = (): void => {
        if (isAborted) {
            return;
        }
        buffers.remove(buffer);
        const response: TargetResponse = { status, statusText, rawHeaders, body: body.take() };
        const connectionEnd = options.connectionEnd();
        options.onResponse({ ...response, framing: framingOf(options.method, response, connectionEnd), connectionEnd });
    };
    return {
        onRequestStart: controller => {
            requestController = controller;
            buffers.addReceived(buffer);
            options.onWriteStart();
        },
        onResponseStart: (controller, statusCode, _headers, statusMessage) => {
            if (controlCharacterPattern.test(statusMessage ?? "")) {
                controller.abort(new Error("the status line has control characters"));
            }
            else if (statusCode >= 200) {
                status = statusCode;
                statusText = statusMessage ?? "";
                rawHeaders = receivedHeaders(controller);
            }
            else if (++interimCount > maxInterimResponses) {
                controller.abort(new Error(`more than ${maxInterimResponses} interim (1xx) responses`));
            }
        },
        onResponseData: (controller, chunk) => {
            if (isAborted) {
                return;
            }
            body.add(chunk);
            size += chunk.length;
            buffers.recordBytes(chunk.length);
            if (size > maxResponseBytes) {
                controller.abort(new Error(`response exceeds ${maxResponseBytes} bytes`));
            }
        },
        onResponseEnd: end,
        onResponseError: (_controller, error) => {
            if (isWholeDespite(status, error)) {
                end();
                return;
            }
            buffers.remove(buffer);
            body.clear();
            options.onFailure(error.message);
        },
    };
}
