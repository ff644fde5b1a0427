/**
 * Stand-in for a target: slots, service times, cold start, slow spells, shedding, cancellation, deadlines, death under
 * a poison request, load reports that lag or mislead, and a count of how often each piece of work was run.
 */
import { createRandom, type Random } from "@pimentospring/core/random/random";
import { closeServer, createRouter, listen, readBody, sendJson } from "@pimentospring/runtime/http/jsonServer";
import type { IncomingMessage, ServerResponse } from "node:http";
import * as v from "valibot";

const behaviourSchema = v.strictObject({
    /** Mean time to run a request, in milliseconds; each takes half of it and an exponential rest. */
    meanMs: v.optional(v.number()),
    /** Service times are multiplied by this. */
    slowFactor: v.optional(v.number()),
    /** Share of requests that take `stragglerFactor` times as long. */
    stragglerShare: v.optional(v.number()),
    stragglerFactor: v.optional(v.number()),
    /** Time after start during which requests take up to `coldFactor` times as long. */
    coldMs: v.optional(v.number()),
    coldFactor: v.optional(v.number()),
    /** Refuses everything before starting it. */
    shedAll: v.optional(v.boolean()),
    /** Time by which the load report lags. */
    reportLagMs: v.optional(v.number()),
    /** Multiplies the reported load; 0 reports an idle target. */
    reportFactor: v.optional(v.number()),
    /** Answers nothing on connections that are open now. */
    silenceOpen: v.optional(v.boolean()),
});

export type TargetBehaviour = v.InferOutput<typeof behaviourSchema>;

export interface TargetCounts {
    started: number;
    finished: number;
    cancelled: number;
    shed: number;
    /** Requests that came while all slots were taken. */
    overSlots: number;
    mostInFlight: number;
    /** Pieces of at-most-once work that were started more than once. */
    runTwice: number;
}

export interface TargetStandin {
    readonly address: string;
    setBehaviour(behaviour: TargetBehaviour): void;
    counts(): TargetCounts;
    inFlight(): number;
    /** Ends all connections at once and listens no more. */
    crash(): Promise<void>;
    close(): Promise<void>;
}

export interface TargetOptions {
    readonly host: string;
    readonly port: number;
    readonly slots: number;
    readonly seed: number;
    readonly behaviour?: TargetBehaviour;
    /** Called when a poison request kills the target; a process exits here. */
    readonly onCrash?: () => void;
}

/** Path whose requests kill the target that runs them. */
export const poisonPath = "/poison";
/** Header with the caller's name for a piece of work; the same on every try. */
export const workIdHeader = "x-work-id";
/** Header of a refusal that tells that the request was not started. */
export const notStartedHeader = "x-not-started";

const mostBodyBytes = 64 * 1024 * 1024;
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
    const runs = new Map<string, number>();
    const silent = new WeakSet<object>();
    const sockets = new Set<object>();
    let inFlight = 0;
    let reported = 0;

    const countRun = (request: IncomingMessage): void => {
        const work = request.headers[workIdHeader];
        if (typeof work !== "string" || request.method === "GET") {
            return;
        }
        const times = (runs.get(work) ?? 0) + 1;
        runs.set(work, times);
        if (times === 2) {
            counts.runTwice++;
        }
    };
    const shed = (response: ServerResponse): void => {
        counts.shed++;
        response.writeHead(503, { [notStartedHeader]: "1", "content-length": 0 });
        response.end();
    };
    const run = async (request: IncomingMessage, response: ServerResponse, url: URL): Promise<void> => {
        if (silent.has(request.socket)) {
            return;
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
        countRun(request);
        if (url.pathname.includes(poisonPath)) {
            void die();
            options.onCrash?.();
            return;
        }
        const ended = new Promise<void>(resolve => response.once("close", resolve));
        const body = await readBody(request, mostBodyBytes).catch(() => undefined);
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
    const report = (): void => {
        const seen = inFlight;
        setTimeout(() => {
            reported = seen;
        }, behaviour.reportLagMs).unref();
    };
    const reporting = setInterval(report, 100);
    reporting.unref();
    const server = createRouter({
        "GET /health": (request, response) => {
            if (!silent.has(request.socket)) {
                sendJson(response, 200, { healthy: true });
            }
        },
        "GET /load": (_request, response) =>
            sendJson(response, 200, { inFlight: Math.round(reported * behaviour.reportFactor), slots: options.slots }),
        "GET /counts": (_request, response) => sendJson(response, 200, counts),
        "POST /control": async (request, response) => {
            set(v.parse(behaviourSchema, JSON.parse((await readBody(request, mostBodyBytes)).toString())));
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
    const set = (next: TargetBehaviour): void => {
        Object.assign(behaviour, next);
        if (next.silenceOpen) {
            sockets.forEach(socket => silent.add(socket));
        }
    };
    const die = async (): Promise<void> => {
        clearInterval(reporting);
        await closeServer(server);
    };
    const address = await listen(server, options.host, options.port);
    return {
        address: `${options.host}:${address.port}`,
        setBehaviour: set,
        counts: () => counts,
        inFlight: () => inFlight,
        crash: die,
        close: die,
    };
}

const sleep = (durationMs: number): Promise<void> => new Promise(resolve => setTimeout(resolve, durationMs));

/** Half of the mean is fixed and half is exponential; stragglers and cold starts multiply it. */
function serviceTimeMs(behaviour: Required<TargetBehaviour>, random: Random, ageMs: number): number {
    const usual = behaviour.meanMs / 2 + random.exponential(behaviour.meanMs / 2);
    const straggling = random.next() < behaviour.stragglerShare ? behaviour.stragglerFactor : 1;
    const cold = ageMs < behaviour.coldMs ? 1 + (behaviour.coldFactor - 1) * (1 - ageMs / behaviour.coldMs) : 1;
    return usual * straggling * cold * behaviour.slowFactor;
}

/** Answers the work's id, and `bytes` more where the request asks for them. */
async function sendAnswer(response: ServerResponse, bytes: number, received: number, request: IncomingMessage): Promise<void> {
    const work = request.headers[workIdHeader];
    if (bytes === 0) {
        sendJson(response, 200, { work: work ?? null, received });
        return;
    }
    response.writeHead(200, { "content-type": "application/octet-stream", "content-length": bytes });
    for (let left = bytes; left > 0 && !response.destroyed; left -= chunkBytes) {
        const isTaken = response.write(Buffer.alloc(Math.min(chunkBytes, left), 0x70));
        if (!isTaken) {
            await new Promise<void>(resolve => {
                response.once("drain", resolve);
                response.once("close", resolve);
            });
        }
    }
    response.end();
}
