/**
 * Stand-in for a caller: keeps look-up answers, fails over along them, fetches tickets for at-most-once work and sends
 * it again only as the result codes allow.
 */
import { Pool } from "undici";
import { workIdHeader } from "../target/target.js";

/** What finally became of one piece of work, as its caller sees it. */
export type WorkOutcome = "answered" | "notRun" | "unknown";

export interface WorkResult {
    readonly outcome: WorkOutcome;
    /** Last result code. */
    readonly code: number;
    readonly latencyMs: number;
    readonly attempts: number;
    /** Whether the answer named this work and no other, and was whole. */
    readonly isAnswerMatching: boolean;
}

export interface WorkItem {
    /** Name of the work, the same on every try. */
    readonly id: string;
    readonly service: string;
    readonly method: "GET" | "POST";
    readonly path: string;
    readonly isAtMostOnce: boolean;
    readonly deadlineMs: number;
    readonly body?: string;
}

export interface Caller {
    run(work: WorkItem): Promise<WorkResult>;
    close(): Promise<void>;
}

export interface CallerOptions {
    /** Address that the caller's look-ups name. */
    readonly address: string;
    /** Entries known at start; any of them answers look-ups. */
    readonly entries: readonly string[];
    readonly now: () => number;
}

interface Answer {
    readonly code: number;
    readonly status: number;
    readonly text: string;
}

const lookupMs = 1_000;
const mostTries = 6;
const againMs = 30;
/** Beyond the deadline that the entry keeps, the caller waits this much longer for its word. */
const graceMs = 1_000;

export function createCaller(options: CallerOptions): Caller {
    const pools = new Map<string, Pool>();
    let entries: readonly string[] = options.entries;
    let freshUntil = -Infinity;

    const poolOf = (url: string): Pool => {
        let pool = pools.get(url);
        if (pool === undefined) {
            pool = new Pool(url, { connections: 64, connectTimeout: lookupMs, headersTimeout: 0, bodyTimeout: 0 });
            pools.set(url, pool);
        }
        return pool;
    };
    const refresh = async (): Promise<void> => {
        if (options.now() < freshUntil) {
            return;
        }
        for (const url of [...new Set([...entries, ...options.entries])]) {
            try {
                const answer = await poolOf(url).request({
                    method: "GET",
                    path: `/v1/lookup?caller=${options.address}`,
                    signal: AbortSignal.timeout(lookupMs),
                });
                const found = await answer.body.json() as { readonly entries: string[]; readonly lifetimeMs: number; };
                if (answer.statusCode === 200 && found.entries.length > 0) {
                    entries = found.entries;
                    freshUntil = options.now() + found.lifetimeMs;
                    return;
                }
            }
            catch {
                continue;
            }
        }
    };
    const fetchTicket = async (): Promise<string | undefined> => {
        for (const url of entries) {
            try {
                const answer = await poolOf(url).request({
                    method: "POST",
                    path: "/v1/tickets",
                    signal: AbortSignal.timeout(lookupMs),
                });
                const found = await answer.body.json() as { readonly tickets?: readonly string[]; };
                if (found.tickets !== undefined) {
                    return found.tickets[0];
                }
            }
            catch {
                continue;
            }
        }
        return undefined;
    };
    const send = async (
        url: string,
        work: WorkItem,
        ticket: string | undefined,
        remainingMs: number,
    ): Promise<Answer | undefined> => {
        try {
            const answer = await poolOf(url).request({
                method: work.method,
                path: `/s/${work.service}${work.path}`,
                headers: {
                    [workIdHeader]: work.id,
                    "x-pimento-deadline-ms": String(Math.ceil(remainingMs)),
                    ...(ticket === undefined ? {} : { "x-pimento-ticket": ticket }),
                },
                body: work.body ?? null,
                signal: AbortSignal.timeout(Math.ceil(remainingMs) + graceMs),
            });
            const text = await answer.body.text();
            return { code: Number(answer.headers["x-pimento-result"] ?? 0), status: answer.statusCode, text };
        }
        catch {
            return undefined;
        }
    };
    const run = async (work: WorkItem): Promise<WorkResult> => {
        const startedAt = options.now();
        const deadlineAt = startedAt + work.deadlineMs;
        let ticket: string | undefined;
        let last: Answer | undefined;
        let sentTicket: string | undefined;
        let tries = 0;
        let mayHaveRun = false;
        const result = (end: WorkOutcome): WorkResult => ({
            outcome: end,
            code: last?.code ?? 0,
            latencyMs: options.now() - startedAt,
            attempts: tries,
            isAnswerMatching: end !== "answered" || isOwn(work, last!),
        });
        while (tries < mostTries && options.now() < deadlineAt) {
            await refresh();
            if (work.isAtMostOnce && ticket === undefined) {
                ticket = await fetchTicket();
            }
            const url = entries[tries % Math.max(1, entries.length)] ?? options.entries[0]!;
            last = await send(url, work, ticket, Math.max(1, deadlineAt - options.now()));
            tries++;
            const isFirstOfTicket = ticket !== undefined && ticket !== sentTicket;
            sentTicket = ticket;
            if (isFirstOfTicket && last?.code === issuerGoneCode) {
                // Only the issuer lets a ticket's work start, and this ticket never reached it.
                ticket = undefined;
                continue;
            }
            const kind = kindOf(last);
            if (kind === "answered") {
                return result("answered");
            }
            mayHaveRun ||= kind === "unknown" && work.isAtMostOnce;
            if (last === undefined) {
                freshUntil = -Infinity;
            }
            if (kind === "final") {
                return result(mayHaveRun ? "unknown" : "notRun");
            }
            await new Promise(resolve => setTimeout(resolve, againMs));
        }
        return result(mayHaveRun ? "unknown" : "notRun");
    };
    return {
        run,
        close: async () => {
            await Promise.all([...pools.values()].map(pool => pool.destroy()));
        },
    };
}

/** The entry that issued the ticket can't be asked. */
const issuerGoneCode = 3003;
/** Result codes whose first digit is 1 carry an answer, but 1002 only says that it ran. */
const alreadyRanCode = 1002;

/** Sorts an answer by its result code; no answer at all leaves the outcome open. */
function kindOf(answer: Answer | undefined): "answered" | "notRun" | "unknown" | "final" {
    if (answer === undefined) {
        return "unknown";
    }
    const family = Math.floor(answer.code / 1000);
    if (family === 1) {
        return answer.code === alreadyRanCode ? "final" : "answered";
    }
    return family === 2 ? "notRun" : family === 3 ? "unknown" : "final";
}

function isOwn(work: WorkItem, answer: Answer): boolean {
    if (!answer.text.startsWith("{")) {
        return true;
    }
    return (JSON.parse(answer.text) as { readonly work?: string; }).work === work.id;
}
