/** Answers of the target stand-in: their texts, and how each is sent, whole, broken or twice. */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** Length of an answer and whether it declares it; without, the end of its connection ends it. */
export interface AnswerShape {
    /** A short text if omitted. */
    readonly byteCount?: number | undefined;
    readonly hasLength: boolean;
}

export const shortAnswer: AnswerShape = { hasLength: true };

/** An answer that is ready to be sent. */
export interface Answer {
    readonly response: ServerResponse;
    readonly socket: Socket;
    readonly requestId: string;
    readonly text: string;
    readonly body: string | Buffer;
    readonly headers: Readonly<Record<string, string>>;
    readonly hasLength: boolean;
}

const maxSecondAnswerDelayMs = 60;
const breakPauseMs = 80;

/**
 * Text of a response; callers recognize by it that the response is complete and belongs to their request. No part of a text is a
 * whole one.
 */
export const answerText = (target: string, request: string, byteCount?: number): string => {
    const text = `${target} ran ${request}`;
    return byteCount === undefined ? text : `${byteCount} bytes: ${text} `.padEnd(byteCount, `${request}.`);
};

/** The bytes of a success that is sent besides an answer. */
export const formatAnswer = ({ requestId, text }: Answer, hasLength: boolean): string =>
    `HTTP/1.1 200 OK\r\nX-Server-Stamp: stamp\r\nX-Request-Id: ${requestId}\r\n`
    + `${hasLength ? `Content-Length: ${text.length}\r\n` : ""}\r\n${text}`;

export function sendWhole({ response, headers, hasLength, body }: Answer): void {
    if (hasLength) {
        response.writeHead(200, { ...headers, "Content-Length": body.length });
    }
    else {
        beginWithoutLength(response, headers);
    }
    response.end(body);
}

/** Half of an answer without a length, and a reset right behind it. */
export function sendHalfAndReset({ response, socket, headers, text }: Answer): void {
    beginWithoutLength(response, headers);
    response.write(text.slice(0, text.length / 2), () => socket.resetAndDestroy());
}

/** A quarter of an answer without a length, and after a pause another one with a reset right behind it. */
export function sendHalfAndResetLate({ response, socket, headers, text }: Answer): void {
    beginWithoutLength(response, headers);
    response.write(text.slice(0, text.length / 4));
    setTimeout(() => {
        if (!socket.destroyed) {
            response.write(text.slice(text.length / 4, text.length / 2), () => socket.resetAndDestroy());
        }
    }, breakPauseMs);
}

/** An answer without a length, then a second one to the same request, with or without a length. */
export function sendTwice(answer: Answer, delayMs: number, hasSecondLength: boolean): void {
    const { response, socket, headers, body } = answer;
    const second = formatAnswer(answer, hasSecondLength);
    beginWithoutLength(response, headers);
    if (delayMs === 0) {
        response.write(body);
        response.end(second);
        return;
    }
    response.write(body);
    setTimeout(() => {
        if (!socket.destroyed) {
            response.end(second);
        }
    }, delayMs);
}

/** Delay of the second answer to a request of which `sequence` answers were sent before: up to 60 ms, in four steps. */
export const secondAnswerDelayMs = (sequence: number): number => maxSecondAnswerDelayMs * (1 + sequence % 4) / 4;

/** Whether the end of its connection completes the response. */
export const endsWithConnection = (response: ServerResponse): boolean => !response.useChunkedEncodingByDefault;

function beginWithoutLength(response: ServerResponse, headers: Readonly<Record<string, string>>): void {
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
    response.writeHead(200, headers);
}
