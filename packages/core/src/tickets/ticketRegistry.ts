/**
 * At-most-once permits. A ticket names the run of the entry that issued it; only that run may let the request start,
 * and it remembers which tickets are spent until they expire. No store, no agreement with others. See
 * `docs/design/at-most-once.md`.
 *
 * Format: `<issuer>~<serial>~<seconds to expiry, from the issuer's start>~<HMAC-SHA256, 96 bits>`.
 */
import { createHmac, timingSafeEqual } from "node:crypto";
import { ticketChart, type TicketState } from "../chart/charts.js";
import { maxAnswerCacheBytes, maxCachedAnswerBytes, ticketLifetimeMs } from "../constants.js";
import { type Fingerprint, type InstanceId, type Ticket, toInstanceId, toTicket } from "../ids.js";
import { type Result, results } from "../results/resultCode.js";
import type { Timer } from "../time/timer.js";

/** An answer kept for a request that is sent again. */
export interface CachedAnswer {
    readonly status: number;
    readonly contentType: string;
    readonly body: Uint8Array;
}

/** What to do with a request that carries one of our tickets. */
export type TicketDecision =
    | { readonly kind: "run"; readonly serial: number; }
    | { readonly kind: "repeat"; readonly answer: CachedAnswer; }
    | { readonly kind: "refuse"; readonly result: Result; };

/** What a ticket says of itself, once its seal was checked. */
export interface TicketClaims {
    readonly issuer: InstanceId;
    readonly serial: number;
    readonly expiresAt: number;
}

export interface TicketRegistry {
    issue(): Ticket;
    /** Checks the seal; undefined when the ticket is not one of this system's. */
    verify(ticket: Ticket): TicketClaims | undefined;
    /** Spends a ticket issued here, or says why not. */
    spend(content: TicketClaims, fingerprint: Fingerprint): TicketDecision;
    /** The request was proved not run; its ticket may be used again. */
    recordNotRun(serial: number): void;
    /** The request ran; its answer is kept when it is small enough. */
    recordRan(serial: number, answer: CachedAnswer | undefined): void;
    /** Nobody can tell whether it ran. */
    recordLost(serial: number): void;
    /** Tickets remembered as spent. */
    spentCount(): number;
}

interface SpentTicket {
    state: TicketState;
    readonly fingerprint: Fingerprint;
    readonly expiresAt: number;
    answer: CachedAnswer | undefined;
}

export interface TicketRegistryOptions {
    readonly timer: Timer;
    readonly self: InstanceId;
    /** Shared by all entries. */
    readonly key: string;
}

const macBytes = 12;

export function createTicketRegistry(options: TicketRegistryOptions): TicketRegistry {
    const { timer, self, key } = options;
    const startedAt = timer.now();
    const spent = new Map<number, SpentTicket>();
    let serial = 0;
    let cachedBytes = 0;

    const macOf = (text: string): Buffer => createHmac("sha256", key).update(text).digest().subarray(0, macBytes);
    const issue = (): Ticket => {
        serial++;
        const expiry = Math.ceil((timer.now() + ticketLifetimeMs - startedAt) / 1000);
        const text = `${self}~${serial}~${expiry}`;
        return toTicket(`${text}~${macOf(text).toString("base64url")}`);
    };
    const open = (ticket: Ticket): TicketClaims | undefined => {
        const parts = ticket.split("~");
        if (parts.length !== 4) {
            return undefined;
        }
        const given = Buffer.from(parts[3]!, "base64url");
        if (given.length !== macBytes || !timingSafeEqual(given, macOf(parts.slice(0, 3).join("~")))) {
            return undefined;
        }
        return {
            issuer: toInstanceId(parts[0]!),
            serial: Number(parts[1]),
            expiresAt: startedAt + Number(parts[2]) * 1000,
        };
    };
    const forget = (number: number): void => {
        cachedBytes -= spent.get(number)?.answer?.body.length ?? 0;
        spent.delete(number);
    };
    const forgetExpired = (): void => {
        for (const [number, entry] of spent) {
            if (entry.expiresAt > timer.now()) {
                return;
            }
            forget(number);
        }
    };
    const start = (content: TicketClaims, fingerprint: Fingerprint): TicketDecision => {
        forgetExpired();
        if (content.expiresAt <= timer.now()) {
            return { kind: "refuse", result: results.ticketExpired };
        }
        const entry = spent.get(content.serial);
        if (entry === undefined) {
            spent.set(content.serial, {
                state: ticketChart.next("unspent", "started"),
                fingerprint,
                expiresAt: content.expiresAt,
                answer: undefined,
            });
            return { kind: "run", serial: content.serial };
        }
        return decideRepeat(entry, content.serial, fingerprint);
    };
    const applyEvent = (number: number, event: "provedNotRun" | "answered" | "lost"): SpentTicket | undefined => {
        const entry = spent.get(number);
        if (entry !== undefined) {
            entry.state = ticketChart.next(entry.state, event);
        }
        return entry;
    };
    const dropOldAnswers = (): void => {
        for (const entry of spent.values()) {
            if (cachedBytes <= maxAnswerCacheBytes) {
                return;
            }
            cachedBytes -= entry.answer?.body.length ?? 0;
            entry.answer = undefined;
        }
    };
    const ran = (number: number, answer: CachedAnswer | undefined): void => {
        const entry = applyEvent(number, "answered");
        if (entry !== undefined && answer !== undefined && answer.body.length <= maxCachedAnswerBytes) {
            entry.answer = answer;
            cachedBytes += answer.body.length;
            dropOldAnswers();
        }
    };
    return {
        issue,
        verify: open,
        spend: start,
        recordNotRun: number => void applyEvent(number, "provedNotRun"),
        recordRan: ran,
        recordLost: number => void applyEvent(number, "lost"),
        spentCount: () => spent.size,
    };
}

function decideRepeat(entry: SpentTicket, serial: number, fingerprint: Fingerprint): TicketDecision {
    if (entry.fingerprint !== fingerprint) {
        return { kind: "refuse", result: results.ticketReused };
    }
    switch (entry.state) {
        case "unspent":
            entry.state = ticketChart.next(entry.state, "started");
            return { kind: "run", serial };
        case "running":
            return { kind: "refuse", result: results.inProgress };
        case "unknown":
            return { kind: "refuse", result: results.outcomeUnknown };
        case "ran":
            return entry.answer === undefined
                ? { kind: "refuse", result: results.alreadyRan }
                : { kind: "repeat", answer: entry.answer };
    }
}
