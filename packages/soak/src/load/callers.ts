/** Callers as the platform documents them: they look up entries, keep connections open, retry, and disconnect early. */
import type { Random } from "@pimentospring/core/random/random";
import { standinHost } from "@pimentospring/standin/direct/operatorStandin";
import { crashMarker, longMarker, longPadding } from "@pimentospring/standin/direct/targetStandin";
import { Agent, type IncomingHttpHeaders } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { Agent as LookupAgent, request } from "undici";
import type { Daemon } from "../cluster/daemons.js";
import { gracePeriodMs } from "../cluster/deployment.js";
import type { AttemptOutcome } from "../promises/records.js";
import { beginRequest, type BegunAnswer } from "./httpClient.js";

export interface CallersOptions {
    readonly daemons: readonly Daemon[];
    readonly random: Random;
    /** Draws the bodies of requests, apart from what else is drawn. */
    readonly bodyRandom: Random;
    /** Draws the paces at which long answers are read, likewise. */
    readonly paceRandom: Random;
    readonly outcomes: AttemptOutcome[];
    /** Routes of the ordinary load. */
    readonly routes: readonly { readonly prefix: string; readonly isIdempotent: boolean; readonly timeoutMs: number; }[];
    /** Path of a route that exists only in the latest configurations, and that route's timeout. */
    readonly probePath: () => string;
    readonly probeTimeoutMs: number;
    /** Third byte of the loopback addresses. */
    readonly loopbackSubnet: number;
    /** Whether some callers read more slowly than a stopping daemon can wait for. */
    readonly hasOutlastingReaders: boolean;
    /** End of the fault phase. */
    readonly calmFrom: number;
}

export interface Callers {
    /** Resolves when all callers have ended. */
    run(callers: number, until: number): Promise<void>;
    /** Sends copies of a request that crashes targets to all daemons, each from another address, until `until`. */
    sendCrashing(from: number, until: number): Promise<void>;
}

interface RequestPlan {
    readonly path: string;
    readonly isIdempotent: boolean;
    readonly timeoutMs: number;
    readonly abandonAfterMs: number | undefined;
    /** At which pace a long answer is read; other answers are read at once. */
    readonly readingPace?: ReadingPace | undefined;
    readonly body?: Buffer | undefined;
}

const deadlineMs = 2_500;
const lookupTimeoutMs = 1_000;
const maxPauseMs = 60;
/** Pauses of many callers are longer, so that they send no more than about this many requests a second. */
const maxRequestsPerSecond = 100;
/** One in this many requests that are not idempotent has a body of up to this length. */
const bodyInterval = 10;
const maxBodyBytes = 4_000_000;
const bodyBytes = Buffer.alloc(maxBodyBytes, "b");

/** Pause after each chunk of a long answer, and the time for all of it. */
interface ReadingPace {
    readonly chunkPauseMs: number;
    readonly maxMs: number;
    /** Whether a daemon that stops has to end before the answer does. */
    readonly outlastsStop: boolean;
}

const ordinaryPace: ReadingPace = { chunkPauseMs: 4, maxMs: 10_000, outlastsStop: false };
const slowestPace: ReadingPace = { chunkPauseMs: 80, maxMs: 40_000, outlastsStop: true };
const manyCallersPace: ReadingPace = { chunkPauseMs: 40, maxMs: 40_000, outlastsStop: true };
/** From this number of callers on, some of them read nothing but long answers, at the slower pace. */
export const manyCallers = 100;
const slowCallerInterval = 8;
/** One in this many long answers of few callers is read at the slowest pace, one at a time, as a daemon's memory holds few. */
const slowestInterval = 8;
/** One in this many requests of few callers has a long answer. */
const slowReadInterval = 60;
/** One in this many requests is abandoned early, probes the configuration, or uses a new connection, respectively. */
const abandonInterval = 25;
const probeInterval = 12;
const newConnectionInterval = 5;
const maxRetries = 1;
/** A caller makes no attempt with less time left. */
const minAttemptMs = 50;
const crashingPath = `/look/${crashMarker}`;
const crashingIntervalMs = 200;
const crashingAddressCount = 40;
const firstCrashingAddress = 200;

interface ReadAnswer {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    readonly text: string;
}

async function collect(chunks: AsyncIterable<Buffer>, chunkPauseMs = 0): Promise<Buffer> {
    const collected: Buffer[] = [];
    for await (const chunk of chunks) {
        collected.push(chunk);
        if (chunkPauseMs > 0) {
            await sleep(chunkPauseMs);
        }
    }
    return Buffer.concat(collected);
}

async function readAtOnce({ status, headers, chunks }: BegunAnswer): Promise<ReadAnswer> {
    return { status, headers, text: (await collect(chunks)).toString("latin1") };
}

