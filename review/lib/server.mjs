/** Stand-in for a server of a service, after PROTOCOL.md: one request at a time on a connection, slots, and a queue. */
import { createServer } from "node:net";

const headEnd = "\r\n\r\n";

function parseRequest(bytes) {
    const at = bytes.indexOf(headEnd);
    if (at === -1) {
        return undefined;
    }
    const [line, ...rows] = bytes.toString("latin1", 0, at).split("\r\n");
    const [method, path] = line.split(" ");
    const headers = new Map(rows.map(row => [row.slice(0, row.indexOf(":")).toLowerCase(), row.slice(row.indexOf(":") + 1).trim()]));
    const size = at + headEnd.length + Number(headers.get("content-length") ?? 0);
    return bytes.length < size ? undefined : { method, path, id: headers.get("x-request-id"), headers, size };
}

/**
 * `options.answer` may return another answer to a run, as bytes; `options.endsConnection` ends the connection after each.
 * `options.afterAnswer` returns bytes that are sent in addition, when the next request of the connection has arrived, if
 * `options.mayRepeat` still holds then.
 * `options.shed` says whether a request is rejected.
 */
export async function startServer(options) {
    const { id, host, slots, workMs, record } = options;
    const queue = [];
    const sockets = new Set();
    const arrivals = [];
    let running = 0;

    const format = (statusLine, requestId, body, headers = {}) => {
        const fields = {
            ...requestId === undefined ? {} : { "X-Request-Id": requestId },
            "X-Server-Load": `${running},${queue.length},${slots},100`,
            ...headers,
            "Content-Length": String(body.length),
        };
        const rows = Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`).join("");
        return Buffer.from(`HTTP/1.1 ${statusLine}\r\n${rows}\r\n${body}`, "latin1");
    };
    const startNext = () => {
        while (running < slots && queue.length > 0) {
            queue.shift()();
        }
    };
    const handle = (request, socket, reply) => {
        const { path, headers } = request;
        if (path === "/health") {
            reply(format("200 OK", undefined, "", { "X-Instance-Id": id }));
            return;
        }
        arrivals.push({ id: request.id, at: performance.now() });
        if (headers.get("x-expect-instance") !== id) {
            reply(format("421 Misdirected Request", request.id, "", { "X-Instance-Id": id, "X-Not-Run": "1" }));
            return;
        }
        if (queue.length >= 3 * slots || options.shed?.(request) === true) {
            record("server", id, "rejects", request.id);
            reply(format("503 Service Unavailable", request.id, "", { "X-Not-Run": "1" }));
            return;
        }
        const run = () => {
            if (socket.destroyed) {
                return;
            }
            running++;
            record("server", id, "runs", request.id);
            options.onRun?.(request);
            setTimeout(() => {
                running--;
                startNext();
                const body = `${id} ran ${request.id}`;
                reply(
                    options.answer?.(request, body, format) ?? format("200 OK", request.id, body, { "X-Server-Stamp": "stamp" }),
                    options.endsConnection === true,
                );
            }, workMs);
        };
        queue.push(run);
        startNext();
    };
    const listener = createServer({ noDelay: true }, socket => {
        let bytes = Buffer.alloc(0);
        let isBusy = false;
        let extra;
        const next = () => {
            const request = isBusy ? undefined : parseRequest(bytes);
            if (request === undefined) {
                return;
            }
            isBusy = true;
            bytes = bytes.subarray(request.size);
            if (extra !== undefined && options.mayRepeat()) {
                record("server", id, "sends its last answer once more, on a connection with the request", request.id);
                socket.write(extra);
            }
            extra = undefined;
            handle(request, socket, (answer, isLast = false) => {
                if (isLast) {
                    socket.end(answer, () => record("server", id, "has sent its whole answer to", request.id));
                    return;
                }
                socket.write(answer);
                extra = options.afterAnswer?.(request, answer);
                isBusy = false;
                next();
            });
        };
        sockets.add(socket);
        socket.once("close", () => sockets.delete(socket));
        socket.on("error", () => socket.destroy());
        socket.on("data", chunk => {
            bytes = Buffer.concat([bytes, chunk]);
            next();
        });
    });
    await new Promise(resolve => listener.listen(0, host, resolve));
    return {
        id,
        /** Requests that reached it, health checks apart. */
        arrivals,
        address: `${host}:${listener.address().port}`,
        close: () => {
            listener.close();
            sockets.forEach(socket => socket.destroy());
        },
    };
}

/** What a server writes of itself to the store. */
export const serverEntry = (server, fields) => ({
    address: server.address,
    version: "v1",
    state: "ready",
    coldRemaining: "0ms",
    sequence: 1,
    ...fields,
});
