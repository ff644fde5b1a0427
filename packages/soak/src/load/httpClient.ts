/**
 * The callers' HTTP client. An answer without a length is received only with the orderly end of its connection; HTTP libraries also take
 * a reset for its end.
 */
import { type ConnectionEnd, watchConnectionEnd } from "@pimentospring/runtime/http/connectionEnd";
import { type IncomingHttpHeaders, type IncomingMessage, request, type RequestOptions } from "node:http";
import type { Socket } from "node:net";

/** An answer whose head has arrived. */
export interface BegunAnswer {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    /** The body; throws where the answer breaks off. */
    readonly chunks: AsyncIterable<Buffer>;
}

const connectionEnds = new WeakMap<Socket, () => ConnectionEnd>();

/** Sends a request; resolves when the head of its answer has arrived. */
export const beginRequest = (url: string, options: RequestOptions, body: Buffer = Buffer.alloc(0)): Promise<BegunAnswer> =>
    new Promise((resolve, reject) => {
        const sent = request(
            url,
            options,
            message => resolve({ status: message.statusCode!, headers: message.headers, chunks: readToEnd(message) }),
        );
        sent.on("socket", watchOnce);
        // Later errors reach the reader of the body.
        sent.on("error", reject);
        sent.end(body);
    });

/** Watches a connection from its first request on. */
function watchOnce(socket: Socket): void {
    if (!connectionEnds.has(socket)) {
        connectionEnds.set(socket, watchConnectionEnd(socket));
    }
}

async function* readToEnd(message: IncomingMessage): AsyncGenerator<Buffer> {
    const connectionEnd = connectionEnds.get(message.socket)!;
    for await (const chunk of message) {
        yield chunk as Buffer;
    }
    if (endsWithConnection(message) && connectionEnd() !== "orderly") {
        throw new Error("the connection broke in the middle of an answer without a length");
    }
}

const bodilessStatuses: readonly (number | undefined)[] = [204, 304];

const endsWithConnection = ({ headers, statusCode }: IncomingMessage): boolean =>
    headers["content-length"] === undefined && headers["transfer-encoding"] === undefined &&
    !bodilessStatuses.includes(statusCode);
