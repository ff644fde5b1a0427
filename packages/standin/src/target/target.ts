/**
 * Stand-in for a target: slots, service times, cold start, slowdown, load shedding, cancellation, crashes on a poison
 * request, delayed or wrong load reports, and a count of how often each work item was started.
 */
import { createRandom, type Random } from "@pimentospring/core/random/random";
import { closeServer, createRouter, listen, readBody, sendJson } from "@pimentospring/runtime/http/jsonServer";
import type { IncomingMessage, ServerResponse } from "node:http";
import * as v from "valibot";

const behaviourSchema = v.strictObject({
    /** Mean service time in milliseconds: one half is fixed, the other exponentially distributed. */
    meanMs: v.optional(v.number()),
    /** Multiplies all service times. */
    slowFactor: v.optional(v.number()),
    /** Fraction of requests that take `stragglerFactor` times as long. */
    stragglerShare: v.optional(v.number()),
    stragglerFactor: v.optional(v.number()),
    /** Warm-up time after the start, during which requests take up to `coldFactor` times as long. */
    coldMs: v.optional(v.number()),
    coldFactor: v.optional(v.number()),
    /** Refuses every request as not started. */
    shedAll: v.optional(v.boolean()),
    /** Time for which refusals ask for a pause; 0 for none. */
    pauseMs: v.optional(v.number()),
    /** Says in every response that the target leaves. */
    leaving: v.optional(v.boolean()),
    /** Delay of the load report. */
    reportLagMs: v.optional(v.number()),
    /** Multiplies the reported load; 0 reports an idle target. */
    reportFactor: v.optional(v.number()),
    /** Leaves all requests on the connections that are open now unanswered. */
    silenceOpen: v.optional(v.boolean()),
});

export type TargetBehaviour = v.InferOutput<typeof behaviourSchema>;

export interface TargetCounts {
    started: number;
    finished: number;
    cancelled: number;
    shed: number;
    /** Requests that arrived while all slots were taken. */
    overSlots: number;
    mostInFlight: number;
    /** At-most-once work items that were started more than once. */
    runTwice: number;
}

export interface TargetStandin {
    readonly address: string;
    setBehaviour(behaviour: TargetBehaviour): void;
    counts(): TargetCounts;
    inFlight(): number;
    /** Closes the listener and all connections at once. */
    crash(): Promise<void>;
    close(): Promise<void>;
}

export interface TargetOptions {
    readonly host: string;
    readonly port: number;
    readonly slots: number;
    readonly seed: number;
    readonly behaviour?: TargetBehaviour;
    /** Called when a poison request crashes the target; the program exits here. */
    readonly onCrash?: () => void;
}

/** Requests whose path contains this crash the target. */
export const poisonPath = "/poison";
/** Header with the caller's id of a work item, the same on every attempt. */
export const workIdHeader = "x-work-id";
/** Header of a refusal which states that the request was not started. */
export const notStartedHeader = "x-not-started";

/** Header with the value 1 in each response of a target that leaves. */
const leavingHeader = "x-leaving";

const maxBodyBytes = 64 * 1024 * 1024;
const chunkBytes = 64 * 1024;

