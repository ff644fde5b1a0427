/** Sends response bodies, and counts the memory of each part until it is with the operating system or given up. */
import type { Timer } from "@pimentospring/core/time/timer";
import { cutResponse } from "@pimentospring/runtime/http/responseCut";
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { ResponseBody } from "../targets/responseBody.js";
import type { ResponseBuffer, ResponseBuffers } from "../targets/responseBuffers.js";
import type { CallerResponseEnd, CutReason, ResponseProgress } from "./callerResponseEnd.js";
import { hasResponseBody } from "./responseBody.js";

export interface CountedResponses {
    /**
     * Ends a response, whose head has been written, with its body. If memory runs short the connection is reset, so that the caller
     * gets no complete response.
     */
    end(response: ServerResponse, body: ResponseBody, requestId: string): void;
    /** Bytes of response bodies that a connection's caller has yet to read. */
    unreadBytesOf(socket: Socket): number;
    /** Resets the connections of the responses that are being written, as the process stops; returns what was cut. */
    cutOpen(): readonly ResponseProgress[];
}

export interface CountedResponsesOptions {
    readonly timer: Timer;
    readonly buffers: ResponseBuffers;
    readonly onEnd?: ((end: CallerResponseEnd) => void) | undefined;
}

interface OpenResponse {
    readonly progress: () => ResponseProgress;
    readonly cut: (reason: CutReason) => void;
}

const noBytes = Buffer.alloc(0);
/** Time without a part sent after which a response keeps no room from others any more. */
const stalledMs = 2_000;

export function createCountedResponses({ timer, buffers, onEnd = () => {} }: CountedResponsesOptions): CountedResponses {
    const openResponses = new Set<OpenResponse>();
    const unreadBytes = new WeakMap<Socket, number>();
    const unreadBytesOf = (socket: Socket): number => unreadBytes.get(socket) ?? 0;
    const addUnread = (socket: Socket, bytes: number): void => void unreadBytes.set(socket, unreadBytesOf(socket) + bytes);
    const end: CountedResponses["end"] = (response, body, requestId) => {
        const { socket } = response.req;
        const dueBytes = hasResponseBody(response.req.method, response.statusCode) ? body.length : 0;
        const parts = body.takeParts();
        let nextPart = 0;
        let heldBytes = body.length;
        let sentBytes = 0;
        let lastSentAt = timer.now();
        let isWhole = false;
        let cutReason: CutReason | undefined;
        const buffer: ResponseBuffer = {
            bytes: () => heldBytes,
            isStalled: () => timer.now() >= lastSentAt + stalledMs,
            abort: () => openResponse.cut("memory"),
        };
        const openResponse: OpenResponse = {
            progress: () => ({ requestId, sentBytes, dueBytes }),
            cut: reason => {
                cutReason ??= reason;
                cutResponse(response);
            },
        };
        const writePart = (): boolean => {
            const part = parts[nextPart]!;
            parts[nextPart++] = noBytes;
            return response.write(part, error => {
                heldBytes -= part.length;
                addUnread(socket, -part.length);
                lastSentAt = timer.now();
                buffers.recordSent(buffer, part.length);
                // A write that is dropped as the connection is destroyed is reported without an error, too.
                if (!error && !socket.destroyed && dueBytes > 0) {
                    sentBytes += part.length;
                }
            });
        };
        const sendParts = (): void => {
            while (cutReason === undefined && nextPart < parts.length) {
                if (!writePart() && nextPart < parts.length) {
                    response.once("drain", sendParts);
                    return;
                }
            }
            if (cutReason === undefined) {
                response.end();
            }
        };
        response.once("finish", () => {
            isWhole = !socket.destroyed;
        });
        response.once("close", () => {
            buffers.remove(buffer);
            addUnread(socket, -heldBytes);
            openResponses.delete(openResponse);
            onEnd({
                ...openResponse.progress(),
                status: response.statusCode,
                outcome: isWhole ? "whole" : cutReason ?? "callerLeft",
            });
        });
        openResponses.add(openResponse);
        addUnread(socket, heldBytes);
        buffers.addUnread(buffer);
        sendParts();
    };
    const cutOpen = (): readonly ResponseProgress[] =>
        [...openResponses].map(({ progress, cut }) => {
            cut("stop");
            return progress();
        });
    return { end, unreadBytesOf, cutOpen };
}
