/** Order of queued requests where callers send many ahead over one connection. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { ConnectionPlace } from "../connectionPlace.js";
import type { Job } from "../job.js";
import { createRequestQueue, type QueuedRequest, type RequestQueue } from "../requestQueue.js";
import { service } from "./fixture.js";

interface Connection {
    /** Requests in progress, in order. */
    readonly requests: { readonly queued: QueuedRequest<string>; readonly place: { ahead: number; delayMs: number; }; }[];
}

const objectiveMs = 9_000;
const requestsAhead = 32;

const jobOf = (arrivedAt: number, place: ConnectionPlace): Job<string> =>
    ({ service, isCallerRetry: false, request: { arrivedAt, place }, terms: { priority: 1 } }) as unknown as Job<string>;

function send(queue: RequestQueue<string>, connection: Connection, now: number): QueuedRequest<string> {
    const place = { ahead: connection.requests.length, delayMs: 0 };
    const queued = queue.add(jobOf(now, place), now + objectiveMs);
    connection.requests.push({ queued, place });
    return queued;
}

/** Ends the first request of the connection, after which the others move up. */
function endFirst(connection: Connection, now: number): void {
    connection.requests.shift();
    connection.requests.forEach(({ queued, place }) => {
        place.ahead--;
        place.delayMs = now - queued.job.request.arrivedAt;
    });
}

// Guards against an ordinary request that is refused as thousands sent ahead on a few connections wait for the same slots.
test("a connection's only request waits for one request of each other connection, whatever they have sent ahead", () => {
    const queue = createRequestQueue<string>();
    const connections = Array.from({ length: 30 }, (): Connection => ({ requests: [] }));
    let now = 0;
    const serveNext = (): QueuedRequest<string> => {
        now++;
        const next = queue.inServiceOrder(service, now)[0]!;
        queue.remove(next.job);
        const connection = connections.find(({ requests }) => requests[0]?.queued === next);
        if (connection !== undefined) {
            endFirst(connection, now);
            send(queue, connection, now);
        }
        return next;
    };
    connections.forEach(connection => {
        for (let sent = 0; sent < requestsAhead; sent++) {
            send(queue, connection, now);
        }
    });
    for (let served = 0; served < 500; served++) {
        serveNext();
    }
    for (let round = 0; round < 20; round++) {
        const single = send(queue, { requests: [] }, now);
        assert.ok(queue.countAhead(single, now).ahead <= connections.length);
        let servedBefore = 0;
        while (serveNext() !== single) {
            servedBefore++;
        }
        assert.ok(servedBefore <= connections.length, `${servedBefore}`);
    }
});
