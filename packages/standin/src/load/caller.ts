/**
 * Stand-in for a caller: caches look-up answers, fails over between entries, fetches tickets for at-most-once work and
 * retries only as far as the result codes allow.
 */
import { createWholeResponseClient } from "@pimentospring/runtime/http/wholeResponses";
import { Pool } from "undici";
import { workIdHeader } from "../target/target.js";

/** Final outcome of a work item as seen by its caller. */
export type WorkOutcome = "answered" | "notRun" | "unknown";

export interface WorkResult {
    readonly outcome: WorkOutcome;
    /** Last result code. */
    readonly code: number;
    readonly latencyMs: number;
    readonly attempts: number;
    /** Whether the answer carries the id of this work item. */
    readonly isAnswerMatching: boolean;
}

export interface WorkItem {
    /** Id of the work item, the same on every attempt. */
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
    /** Caller address that look-ups carry. */
    readonly address: string;
    /** URLs of the entries known at the start; any of them answers look-ups. */
    readonly entries: readonly string[];
    readonly now: () => number;
}

interface Answer {
    readonly code: number;
    readonly status: number;
    readonly text: string;
}

const lookupTimeoutMs = 1_000;
const maxAttempts = 6;
const retryDelayMs = 30;
/** Time that the caller waits for an answer after the deadline, which the entry keeps. */
const graceMs = 1_000;

export function createCaller(options: CallerOptions): Caller {
    const pools = new Map<string, Pool>();
    let entries: readonly string[] = options.entries;
    let lookupValidUntil = -Infinity;

    const getPool = (url: string): Pool => {
        let pool = pools.get(url);
        if (pool === undefined) {
            pool = new Pool(url, {
                connections: 64,
                connectTimeout: lookupTimeoutMs,
                headersTimeout: 0,
                bodyTimeout: 0,
                factory: createWholeResponseClient,
            });
            pools.set(url, pool);
        }
        return pool;
    };
    const refresh = async (): Promise<void> => {
        if (options.now() < lookupValidUntil) {
            return;
        }
        for (const url of [...new Set([...entries, ...options.entries])]) {
            try {
                const answer = await getPool(url).request({
                    method: "GET",
                    path: `/v1/lookup?caller=${options.address}`,
                    signal: AbortSignal.timeout(lookupTimeoutMs),
                });
                const found = await answer.body.json() as { readonly entries: string[]; readonly lifetimeMs: number; };
                if (answer.statusCode === 200 && found.entries.length > 0) {
                    entries = found.entries;
                    lookupValidUntil = options.now() + found.lifetimeMs;
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
                const answer = await getPool(url).request({
                    method: "POST",
                    path: "/v1/tickets",
                    signal: AbortSignal.timeout(lookupTimeoutMs),
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
            const answer = await getPool(url).request({
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
        let attempts = 0;
        let mayHaveRun = false;
        const result = (outcome: WorkOutcome): WorkResult => ({
            outcome,
            code: last?.code ?? 0,
            latencyMs: options.now() - startedAt,
            attempts,
            isAnswerMatching: outcome !== "answered" || isAnswerFor(work, last!),
        });
        while (attempts < maxAttempts && options.now() < deadlineAt) {
            await refresh();
            if (work.isAtMostOnce && ticket === undefined) {
                ticket = await fetchTicket();
            }
            const url = entries[attempts % Math.max(1, entries.length)] ?? options.entries[0]!;
            last = await send(url, work, ticket, Math.max(1, deadlineAt - options.now()));
            attempts++;
            const isFirstOfTicket = ticket !== undefined && ticket !== sentTicket;
            sentTicket = ticket;
            if (isFirstOfTicket && last?.code === issuerGoneCode) {
                // Only the issuer of a ticket lets its work start, and this ticket never reached the issuer.
                ticket = undefined;
                continue;
            }
            const kind = classifyAnswer(last);
            if (kind === "answered") {
                return result("answered");
            }
            mayHaveRun ||= kind === "unknown" && work.isAtMostOnce;
            if (last === undefined) {
                lookupValidUntil = -Infinity;
            }
            if (kind === "final") {
                return result(mayHaveRun ? "unknown" : "notRun");
            }
            await new Promise(resolve => setTimeout(resolve, retryDelayMs));
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

/** Result code: the entry that issued the ticket is unreachable. */
const issuerGoneCode = 3003;
/** The only 1xxx result code without an answer: the work has already run. */
const alreadyRanCode = 1002;

/** Classifies an answer by its result code; without an answer the outcome is unknown. */
function classifyAnswer(answer: Answer | undefined): "answered" | "notRun" | "unknown" | "final" {
    if (answer === undefined) {
        return "unknown";
    }
    const family = Math.floor(answer.code / 1000);
    if (family === 1) {
        return answer.code === alreadyRanCode ? "final" : "answered";
    }
    return family === 2 ? "notRun" : family === 3 ? "unknown" : "final";
}

/** Whether the answer is the target's whole body: as many bytes as the work asks for, or the work's id. */
function isAnswerFor(work: WorkItem, { text }: Answer): boolean {
    const bytes = new URL(work.path, "http://target").searchParams.get("bytes");
    return bytes === null ? readWorkId(text) === work.id : text.length === Number(bytes);
}

function readWorkId(text: string): string | undefined {
    try {
        return (JSON.parse(text) as { readonly work?: string; } | null)?.work;
    }
    catch {
        return undefined;
    }
}
