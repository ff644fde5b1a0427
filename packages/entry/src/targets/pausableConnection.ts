/**
 * Connections to targets whose reading can be paused. It stops at the socket: undici's parser fails an assertion of its own
 * where a connection ends while the parser is paused.
 */
import { createWholeResponseClient } from "@pimentospring/runtime/http/wholeResponses";
import type { Socket } from "node:net";
import type { Dispatcher, Pool } from "undici";

interface Reading {
    pause(): void;
    resume(): void;
}

const noReading: Reading = { pause: () => {}, resume: () => {} };

/** Creates the client of one connection, which carries one request at a time and takes only whole responses for whole. */
export function createPausableClient(origin: URL, options: Pool.Options): Dispatcher {
    let reading = noReading;
    const client = createWholeResponseClient(origin, options, socket => {
        reading = controlReading(socket);
    });
    return client.compose(dispatch => (request, handler) => dispatch(request, withReading(handler, () => reading)));
}

function controlReading(socket: Socket): Reading {
    const read = socket.read.bind(socket);
    let isPaused = false;
    socket.read = (size?: number): unknown => isPaused ? null : read(size);
    return {
        pause: () => {
            isPaused = true;
        },
        resume: () => {
            if (isPaused) {
                isPaused = false;
                // Deferred, as the parser can't be entered again from one of its own callbacks.
                process.nextTick(() => socket.emit("readable"));
            }
        },
    };
}

/** The same handler, with a controller that pauses and resumes the socket. */
function withReading(handler: Dispatcher.DispatchHandler, reading: () => Reading): Dispatcher.DispatchHandler {
    return {
        onRequestStart: (controller, context) => {
            const { pause, resume } = reading();
            handler.onRequestStart?.(Object.assign(controller, { pause, resume }), context);
        },
        onResponseStart: (controller, status, headers, statusText) =>
            handler.onResponseStart?.(controller, status, headers, statusText),
        onResponseData: (controller, chunk) => handler.onResponseData?.(controller, chunk),
        onResponseEnd: (controller, trailers) => {
            // The connection's next response must not find it paused.
            controller.resume();
            handler.onResponseEnd?.(controller, trailers);
        },
        onResponseError: (controller, error) => handler.onResponseError?.(controller, error),
    };
}
