/** Callers as the platform's pages describe them: they look entries up, keep connections, repeat, and leave early. */
import type { Random } from "@pimentospring/core/random/random";
import { standinHost } from "@pimentospring/standin/direct/operatorStandin";
import { setTimeout as sleep } from "node:timers/promises";
import { Agent, type Dispatcher, request } from "undici";
import type { Daemon } from "../cluster/daemons.js";
import type { AttemptOutcome } from "../promises/records.js";

export interface CallersOptions {
    readonly daemons: readonly Daemon[];
    readonly random: Random;
    readonly outcomes: AttemptOutcome[];
    /** Routes for ordinary load. */
    readonly routes: readonly { readonly prefix: string; readonly isIdempotent: boolean; readonly timeoutMs: number; }[];
    /** Path that shows which configuration is in force, and the route's timeout. */
    readonly probePath: () => string;
    readonly probeTimeoutMs: number;
}

export interface Callers {
    /** Settles when all callers have ended. */
    run(callers: number, until: number): Promise<void>;
}

interface Sending {
    readonly path: string;
    readonly isIdempotent: boolean;
    readonly timeoutMs: number;
    readonly leaveAfterMs: number | undefined;
}

const deadlineMs = 2_500;
const lookUpMs = 1_000;
const mostPauseMs = 60;
/** One in this many requests: is left early, shows the configuration, goes over a new connection. */
const leaveOne = 25;
const probeOne = 12;
const freshOne = 5;
const retries = 1;

export function createCallers(options: CallersOptions): Callers {
    const { daemons, random, outcomes } = options;
    const lookUps = new Agent();
    let sequence = 0;
    const oneIn = (count: number): boolean => random.below(count) === 0;

    const lookUp = async (caller: number): Promise<readonly string[]> => {
        for (let turn = 0; turn < daemons.length; turn++) {
            const { directoryAddress: directory, placement: place } = daemons[(caller + turn) % daemons.length]!;
            try {
                const url = `http://${directory}/resolve?name=a&region=${place.region}&zone=${place.dataCentre}`;
                const answer = await request(url, { signal: AbortSignal.timeout(lookUpMs), dispatcher: lookUps });
                const body = (await answer.body.json()) as { readonly addresses?: readonly string[]; };
                if (answer.statusCode === 200 && body.addresses !== undefined) {
                    return body.addresses;
                }
            }
            catch {
                // The next one is asked; callers that find none wait and ask again.
            }
        }
        return [];
    };
    const attempt = async (
        address: string,
        sending: Sending,
        dispatcher: Dispatcher,
        leftMs: number,
    ): Promise<AttemptOutcome> => {
        const daemon = daemons.find(candidate => candidate.callersAddress === address)!;
        const id = `r${++sequence}`;
        const sentAt = performance.now();
        const common = {
            request: id,
            path: sending.path,
            isIdempotent: sending.isIdempotent,
            daemon: daemon.placement.name,
            daemonRun: daemon.runs.length - 1,
            sentAt,
            timeoutMs: Math.min(sending.timeoutMs, leftMs),
        };
        const leave = AbortSignal.timeout(sending.leaveAfterMs ?? Math.ceil(leftMs) + lookUpMs);
        try {
            const answer = await request(`http://${address}${sending.path}`, {
                method: sending.isIdempotent ? "GET" : "POST",
                headers: { "host": standinHost, "x-request-id": id, "x-deadline-ms": String(Math.floor(leftMs)) },
                dispatcher,
                signal: leave,
            });
            const text = await answer.body.text();
            const retryAfter = answer.headers["retry-after"];
            return {
                ...common,
                endedAt: performance.now(),
                status: answer.statusCode,
                text,
                isSigned: answer.headers["x-server-stamp"] !== undefined,
                retryAfterMs: retryAfter === undefined ? undefined : Number(retryAfter) * 1_000,
                isAbandoned: false,
            };
        }
        catch (error) {
            const ended = { ...common, endedAt: performance.now(), text: String((error as Error).message), isSigned: false };
            return { ...ended, status: undefined, retryAfterMs: undefined, isAbandoned: leave.aborted };
        }
    };
    const choose = (): Sending => {
        if (oneIn(probeOne)) {
            const path = options.probePath();
            return { path, isIdempotent: true, timeoutMs: options.probeTimeoutMs, leaveAfterMs: undefined };
        }
        const route = options.routes[random.below(options.routes.length)]!;
        return {
            path: `${route.prefix}${random.below(20)}`,
            isIdempotent: route.isIdempotent,
            timeoutMs: route.timeoutMs,
            leaveAfterMs: oneIn(leaveOne) ? 20 + random.below(200) : undefined,
        };
    };
    const mayRepeat = (outcome: AttemptOutcome): boolean => {
        if (outcome.status === undefined) {
            return outcome.isIdempotent && !outcome.isAbandoned;
        }
        return outcome.status === 503 || (outcome.isIdempotent && outcome.status >= 500);
    };
    const serve = async (addresses: readonly string[], kept: Agent): Promise<boolean> => {
        const sending = choose();
        const giveUpAt = performance.now() + deadlineMs;
        for (let turn = 0; turn <= retries; turn++) {
            const fresh = oneIn(freshOne) || turn > 0 ? new Agent() : undefined;
            const address = addresses[random.below(addresses.length)]!;
            const outcome = await attempt(address, sending, fresh ?? kept, giveUpAt - performance.now());
            outcomes.push(outcome);
            await fresh?.destroy();
            if (!mayRepeat(outcome)) {
                return outcome.status !== undefined || outcome.isAbandoned;
            }
            const leftMs = giveUpAt - performance.now();
            const waitMs = Math.min(outcome.retryAfterMs ?? 0, leftMs / 3);
            if (leftMs < 50) {
                return false;
            }
            await sleep(Math.max(0, waitMs));
        }
        return false;
    };
    const live = async (caller: number, until: number): Promise<void> => {
        // Open connections are used for as long as they work, also when their entry is on its way out.
        const kept = new Agent({ connections: 2, keepAliveTimeout: 10_000 });
        let addresses: readonly string[] = [];
        while (performance.now() < until) {
            if (addresses.length === 0) {
                addresses = await lookUp(caller);
            }
            if (addresses.length === 0 || !(await serve(addresses, kept))) {
                addresses = [];
            }
            await sleep(random.below(mostPauseMs));
        }
        await kept.destroy();
    };
    return {
        run: async (callers, until) => {
            await Promise.all(Array.from({ length: callers }, (_, caller) => live(caller, until)));
            await lookUps.destroy();
        },
    };
}
