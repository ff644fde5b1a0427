/** A small HTTP server with routes and JSON responses, for stand-ins and operators' interfaces. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { cutResponse } from "./responseCut.js";

export type Handler = (request: IncomingMessage, response: ServerResponse, url: URL) => void | Promise<void>;

/** Handlers by route: `GET /path`, or `GET /path/` for everything below it. */
export type Routes = Readonly<Record<string, Handler>>;

/**
 * Starts a server; rejects when the address can't be listened on, after which it may be tried again. Errors of the server once
 * it listens, such as a connection that can't be accepted, go to `onError`.
 */
export function listen(
    server: Server,
    host: string,
    port: number,
    onError: (error: Error) => void = () => {},
): Promise<AddressInfo> {
    return new Promise((resolve, reject) => {
        const onListening = (): void => {
            server.off("error", onFailure).on("error", onError);
            resolve(server.address() as AddressInfo);
        };
        const onFailure = (error: Error): void => {
            server.off("listening", onListening);
            reject(error);
        };
        server.once("error", onFailure).once("listening", onListening);
        server.listen(port, host);
    });
}

/** Listens on `address`, which is `host:port`. */
export function listenOn(server: Server, address: string, onError: (error: Error) => void): Promise<AddressInfo> {
    const { host, port } = splitAddress(address);
    return listen(server, host, port, onError);
}

/** Timeouts for receiving a request's head and the whole of it. */
const receptionTimeouts = { headersTimeout: 5_000, requestTimeout: 15_000, connectionsCheckingInterval: 1_000 };

export function createRouter(routes: Routes, onError: (error: Error) => void): Server {
    const prefixes = Object.keys(routes).filter(route => route.endsWith("/"));
    return createServer(receptionTimeouts, (request, response) => {
        const url = parseTarget(request.url ?? "/");
        if (url === undefined) {
            sendJson(response, 400, { error: "the request target is not a URL" });
            return;
        }
        const routeKey = `${request.method} ${url.pathname}`;
        const prefix = prefixes.find(route => routeKey.startsWith(route));
        const handler = routes[routeKey] ?? (prefix === undefined ? undefined : routes[prefix]);
        if (handler === undefined) {
            sendJson(response, 404, { error: `no ${routeKey} here` });
            return;
        }
        handle(handler, request, response, url).catch((error: Error) => {
            onError(error);
            if (response.headersSent) {
                // What has been sent must not look complete, and the caller must not wait for the rest.
                cutResponse(response);
            }
            else {
                sendJson(response, 500, { error: error.message });
            }
        });
    });
}

/** Turns an error that a handler throws before its first `await` into a rejection. */
async function handle(handler: Handler, request: IncomingMessage, response: ServerResponse, url: URL): Promise<void> {
    await handler(request, response, url);
}

function parseTarget(target: string): URL | undefined {
    try {
        return new URL(target, "http://localhost");
    }
    catch {
        return undefined;
    }
}

export function sendJson(response: ServerResponse, status: number, value: unknown): void {
    const body = JSON.stringify(value);
    response.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(body) });
    response.end(body);
}

/** Reads the body of a request or a response, of at most `maxBytes`; rejects a larger one and closes its connection. */
export async function readBody(message: AsyncIterable<unknown>, maxBytes: number): Promise<Buffer> {
    let blocks: Buffer[] = [];
    let smallChunks: Buffer[] = [];
    let size = 0;
    for await (const chunk of message) {
        size += (chunk as Buffer).length;
        if (size > maxBytes) {
            throw new Error(`the body is larger than ${maxBytes} bytes`);
        }
        // Chunks are joined as they arrive: the object of a small one takes more memory than its bytes, and retains the read buffer.
        smallChunks.push(chunk as Buffer);
        if (smallChunks.length >= maxJoinedChunks) {
            blocks.push(Buffer.concat(smallChunks));
            smallChunks = [];
        }
        if (blocks.length >= maxJoinedChunks) {
            blocks = [Buffer.concat(blocks)];
        }
    }
    return Buffer.concat([...blocks, ...smallChunks]);
}

/** Chunks of a body that are kept before they are joined. */
const maxJoinedChunks = 1_024;

/** Splits `host:port`. */
export function splitAddress(address: string): { readonly host: string; readonly port: number; } {
    const colon = address.lastIndexOf(":");
    return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

/** Closes a server and all its connections. */
export function closeServer(server: Server): Promise<void> {
    return new Promise(resolve => {
        server.close(() => resolve());
        server.closeAllConnections();
    });
}
