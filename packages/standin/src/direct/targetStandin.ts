/** Stand-in for a target on the users' platform: checks the expected instance id, reports its load, queues and answers. */
import { listen } from "@pimentospring/runtime/http/jsonServer";
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import {
    type Answer,
    type AnswerShape,
    answerText,
    endsWithConnection,
    formatAnswer,
    secondAnswerDelayMs,
    sendHalfAndReset,
    sendHalfAndResetLate,
    sendTwice,
    sendWhole,
    shortAnswer,
} from "./targetAnswer.js";

/** Fault of a target that applies to every request while it is set. */
export type TargetFault =
    | "none"
    /** Runs the request and closes the connection instead of responding. */
    | "loseAnswer"
    /** Refuses the request as not run although slots are free. */
    | "shed"
    /** Sends a second answer right after the first. */
    | "extraAnswer"
    /** Closes the connection in the middle of the response. */
    | "cutAnswer"
    /** Refuses every second request as not run, and sends each refusal once more before the connection's next response. */
    | "repeatRefusal"
    /** Sends every fourth response with a control character in its status line. */
    | "spoilStatusLine"
    /** Sends half of an answer without a length and resets the connection right behind it. */
    | "resetAnswer"
    /** The same in two parts with a pause between them; the reset follows on the second. */
    | "resetAnswerLate"
    /** Sends an answer without a length, and right behind it a second one. */
    | "answerTwice"
    /** The same, the second one up to 60 ms late. */
    | "answerTwiceLate"
    /** Sends each answer on a kept connection once more when the connection's next request arrives. */
    | "repeatAnswer";

/** A request that the target started to run. Times are monotonic, in milliseconds. */
export interface RequestRun {
    readonly request: string;
    readonly path: string;
    readonly target: string;
    readonly service: string;
    readonly at: number;
}

/** A request that a target turned away with the time of a pause. Times are monotonic, in milliseconds. */
export interface TurnedAway {
    readonly request: string;
    readonly target: string;
    readonly at: number;
}

export interface TargetStandin {
    readonly id: string;
    readonly address: string;
    readonly runs: readonly RequestRun[];
    /** Ids of the requests that it ran, in order. */
    requestIds(): readonly string[];
    /** Sets the service time. */
    setWorkMs(workMs: number): void;
    setFault(fault: TargetFault): void;
    /** Makes all further responses say that the target leaves. */
    leave(): void;
    /** Refuses requests with the time for which the target wants none. */
    pauseFor(durationMs: number): void;
    /** Times at which requests and health checks arrived, monotonic, in milliseconds. */
    readonly arrivals: readonly number[];
    /** Requests that it turned away with the time of a pause. */
    readonly turnedAway: readonly TurnedAway[];
    close(): void;
}

export interface TargetStandinOptions {
    readonly host: string;
    /** A free port if omitted. */
    readonly port?: number;
    readonly id: string;
    readonly service?: string;
    readonly slots: number;
    /** Shape of each answer; short ones with a length if omitted. */
    readonly drawAnswer?: () => AnswerShape;
    /** Called when the target has run a request that crashes it; the target ends here. */
    readonly onCrash?: () => void;
}

/** Requests whose path contains this crash each target that runs them to the end. */
export const crashMarker = "poison";

const defaultWorkMs = 5;
/** Length of the queue per slot. */
const maxQueuedPerSlot = 2;

/** Responses to requests whose path contains this are followed by `longPadding`. */
export const longMarker = "long";
/** More than the buffers of a loopback connection hold. */
export const longPadding = Buffer.alloc(16_000_000, ".");