export async function createTarget(options: TargetOptions): Promise<TargetStandin> {
    const random = createRandom(options.seed);
    const startedAt = performance.now();
    const behaviour: Required<TargetBehaviour> = {
        meanMs: 5,
        slowFactor: 1,
        stragglerShare: 0,
        stragglerFactor: 20,
        coldMs: 0,
        coldFactor: 5,
        shedAll: false,
        pauseMs: 0,
        leaving: false,
        reportLagMs: 0,
        reportFactor: 1,
        silenceOpen: false,
        ...options.behaviour,
    };
    const counts: TargetCounts = {
        started: 0,
        finished: 0,
        cancelled: 0,
        shed: 0,
        overSlots: 0,
        mostInFlight: 0,
        runTwice: 0,
    };
    const startsByWorkId = new Map<string, number>();
    const silencedSockets = new WeakSet<object>();
    const sockets = new Set<object>();
    let inFlight = 0;
    let reportedInFlight = 0;

    const countStart = (request: IncomingMessage): void => {
        const work = request.headers[workIdHeader];
        if (typeof work !== "string" || request.method === "GET") {
            return;
        }
        const times = (startsByWorkId.get(work) ?? 0) + 1;
        startsByWorkId.set(work, times);
        if (times === 2) {
            counts.runTwice++;
        }
    };
    const shed = (response: ServerResponse): void => {
        counts.shed++;
        const pauseHeader = behaviour.pauseMs > 0 ? { "retry-after": String(behaviour.pauseMs / 1_000) } : {};
        response.writeHead(503, { [notStartedHeader]: "1", "content-length": 0, ...pauseHeader });
        response.end();
    };
    const run = async (request: IncomingMessage, response: ServerResponse, url: URL): Promise<void> => {
        if (silencedSockets.has(request.socket)) {
            return;
        }
        if (behaviour.leaving) {
            response.setHeader(leavingHeader, "1");
        }
        if (inFlight >= options.slots) {
            counts.overSlots++;
        }
        if (behaviour.shedAll || inFlight >= options.slots) {
            shed(response);
            return;
        }
        inFlight++;
        counts.started++;
        counts.mostInFlight = Math.max(counts.mostInFlight, inFlight);
        countStart(request);
        if (url.pathname.includes(poisonPath)) {
            void crash();
            options.onCrash?.();
            return;
        }
        const ended = new Promise<void>(resolve => response.once("close", resolve));
        const body = await readBody(request, maxBodyBytes).catch(() => undefined);
        const durationMs = Number(url.searchParams.get("ms") ?? serviceTimeMs(behaviour, random, performance.now() - startedAt));
        await Promise.race([sleep(durationMs), ended]);
        if (response.destroyed || response.closed) {
            counts.cancelled++;
        }
        else {
            counts.finished++;
            await sendAnswer(response, Number(url.searchParams.get("bytes") ?? 0), body?.length ?? 0, request);
        }
        inFlight--;
    };
    const scheduleReport = (): void => {
        const seen = inFlight;
        setTimeout(() => {
            reportedInFlight = seen;
        }, behaviour.reportLagMs).unref();
    };
    const reportTimer = setInterval(scheduleReport, 100);
    reportTimer.unref();
    const server = createRouter({
        "GET /health": (request, response) => {
            if (!silencedSockets.has(request.socket)) {
                sendJson(response, 200, { healthy: true });
            }
        },
        "GET /load": (_request, response) =>
            sendJson(response, 200, { inFlight: Math.round(reportedInFlight * behaviour.reportFactor), slots: options.slots }),
        "GET /counts": (_request, response) => sendJson(response, 200, counts),
        "POST /control": async (request, response) => {
            setBehaviour(v.parse(behaviourSchema, JSON.parse((await readBody(request, maxBodyBytes)).toString())));
            sendJson(response, 200, { ok: true });
        },
        "GET /": run,
        "HEAD /": run,
        "POST /": run,
        "PUT /": run,
        "PATCH /": run,
        "DELETE /": run,
    }, () => {});
    server.keepAliveTimeout = 30_000;
    server.on("connection", socket => {
        sockets.add(socket);
        socket.on("close", () => sockets.delete(socket));
    });
    const setBehaviour = (next: TargetBehaviour): void => {
        Object.assign(behaviour, next);
        if (next.silenceOpen) {
            sockets.forEach(socket => silencedSockets.add(socket));
        }
    };
    const crash = async (): Promise<void> => {
        clearInterval(reportTimer);
        await closeServer(server);
    };
    const address = await listen(server, options.host, options.port);
    return {
        address: `${options.host}:${address.port}`,
        setBehaviour,
        counts: () => counts,
        inFlight: () => inFlight,
        crash,
        close: crash,
    };
}

const sleep = (durationMs: number): Promise<void> => new Promise(resolve => setTimeout(resolve, durationMs));

/** Draws a service time: half of the mean is fixed, half is exponential; stragglers, cold start and slowdown multiply it. */
function serviceTimeMs(behaviour: Required<TargetBehaviour>, random: Random, ageMs: number): number {
    const baseMs = behaviour.meanMs / 2 + random.exponential(behaviour.meanMs / 2);
    const stragglerMultiplier = random.next() < behaviour.stragglerShare ? behaviour.stragglerFactor : 1;
    const coldMultiplier = ageMs < behaviour.coldMs ? 1 + (behaviour.coldFactor - 1) * (1 - ageMs / behaviour.coldMs) : 1;
    return baseMs * stragglerMultiplier * coldMultiplier * behaviour.slowFactor;
}

/** Answers with the work id, or with a body of `bytes` bytes if the request asks for one. */
async function sendAnswer(response: ServerResponse, bytes: number, received: number, request: IncomingMessage): Promise<void> {
    const work = request.headers[workIdHeader];
    if (bytes === 0) {
        sendJson(response, 200, { work: work ?? null, received });
        return;
    }
    response.writeHead(200, { "content-type": "application/octet-stream", "content-length": bytes });
    for (let left = bytes; left > 0 && !response.destroyed; left -= chunkBytes) {
        const hasBufferSpace = response.write(Buffer.alloc(Math.min(chunkBytes, left), 0x70));
        if (!hasBufferSpace) {
            await new Promise<void>(resolve => {
                response.once("drain", resolve);
                response.once("close", resolve);
            });
        }
    }
    response.end();
}
