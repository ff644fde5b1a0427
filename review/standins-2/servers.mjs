/** Stand-in of a server: checks the expected instance, runs requests in slots with a queue, and answers as PROTOCOL.md says. */
import { createServer } from "node:http";

export const stamp = (id, requestId) => `stamp.${id}.${requestId}`;

/**
 * `answer` may take the place of the usual answer; it gets the request, its response, a function that sends the usual one, and the run,
 * or what stands for it where the request was rejected. `isShed` tells whether the next request is rejected though there is room.
 */
export async function startServer({ host, id, service, zone, slots = 8, workMs = 50, isShed = () => false, answer = (_request, _response, usual) => usual() }) {
    const runs = [];
    const queue = [];
    let running = 0;
    const load = () => `${running},${queue.length},${slots},100`;
    const baseHeaders = requestId => ({ "X-Request-Id": requestId, "X-Server-Load": load() });
    const reject = (request, response, status, requestId) => {
        const usual = () => {
            response.writeHead(status, { "X-Not-Run": "1", ...baseHeaders(requestId), "Content-Length": 0 });
            response.end();
        };
        answer(request, response, usual, { requestId, server: id, status });
    };
    const finish = (request, response, run, body) => {
        running--;
        run.endedAt = performance.now();
        const usual = () => {
            const text = `answer of ${id} to ${run.requestId}`;
            run.status = 200;
            response.writeHead(200, {
                ...baseHeaders(run.requestId),
                "X-Server-Stamp": stamp(id, run.requestId),
                "Content-Length": text.length,
            });
            response.end(text);
        };
        if (!request.socket.destroyed) {
            answer(request, response, usual, run, body);
        }
        queue.shift()?.();
    };
    const start = (request, response, requestId, body) => {
        if (request.socket.destroyed) {
            queue.shift()?.();
            return;
        }
        running++;
        const run = { requestId, server: id, service, path: request.url, at: performance.now(), endedAt: undefined, status: undefined };
        runs.push(run);
        setTimeout(() => finish(request, response, run, body), typeof workMs === "function" ? workMs(request) : workMs);
    };
    const server = createServer((request, response) => {
        const requestId = request.headers["x-request-id"] ?? "";
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.on("error", () => {});
        request.on("end", () => {
            if (request.url === "/health") {
                response.writeHead(200, { "X-Instance-Id": id, "X-Server-Load": load(), "Content-Length": 0 });
                response.end();
            }
            else if (request.headers["x-expect-instance"] !== id) {
                reject(request, response, 421, requestId);
            }
            else if (isShed()) {
                reject(request, response, 503, requestId);
            }
            else if (running < slots) {
                start(request, response, requestId, Buffer.concat(chunks));
            }
            else if (queue.length < 2 * slots) {
                queue.push(() => start(request, response, requestId, Buffer.concat(chunks)));
            }
            else {
                reject(request, response, 503, requestId);
            }
        });
    });
    server.keepAliveTimeout = 10_000;
    await new Promise(resolve => server.listen(0, host, resolve));
    const address = `${host}:${server.address().port}`;
    const entry = { service, address, zone, version: "1", slots, coldRemaining: "0ms", sequence: 1, born: Date.now() };
    return {
        id,
        address,
        runs,
        /** Its entry in the store. */
        entry: state => ({ ...entry, state }),
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}
