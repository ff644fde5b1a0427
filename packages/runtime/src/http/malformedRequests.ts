/** Refusals of bytes that are no request, or of half a request, without harm to the answers of the requests before them. */
import type { Timer } from "@pimentospring/core/time/timer";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";

export interface MalformedRequestOptions {
    readonly server: Server;
    readonly timer: Timer;
    /** Told of the first error of a connection, at intervals; `count` is that of the connections since it was called last. */
    readonly onError: (error: NodeJS.ErrnoException, count: number) => void;
    /** The refusal, as it is written to the connection. */
    readonly refusalOf: (error: NodeJS.ErrnoException) => string;
    /** Whether the request may run though it was not received whole; no refusal is written then, as it would promise the contrary. */
    readonly mayRun?: (response: ServerResponse) => boolean;
}

/** How long a connection is kept after its refusal for its caller to close it, so that it isn't reset before it has read the refusal. */
const lingerMs = 2_000;
/** Time between two calls of `onError`, whatever the number of connections. */
const errorReportIntervalMs = 2_000;

/** Refuses malformed requests of the server from now on, and closes their connections. */
export function refuseMalformedRequests(options: MalformedRequestOptions): void {
    const { server, timer, onError, refusalOf, mayRun = () => false } = options;
    const openResponses = new WeakMap<Socket, Set<ServerResponse>>();
    const refused = new WeakSet<Socket>();
    const reportError = createErrorReport(timer, onError);
    server.on("request", ({ socket }: IncomingMessage, response: ServerResponse) => {
        const responses = openResponses.get(socket) ?? new Set();
        openResponses.set(socket, responses.add(response));
        response.once("close", () => responses.delete(response));
    });
    server.on("clientError", (error: NodeJS.ErrnoException, socket: Socket) => {
        if (refused.has(socket)) {
            return;
        }
        refused.add(socket);
        discardInput(socket);
        reportError(error);
        if (!socket.writable) {
            socket.destroy();
        }
        else {
            const responses = openResponses.get(socket) ?? new Set();
            giveUpWithCaller(socket, responses);
            // A request whose body is malformed may have been refused already.
            const isLeftOut = (response: ServerResponse): boolean => response.headersSent || mayRun(response);
            afterEarlierResponses(responses, () => end(socket, [...responses].some(isLeftOut) ? "" : refusalOf(error), timer));
        }
    });
}

function createErrorReport(timer: Timer, onError: MalformedRequestOptions["onError"]): (error: NodeJS.ErrnoException) => void {
    let reportedAt = -Infinity;
    let count = 0;
    return error => {
        count++;
        if (timer.now() >= reportedAt + errorReportIntervalMs) {
            onError(error, count);
            reportedAt = timer.now();
            count = 0;
        }
    };
}

/**
 * Keeps what arrives from the parser, which would hand over more requests, and one that is being refused once the rest of it comes.
 * It is read nevertheless, so that the caller's end is noticed.
 */
function discardInput(socket: Socket): void {
    socket.removeAllListeners("data");
    // A listener of our own is what makes the runtime take the connection from the parser.
    socket.on("data", () => {});
    socket.resume();
}

/** Gives up the responses that are still awaited when the caller ends its side, as the runtime does if its parser has no error. */
function giveUpWithCaller(socket: Socket, responses: ReadonlySet<ServerResponse>): void {
    if (socket.readableEnded && earlierResponse(responses) !== undefined) {
        socket.end();
    }
    else {
        socket.once("end", () => socket.end());
    }
}

/** A response that is still to be sent to a request that was received whole. */
const earlierResponse = (responses: ReadonlySet<ServerResponse>): ServerResponse | undefined =>
    [...responses].find(({ req }) => req.complete);

/** Calls `done` once the responses to the requests that were received whole have been sent. */
function afterEarlierResponses(responses: ReadonlySet<ServerResponse>, done: () => void): void {
    const earlier = earlierResponse(responses);
    if (earlier === undefined) {
        done();
    }
    else {
        earlier.once("close", () => afterEarlierResponses(responses, done));
    }
}

function end(socket: Socket, refusal: string, timer: Timer): void {
    if (socket.writable) {
        socket.end(refusal);
        // A caller that never closes its side would keep the connection.
        socket.once("close", timer.after(lingerMs, () => socket.destroy()));
    }
}