export async function startTargetStandin(options: TargetStandinOptions): Promise<TargetStandin> {
    const { id, slots, service = "", drawAnswer = () => shortAnswer } = options;
    const runs: RequestRun[] = [];
    const queue: (() => void)[] = [];
    let workMs = defaultWorkMs;
    let running = 0;
    let fault: TargetFault = "none";
    let isLeaving = false;
    let pausedUntil = -Infinity;
    let refusalCount = 0;
    let responseCount = 0;
    const arrivals: number[] = [];
    const turnedAway: TurnedAway[] = [];
    /** Responses to be sent once more, by connection. */
    const repeats = new WeakMap<Socket, string>();
    /** Answers that are not sent to the end. */
    const openAnswers = new Set<Answer>();

    const formatLoad = (): string => `${running},${queue.length},${slots},100`;
    const createAnswer = (request: IncomingMessage, response: ServerResponse, requestId: string): Answer => {
        const { byteCount, hasLength } = drawAnswer();
        const text = answerText(id, requestId, byteCount);
        return {
            response,
            socket: request.socket,
            requestId,
            text,
            body: request.url?.includes(longMarker) === true ? Buffer.concat([Buffer.from(text), longPadding]) : text,
            headers: { "X-Server-Stamp": "stamp", "X-Request-Id": requestId, "X-Server-Load": formatLoad() },
            // A connection that is closed with unread bytes of its request is reset, which would break the answer.
            hasLength: hasLength || !request.complete,
        };
    };
    const sendSpoilt = ({ socket, requestId, text }: Answer): void => {
        socket.write(
            `HTTP/1.1 200 O\x0b\r\nX-Server-Stamp: stamp\r\nX-Request-Id: ${requestId}\r\n`
                + `Content-Length: ${text.length}\r\n\r\n${text}`,
            () => socket.destroy(),
        );
    };
    const sendCut = ({ response, socket, headers, text, body }: Answer): void => {
        response.writeHead(200, { ...headers, "Content-Length": body.length });
        response.write(text.slice(0, text.length / 2), () => socket.destroy());
    };
    const sendExtra = (answer: Answer): void => {
        sendWhole({ ...answer, hasLength: true });
        answer.socket.write(
            `HTTP/1.1 200 OK\r\nX-Server-Stamp: stamp\r\nX-Request-Id: ${answer.requestId}\r\nContent-Length: 5\r\n\r\nextra`,
        );
    };
    const sendAndRepeat = (answer: Answer): void => {
        sendWhole({ ...answer, hasLength: true });
        repeats.set(answer.socket, formatAnswer(answer, true));
    };
    /** How answers are sent while a fault is set; the others leave answers as they are. */
    const sendByFault: Partial<Record<TargetFault, (answer: Answer) => void>> = {
        loseAnswer: ({ socket }) => void socket.destroy(),
        spoilStatusLine: answer => (++responseCount % 4 === 0 ? sendSpoilt(answer) : sendWhole(answer)),
        cutAnswer: sendCut,
        extraAnswer: sendExtra,
        resetAnswer: sendHalfAndReset,
        resetAnswerLate: sendHalfAndResetLate,
        answerTwice: answer => sendTwice(answer, 0, ++responseCount % 2 === 0),
        answerTwiceLate: answer => sendTwice(answer, secondAnswerDelayMs(++responseCount), responseCount % 2 === 0),
        repeatAnswer: sendAndRepeat,
    };
    const reply = (request: IncomingMessage, response: ServerResponse, requestId: string): void => {
        const answer = createAnswer(request, response, requestId);
        openAnswers.add(answer);
        response.once("close", () => openAnswers.delete(answer));
        (sendByFault[fault] ?? sendWhole)(answer);
    };
    const startNext = (): void => {
        running--;
        queue.shift()?.();
    };
    const run = (request: IncomingMessage, response: ServerResponse, requestId: string): void => {
        if (request.socket.destroyed) {
            queue.shift()?.();
            return;
        }
        running++;
        runs.push({ request: requestId, path: request.url ?? "", target: id, service, at: performance.now() });
        setTimeout(() => {
            startNext();
            if (request.url?.includes(crashMarker) !== true) {
                reply(request, response, requestId);
            }
            else if (!request.socket.destroyed) {
                close();
                options.onCrash?.();
            }
        }, workMs);
    };
    const refuse = (response: ServerResponse, status: number, requestId: string): void => {
        response.writeHead(status, {
            "X-Not-Run": "1",
            "X-Instance-Id": id,
            "X-Request-Id": requestId,
            "X-Server-Load": formatLoad(),
        });
        response.end();
    };
    /** Refuses the request, and remembers the refusal for the connection's next response. */
    const refuseTwice = (request: IncomingMessage, response: ServerResponse, requestId: string): void => {
        refuse(response, 503, requestId);
        repeats.set(
            request.socket,
            `HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX-Request-Id: ${requestId}\r\n`
                + `X-Server-Load: ${formatLoad()}\r\nContent-Length: 0\r\n\r\n`,
        );
    };
    const server = createServer((request, response) => {
        const requestId = String(request.headers["x-request-id"] ?? "");
        const repeat = repeats.get(request.socket);
        if (repeat !== undefined) {
            repeats.delete(request.socket);
            request.socket.write(repeat);
        }
        arrivals.push(performance.now());
        if (isLeaving) {
            response.setHeader("Server-Leaving", "1");
        }
        request.resume();
        if (request.url === "/health") {
            response.writeHead(200, { "X-Instance-Id": id, "X-Server-Load": formatLoad() }).end();
        }
        else if (request.headers["x-expect-instance"] !== id) {
            refuse(response, 421, requestId);
        }
        else if (performance.now() < pausedUntil) {
            turnedAway.push({ request: requestId, target: id, at: performance.now() });
            response.setHeader("Retry-After", String((pausedUntil - performance.now()) / 1_000));
            refuse(response, 503, requestId);
        }
        else if (fault === "repeatRefusal" && ++refusalCount % 2 === 0) {
            refuseTwice(request, response, requestId);
        }
        else if (fault === "shed" || queue.length >= maxQueuedPerSlot * slots) {
            refuse(response, 503, requestId);
        }
        else if (running >= slots) {
            queue.push(() => run(request, response, requestId));
        }
        else {
            run(request, response, requestId);
        }
    });
    const close = (): void => {
        // The server would end the connections in order, which completes an answer without a length.
        [...openAnswers].filter(({ response }) => endsWithConnection(response)).forEach(({ socket }) => socket.resetAndDestroy());
        server.close();
        server.closeAllConnections();
    };
    const { port } = await listen(server, options.host, options.port ?? 0);
    return {
        id,
        address: `${options.host}:${port}`,
        runs,
        requestIds: () => runs.map(({ request }) => request),
        setWorkMs: next => {
            workMs = next;
        },
        setFault: next => {
            fault = next;
        },
        leave: () => {
            isLeaving = true;
        },
        pauseFor: durationMs => {
            pausedUntil = performance.now() + durationMs;
        },
        arrivals,
        turnedAway,
        close,
    };
}