/** Reads an answer in chunks with pauses between them; leaves out the padding of a long one. */
async function readSlowly({ status, headers, chunks }: BegunAnswer, { chunkPauseMs }: ReadingPace): Promise<ReadAnswer> {
    const bytes = await collect(chunks, chunkPauseMs);
    const textBytes = status === 200 ? bytes.length - longPadding.length : bytes.length;
    const isWhole = status !== 200 || bytes.subarray(textBytes).equals(longPadding);
    return { status, headers, text: isWhole ? bytes.toString("latin1", 0, textBytes) : "the padding is not whole" };
}

export function createCallers(options: CallersOptions): Callers {
    const { daemons, random, outcomes } = options;
    const lookupAgent = new LookupAgent();
    let sequence = 0;
    let areFew = true;
    let isReadingSlowest = false;
    let endsAt = Infinity;
    const oneIn = (count: number): boolean => random.below(count) === 0;

    const lookupEntries = async (caller: number): Promise<readonly string[]> => {
        for (let turn = 0; turn < daemons.length; turn++) {
            const { listen, placement } = daemons[(caller + turn) % daemons.length]!;
            try {
                const url = `http://${listen.directory}/resolve?name=a&region=${placement.region}&zone=${placement.dataCentre}`;
                const answer = await request(url, { signal: AbortSignal.timeout(lookupTimeoutMs), dispatcher: lookupAgent });
                const body = (await answer.body.json()) as { readonly addresses?: readonly string[]; };
                if (answer.statusCode === 200 && body.addresses !== undefined) {
                    return body.addresses;
                }
            }
            catch {
                // Tries the next daemon; a caller that gets no addresses pauses and looks up again.
            }
        }
        return [];
    };
    /** Answers whose reading outlasts a stop are abandoned when no stop is left to outlast, or at the end of the run. */
    const abandonAtEndMs = (plan: RequestPlan, patienceMs: number): number | undefined => {
        const abandonAt = plan.readingPace === slowestPace ? options.calmFrom + gracePeriodMs : endsAt;
        const leftMs = Math.max(0, Math.ceil(abandonAt - performance.now()));
        return plan.readingPace?.outlastsStop === true && leftMs < patienceMs ? leftMs : undefined;
    };
    const attempt = async (
        address: string,
        plan: RequestPlan,
        agent: Agent,
        leftMs: number,
    ): Promise<AttemptOutcome> => {
        const daemon = daemons.find(candidate => candidate.listen.callers === address)!;
        const id = `r${++sequence}`;
        const sentAt = performance.now();
        const common = {
            request: id,
            path: plan.path,
            isIdempotent: plan.isIdempotent,
            daemon: daemon.placement.name,
            daemonRun: daemon.servingRun(),
            sentAt,
            timeoutMs: Math.min(plan.timeoutMs, leftMs),
            outlastsStop: plan.readingPace?.outlastsStop ?? false,
        };
        const patienceMs = Math.ceil(leftMs) + (plan.readingPace?.maxMs ?? lookupTimeoutMs);
        const abandonAfterMs = plan.abandonAfterMs ?? abandonAtEndMs(plan, patienceMs);
        const abortSignal = AbortSignal.timeout(abandonAfterMs ?? patienceMs);
        let begunAt: number | undefined;
        try {
            const url = `http://${address}${plan.path}`;
            const method = plan.isIdempotent ? "GET" : "POST";
            const headers = { "host": standinHost, "x-request-id": id, "x-deadline-ms": String(Math.floor(leftMs)) };
            const begun = await beginRequest(url, { method, headers, agent, signal: abortSignal }, plan.body);
            begunAt = performance.now();
            const answer = await (plan.readingPace === undefined ? readAtOnce(begun) : readSlowly(begun, plan.readingPace));
            const retryAfter = answer.headers["retry-after"];
            return {
                ...common,
                endedAt: performance.now(),
                status: answer.status,
                text: answer.text,
                isSigned: answer.headers["x-server-stamp"] !== undefined,
                retryAfterMs: retryAfter === undefined ? undefined : Number(retryAfter) * 1_000,
                isAbandoned: false,
                begunAt,
                isCut: false,
            };
        }
        catch (error) {
            const ended = { ...common, endedAt: performance.now(), text: String((error as Error).message), isSigned: false };
            const isAbandoned = abandonAfterMs !== undefined && abortSignal.aborted;
            return { ...ended, status: undefined, retryAfterMs: undefined, isAbandoned, begunAt, isCut: begunAt !== undefined };
        }
    };
    const drawPace = (): ReadingPace => {
        if (!areFew) {
            return manyCallersPace;
        }
        const isSlowest = options.paceRandom.below(slowestInterval) === 0 && !isReadingSlowest
            && options.hasOutlastingReaders && performance.now() < options.calmFrom;
        return isSlowest ? slowestPace : ordinaryPace;
    };
    const planRequest = (caller: number): RequestPlan => {
        if (oneIn(probeInterval)) {
            const path = options.probePath();
            const timeoutMs = options.probeTimeoutMs;
            return { path, isIdempotent: true, timeoutMs, abandonAfterMs: undefined };
        }
        const route = options.routes[random.below(options.routes.length)]!;
        const isSlowlyRead = areFew ? oneIn(slowReadInterval) : caller % slowCallerInterval === 0;
        const hasBody = !route.isIdempotent && options.bodyRandom.below(bodyInterval) === 0;
        return {
            path: `${route.prefix}${isSlowlyRead ? longMarker : ""}${random.below(20)}`,
            isIdempotent: route.isIdempotent,
            timeoutMs: route.timeoutMs,
            abandonAfterMs: oneIn(abandonInterval) ? 20 + random.below(200) : undefined,
            readingPace: isSlowlyRead ? drawPace() : undefined,
            body: hasBody ? bodyBytes.subarray(0, options.bodyRandom.below(maxBodyBytes)) : undefined,
        };
    };
    const isRetryable = (outcome: AttemptOutcome): boolean => {
        if (outcome.status === undefined) {
            return outcome.isIdempotent && !outcome.isAbandoned;
        }
        return outcome.status === 503 || (outcome.isIdempotent && outcome.status >= 500);
    };
    const sendWithRetry = async (caller: number, addresses: readonly string[], keptAgent: Agent): Promise<boolean> => {
        const plan = planRequest(caller);
        if (plan.readingPace !== slowestPace) {
            return sendPlan(plan, addresses, keptAgent);
        }
        isReadingSlowest = true;
        const isAnswered = await sendPlan(plan, addresses, keptAgent);
        isReadingSlowest = false;
        return isAnswered;
    };
    const sendPlan = async (plan: RequestPlan, addresses: readonly string[], keptAgent: Agent): Promise<boolean> => {
        const giveUpAt = performance.now() + deadlineMs;
        for (let turn = 0; turn <= maxRetries; turn++) {
            const newAgent = oneIn(newConnectionInterval) || turn > 0 ? new Agent({ keepAlive: true }) : undefined;
            const address = addresses[random.below(addresses.length)]!;
            const outcome = await attempt(address, plan, newAgent ?? keptAgent, giveUpAt - performance.now());
            outcomes.push(outcome);
            newAgent?.destroy();
            if (!isRetryable(outcome)) {
                return outcome.status !== undefined || outcome.isAbandoned;
            }
            const leftMs = giveUpAt - performance.now();
            const waitMs = Math.min(outcome.retryAfterMs ?? 0, leftMs / 3);
            if (leftMs < minAttemptMs) {
                return false;
            }
            await sleep(Math.max(0, waitMs));
            // A busy machine may wake it long after that.
            if (performance.now() > giveUpAt - minAttemptMs) {
                return false;
            }
        }
        return false;
    };
    const runCaller = async (caller: number, until: number, pauseMs: number): Promise<void> => {
        // Connections are reused for as long as they work, also while their entry is shutting down.
        const keptAgent = new Agent({ keepAlive: true, maxSockets: 2 });
        let addresses: readonly string[] = [];
        while (performance.now() < until) {
            if (addresses.length === 0) {
                addresses = await lookupEntries(caller);
            }
            if (addresses.length === 0 || !(await sendWithRetry(caller, addresses, keptAgent))) {
                addresses = [];
            }
            await sleep(random.below(pauseMs));
        }
        keptAgent.destroy();
    };
    const sendCopy = async (copy: number): Promise<void> => {
        const localAddress = `127.0.${options.loopbackSubnet}.${firstCrashingAddress + copy % crashingAddressCount}`;
        const agent = new Agent({ localAddress });
        const plan = {
            path: crashingPath,
            isIdempotent: true,
            timeoutMs: deadlineMs,
            abandonAfterMs: undefined,
        };
        const { listen } = daemons[copy % daemons.length]!;
        outcomes.push(await attempt(listen.callers, plan, agent, deadlineMs));
        agent.destroy();
    };
    return {
        sendCrashing: async (from, until) => {
            await sleep(Math.max(0, from - performance.now()));
            const copies: Promise<void>[] = [];
            while (performance.now() < until) {
                copies.push(sendCopy(copies.length));
                await sleep(crashingIntervalMs);
            }
            await Promise.all(copies);
        },
        run: async (callers, until) => {
            const pauseMs = Math.max(maxPauseMs, Math.round(2_000 * callers / maxRequestsPerSecond));
            endsAt = until;
            areFew = callers < manyCallers;
            await Promise.all(Array.from({ length: callers }, async (_, caller) => {
                // Callers don't begin all at once.
                await sleep(pauseMs * caller / callers);
                await runCaller(caller, until, pauseMs);
            }));
            await lookupAgent.destroy();
        },
    };
}
