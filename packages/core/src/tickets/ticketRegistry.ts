/**
 * Tickets for at-most-once requests. A ticket names the incarnation of the entry that issued it. Only that incarnation
 * may admit the request, and it remembers spent tickets until they expire, so no store and no consensus is needed.
 * See `docs/design/at-most-once.md`.
 *
 * Format: `<issuer>~<serial>~<seconds to expiry, from the issuer's start>~<HMAC-SHA256, 96 bits>`.
 */
import { createHmac, timingSafeEqual } from "node:crypto";
import { ticketChart, type TicketState } from "../chart/charts.js";
import { maxCachedResponseBytes, maxResponseCacheBytes, ticketLifetimeMs } from "../constants.js";
import { type Fingerprint, type InstanceId, type Ticket, toInstanceId, toTicket } from "../ids.js";
import { type Result, results } from "../results/resultCode.js";
import type { Timer } from "../time/timer.js";

/** An answer cached for repeats of a request with its ticket. */
export interface CachedResponse {
    readonly status: number;
    readonly contentType: string;
    readonly body: Uint8Array;
}

/** Decision about a request with a ticket that was issued here. */
export type TicketDecision =
    | { readonly kind: "run"; readonly serial: number; }
    | { readonly kind: "repeat"; readonly answer: CachedResponse; }
    | { readonly kind: "refuse"; readonly result: Result; };

/** Content of a ticket whose MAC was verified. */
export interface TicketClaims {
    readonly issuer: InstanceId;
    readonly serial: number;
    readonly expiresAt: number;
}

export interface TicketRegistry {
    issue(): Ticket;
    /** Verifies the MAC and returns the claims; undefined if no entry with this key issued the ticket. */
    verify(ticket: Ticket): TicketClaims | undefined;
    /** Spends a ticket that was issued here, or returns why the request may not run. */
    spend(claims: TicketClaims, fingerprint: Fingerprint): TicketDecision;
    /** Records that the request provably did not run; its ticket may be used again. */
    recordNotRun(serial: number): void;
    /** Records that the request ran and caches its answer if it is small enough. */
    recordRan(serial: number, answer: CachedResponse | undefined): void;
    /** Records that the outcome of the request is unknown. */
    recordUnknownOutcome(serial: number): void;
    /** Number of spent tickets that are remembered. */
    spentCount(): number;
}

interface SpentTicket {
    state: TicketState;
    readonly fingerprint: Fingerprint;
    readonly expiresAt: number;
    answer: CachedResponse | undefined;
}

export interface TicketRegistryOptions {
    readonly timer: Timer;
    readonly self: InstanceId;
    /** Secret shared by all entries. */
    readonly key: string;
}

const macBytes = 12;

export function createTicketRegistry(options: TicketRegistryOptions): TicketRegistry {
    const { timer, self, key } = options;
    const startedAt = timer.now();
    const spentTickets = new Map<number, SpentTicket>();
    let lastSerial = 0;
    let cachedBytes = 0;

    const macOf = (text: string): Buffer => createHmac("sha256", key).update(text).digest().subarray(0, macBytes);
    const issue = (): Ticket => {
        lastSerial++;
        const expiry = Math.ceil((timer.now() + ticketLifetimeMs - startedAt) / 1000);
        const text = `${self}~${lastSerial}~${expiry}`;
        return toTicket(`${text}~${macOf(text).toString("base64url")}`);
    };
    const verify = (ticket: Ticket): TicketClaims | undefined => {
        const parts = ticket.split("~");
        if (parts.length !== 4) {
            return undefined;
        }
        const givenMac = Buffer.from(parts[3]!, "base64url");
        if (givenMac.length !== macBytes || !timingSafeEqual(givenMac, macOf(parts.slice(0, 3).join("~")))) {
            return undefined;
        }
        return {
            issuer: toInstanceId(parts[0]!),
            serial: Number(parts[1]),
            expiresAt: startedAt + Number(parts[2]) * 1000,
        };
    };
    const forget = (ticketSerial: number): void => {
        cachedBytes -= spentTickets.get(ticketSerial)?.answer?.body.length ?? 0;
        spentTickets.delete(ticketSerial);
    };
    const forgetExpired = (): void => {
        for (const [ticketSerial, spentTicket] of spentTickets) {
            if (spentTicket.expiresAt > timer.now()) {
                return;
            }
            forget(ticketSerial);
        }
    };
    const spend = (claims: TicketClaims, fingerprint: Fingerprint): TicketDecision => {
        forgetExpired();
        if (claims.expiresAt <= timer.now()) {
            return { kind: "refuse", result: results.ticketExpired };
        }
        const spentTicket = spentTickets.get(claims.serial);
        if (spentTicket === undefined) {
            spentTickets.set(claims.serial, {
                state: ticketChart.next("unspent", "started"),
                fingerprint,
                expiresAt: claims.expiresAt,
                answer: undefined,
            });
            return { kind: "run", serial: claims.serial };
        }
        return decideRepeat(spentTicket, claims.serial, fingerprint);
    };
    const applyEvent = (ticketSerial: number, event: "provedNotRun" | "answered" | "lost"): SpentTicket | undefined => {
        const spentTicket = spentTickets.get(ticketSerial);
        if (spentTicket !== undefined) {
            spentTicket.state = ticketChart.next(spentTicket.state, event);
        }
        return spentTicket;
    };
    const dropOldAnswers = (): void => {
        for (const spentTicket of spentTickets.values()) {
            if (cachedBytes <= maxResponseCacheBytes) {
                return;
            }
            cachedBytes -= spentTicket.answer?.body.length ?? 0;
            spentTicket.answer = undefined;
        }
    };
    const recordRan = (ticketSerial: number, answer: CachedResponse | undefined): void => {
        const spentTicket = applyEvent(ticketSerial, "answered");
        if (spentTicket !== undefined && answer !== undefined && answer.body.length <= maxCachedResponseBytes) {
            spentTicket.answer = answer;
            cachedBytes += answer.body.length;
            dropOldAnswers();
        }
    };
    return {
        issue,
        verify,
        spend,
        recordNotRun: ticketSerial => void applyEvent(ticketSerial, "provedNotRun"),
        recordRan,
        recordUnknownOutcome: ticketSerial => void applyEvent(ticketSerial, "lost"),
        spentCount: () => spentTickets.size,
    };
}

function decideRepeat(spentTicket: SpentTicket, serial: number, fingerprint: Fingerprint): TicketDecision {
    if (spentTicket.fingerprint !== fingerprint) {
        return { kind: "refuse", result: results.ticketReused };
    }
    switch (spentTicket.state) {
        case "unspent":
            spentTicket.state = ticketChart.next(spentTicket.state, "started");
            return { kind: "run", serial };
        case "running":
            return { kind: "refuse", result: results.inProgress };
        case "unknown":
            return { kind: "refuse", result: results.outcomeUnknown };
        case "ran":
            return spentTicket.answer === undefined
                ? { kind: "refuse", result: results.alreadyRan }
                : { kind: "repeat", answer: spentTicket.answer };
    }
}
