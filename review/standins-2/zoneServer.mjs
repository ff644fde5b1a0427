/** Stand-in of a server whose zone may lose power: until it comes back it answers nothing, neither requests nor health checks. */
import { createServer } from "node:http";
import { stamp } from "./servers.mjs";

export async function startZoneServer({ host, id, service, zone, slots = 8, workMs }) {
    const queue = [];
    const runs = [];
    let running = 0;
    let isDark = false;
    let born = Date.now();
    let coldUntil = 0;
    const coldMs = () => Math.max(0, Math.ceil(coldUntil - performance.now()));
    const load = () => `${running},${queue.length},${slots},100`;
    const answer = (response, status, headers, text = "") => {
        response.writeHead(status, { ...headers, "X-Server-Load": load(), "Content-Length": text.length });
        response.end(text);
    };
    const start = (response, requestId) => {
        running++;
        runs.push(requestId);
        const ownBorn = born;
        setTimeout(() => {
            if (isDark || born !== ownBorn) {
                return;
            }
            running--;
            const headers = { "X-Request-Id": requestId, "X-Server-Stamp": stamp(id, requestId) };
            answer(response, 200, headers, `answer of ${id} to ${requestId}`);
            queue.shift()?.();
        }, workMs);
    };
    const handle = (request, response) => {
        const requestId = request.headers["x-request-id"] ?? "";
        const reject = status => answer(response, status, { "X-Not-Run": "1", "X-Request-Id": requestId });
        if (request.url === "/health") {
            answer(response, 200, { "X-Instance-Id": id, "X-Cold-Ms": coldMs() });
        }
        else if (request.headers["x-expect-instance"] !== id) {
            reject(421);
        }
        else if (running < slots) {
            start(response, requestId);
        }
        else if (queue.length < 2 * slots) {
            queue.push(() => start(response, requestId));
        }
        else {
            reject(503);
        }
    };
    const server = createServer((request, response) => {
        if (!isDark) {
            request.resume();
            request.once("end", () => handle(request, response));
        }
    });
    server.keepAliveTimeout = 10_000;
    await new Promise(resolve => server.listen(0, host, resolve));
    const address = `${host}:${server.address().port}`;
    return {
        id,
        /** Ids of the requests that it has begun to run. */
        runs,
        /** Its entry in the store. */
        entry: () => ({ service, address, zone, version: "1", slots, state: "ready", coldRemaining: `${coldMs()}ms`, sequence: 1, born }),
        /** Loses power: what it runs is lost. */
        goDark: () => {
            isDark = true;
            running = 0;
            queue.length = 0;
        },
        /** Starts again under its id, cold. */
        comeBack: coldStartMs => {
            isDark = false;
            born = Date.now();
            coldUntil = performance.now() + coldStartMs;
            server.closeAllConnections();
        },
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}
