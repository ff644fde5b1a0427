/**
 * HTTP clients of undici that take a response for whole only if it is known to be. undici completes a body without a length
 * whenever its connection ends, also if it was reset.
 */
import type { Socket } from "node:net";
import { buildConnector, Client, type Dispatcher, type Pool } from "undici";
import { type ConnectionEnd, watchConnectionEnd } from "./connectionEnd.js";
import { type FramingHead, framingOf, isWhole, isWholeDespite, receivedHeaders } from "./responseFraming.js";

/**
 * Creates the client of one connection, which carries one request at a time. A response whose body ends with its connection
 * fails unless the connection has ended in order. To be passed as `factory` to a `Pool`.
 */
export function createWholeResponseClient(
    origin: URL | string,
    options: Pool.Options,
    onSocket: (socket: Socket) => void = () => {},
): Dispatcher {
    const connectSocket = typeof options.connect === "function" ? options.connect : buildConnector(options.connect ?? {});
    let connectionEnd = (): ConnectionEnd => "none";
    const connect: buildConnector.connector = (target, callback) =>
        connectSocket(target, (...outcome) => {
            const [error, socket] = outcome;
            // The socket is undefined where the connection failed.
            if (error === null) {
                connectionEnd = watchConnectionEnd(socket);
                onSocket(socket);
            }
            callback(...outcome);
        });
    return new Client(origin, { ...options, connect, pipelining: 1 }).compose(dispatch => (request, handler) =>
        dispatch(request, requireWholeResponse(request.method, handler, () => connectionEnd()))
    );
}

/** The same handler, with a failure in place of the end of a response that may not be whole. */
function requireWholeResponse(
    method: string,
    handler: Dispatcher.DispatchHandler,
    connectionEnd: () => ConnectionEnd,
): Dispatcher.DispatchHandler {
    let head: FramingHead = { status: 0, rawHeaders: [] };
    return {
        onRequestStart: (controller, context) => handler.onRequestStart?.(controller, context),
        onRequestUpgrade: (controller, status, headers, socket) =>
            handler.onRequestUpgrade?.(controller, status, headers, socket),
        onResponseStart: (controller, status, headers, statusText) => {
            head = { status, rawHeaders: receivedHeaders(controller) };
            handler.onResponseStart?.(controller, status, headers, statusText);
        },
        onResponseData: (controller, chunk) => handler.onResponseData?.(controller, chunk),
        onResponseEnd: (controller, trailers) => {
            const end = connectionEnd();
            if (!isWhole(framingOf(method, head, end), end)) {
                handler.onResponseError?.(controller, new Error("the connection was reset before the end of the response"));
                return;
            }
            handler.onResponseEnd?.(controller, trailers);
        },
        onResponseError: (controller, error) => {
            if (isWholeDespite(head.status, error)) {
                handler.onResponseEnd?.(controller, {});
                return;
            }
            handler.onResponseError?.(controller, error);
        },
    };
}
