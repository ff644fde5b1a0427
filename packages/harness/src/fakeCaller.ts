/** Simulated callers: they look up entries, retry as far as the result codes allow, and reuse tickets. */
import { type Ticket, toAddress } from "@pimentospring/core/ids";
import { parseAddress } from "@pimentospring/core/lookup/prefix";
import { results } from "@pimentospring/core/results/resultCode";
import type { EntryReply, FakeEntry, WorkItem } from "./fakeEntry.js";
import type { Simulation } from "./simulation.js";

export interface FakeCaller {
    send(work: WorkItem, loadClass: string): void;
}

interface PendingWork {
    readonly item: WorkItem;
    readonly loadClass: string;
    readonly startedAt: number;
    ticket: Ticket | undefined;
    sentTicket: Ticket | undefined;
    attempts: number;
    mayHaveRun: boolean;
    isDone: boolean;
}

const maxAttempts = 6;
const retryDelayMs = 30;
/** Time that a caller waits for a reply after the deadline. */
const graceMs = 500;

export function createFakeCaller(simulation: Simulation, address: string): FakeCaller {
    const { timer, log, delays } = simulation;
    const callerAddress = parseAddress(address)!;
    let entries: readonly string[] = [];
    let lookupValidUntil = -Infinity;

    const refresh = (): void => {
        if (timer.now() < lookupValidUntil && entries.length > 0) {
            return;
        }
        const available = simulation.entries().filter(entry => !entry.isDead() && !entry.isPaused());
        const answeringEntry = available.find(entry => entries.includes(`http://${entry.address}`)) ?? available[0];
        const answer = answeringEntry?.core.lookup(callerAddress);
        if (answer !== undefined) {
            entries = answer.entries;
            lookupValidUntil = timer.now() + answer.lifetimeMs;
        }
    };
    const entryFor = (job: PendingWork): FakeEntry | undefined => {
        refresh();
        const url = entries[job.attempts % Math.max(1, entries.length)];
        return url === undefined ? undefined : simulation.entryAt(toAddress(url.slice("http://".length)));
    };
    const finish = (job: PendingWork, end: "answered" | "notRun" | "unknown"): void => {
        job.isDone = true;
        log.append({
            kind: "callerDone",
            at: timer.now(),
            workId: job.item.workId,
            finalOutcome: end,
            latencyMs: timer.now() - job.startedAt,
            loadClass: job.loadClass,
        });
    };
    const retry = (job: PendingWork): void => {
        const isExhausted = job.attempts >= maxAttempts || timer.now() - job.startedAt >= job.item.deadlineMs;
        if (isExhausted) {
            finish(job, job.mayHaveRun ? "unknown" : "notRun");
            return;
        }
        timer.after(retryDelayMs, () => attempt(job));
    };
    const handleNoReply = (job: PendingWork): void => {
        log.append({ kind: "callerReplyLost", at: timer.now(), workId: job.item.workId });
        job.mayHaveRun ||= job.item.isAtMostOnce;
        lookupValidUntil = -Infinity;
        retry(job);
    };
    const attempt = (job: PendingWork): void => {
        const entry = entryFor(job);
        job.attempts++;
        if (entry === undefined || entry.isDead()) {
            lookupValidUntil = -Infinity;
            retry(job);
            return;
        }
        if (job.item.isAtMostOnce && job.ticket === undefined && !entry.isPaused()) {
            job.ticket = entry.core.issueTicket();
        }
        const isFirstOfTicket = job.ticket !== job.sentTicket;
        job.sentTicket = job.ticket;
        const remainingMs = Math.max(1, job.item.deadlineMs - (timer.now() - job.startedAt));
        let isSettled = false;
        const settle = (next: () => void): void => {
            if (!isSettled) {
                isSettled = true;
                next();
            }
        };
        const cancelTimeout = timer.after(remainingMs + graceMs, () => settle(() => handleNoReply(job)));
        const stopDeathCheck = timer.subscribe(retryDelayMs, () => {
            if (entry.isDead()) {
                stopDeathCheck();
                cancelTimeout();
                settle(() => handleNoReply(job));
            }
        });
        const reply = (entryReply: EntryReply): void =>
            void timer.after(delays.toCallerMs, () =>
                settle(() => {
                    cancelTimeout();
                    stopDeathCheck();
                    handleReply(job, entryReply, isFirstOfTicket);
                }));
        timer.after(delays.toCallerMs, () => {
            if (!entry.isDead()) {
                const context = { origin: { kind: "caller" as const }, ticket: job.ticket, remainingMs };
                entry.timer.runOrDefer(() => void entry.acceptRequest(job.item, context, reply));
            }
        });
    };
    const handleReply = (job: PendingWork, entryReply: EntryReply, isFirstOfTicket: boolean): void => {
        if (entryReply.kind === "cut") {
            handleNoReply(job);
            return;
        }
        const result = entryReply.kind === "answer" ? results.answered : entryReply.result;
        log.append({
            kind: "callerReply",
            at: timer.now(),
            workId: job.item.workId,
            code: entryReply.kind === "answer" ? entryReply.code : result.code,
            outcome: result.outcome,
            answeredWorkId: entryReply.kind === "answer" ? entryReply.workId : undefined,
            callerAttempts: job.attempts,
            latencyMs: timer.now() - job.startedAt,
        });
        if (entryReply.kind === "answer") {
            finish(job, "answered");
        }
        else if (result === results.issuerGone && isFirstOfTicket) {
            // Only the issuer of a ticket lets its work start, and this ticket never reached the issuer.
            job.ticket = undefined;
            retry(job);
        }
        else {
            job.mayHaveRun ||= result.outcome !== "notRun" && job.item.isAtMostOnce;
            if (result === results.poison || result === results.alreadyRan) {
                finish(job, job.mayHaveRun ? "unknown" : "notRun");
            }
            else {
                retry(job);
            }
        }
    };
    return {
        send: (work, loadClass) =>
            attempt({
                item: work,
                loadClass,
                startedAt: timer.now(),
                ticket: undefined,
                sentTicket: undefined,
                attempts: 0,
                mayHaveRun: false,
                isDone: false,
            }),
    };
}
