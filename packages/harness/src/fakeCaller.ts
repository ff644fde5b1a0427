/** Callers in virtual time: they follow look-ups, send again as the result codes allow, and keep tickets. */
import { type Ticket, toAddress } from "@pimentospring/core/ids";
import { parseAddress } from "@pimentospring/core/lookup/prefix";
import { results } from "@pimentospring/core/results/resultCode";
import type { EntryReply, FakeEntry, WorkItem } from "./fakeEntry.js";
import type { Simulation } from "./simulation.js";

export interface FakeCaller {
    send(work: WorkItem, loadClass: string): void;
}

interface Job {
    readonly work: WorkItem;
    readonly loadClass: string;
    readonly startedAt: number;
    ticket: Ticket | undefined;
    sentTicket: Ticket | undefined;
    tries: number;
    mayHaveRun: boolean;
    isDone: boolean;
}

const mostTries = 6;
const againMs = 30;
/** Beyond its deadline a caller waits so much longer for word, in milliseconds. */
const graceMs = 500;

export function createFakeCaller(world: Simulation, address: string): FakeCaller {
    const { timer, log, delays } = world;
    const number = parseAddress(address)!;
    let entries: readonly string[] = [];
    let freshUntil = -Infinity;

    const refresh = (): void => {
        if (timer.now() < freshUntil && entries.length > 0) {
            return;
        }
        const answering = world.entries().filter(entry => !entry.isDead() && !entry.isPaused());
        const asked = answering.find(entry => entries.includes(`http://${entry.address}`)) ?? answering[0];
        const answer = asked?.core.lookup(number);
        if (answer !== undefined) {
            entries = answer.entries;
            freshUntil = timer.now() + answer.lifetimeMs;
        }
    };
    const entryFor = (job: Job): FakeEntry | undefined => {
        refresh();
        const url = entries[job.tries % Math.max(1, entries.length)];
        return url === undefined ? undefined : world.entryAt(toAddress(url.slice("http://".length)));
    };
    const done = (job: Job, end: "answered" | "notRun" | "unknown"): void => {
        job.isDone = true;
        log.append({
            kind: "callerDone",
            at: timer.now(),
            workId: job.work.workId,
            finalOutcome: end,
            latencyMs: timer.now() - job.startedAt,
            loadClass: job.loadClass,
        });
    };
    const again = (job: Job): void => {
        const isOver = job.tries >= mostTries || timer.now() - job.startedAt >= job.work.deadlineMs;
        if (isOver) {
            done(job, job.mayHaveRun ? "unknown" : "notRun");
            return;
        }
        timer.after(againMs, () => attempt(job));
    };
    const heardNothing = (job: Job): void => {
        log.append({ kind: "callerHeardNothing", at: timer.now(), workId: job.work.workId });
        job.mayHaveRun ||= job.work.isAtMostOnce;
        freshUntil = -Infinity;
        again(job);
    };
    const attempt = (job: Job): void => {
        const entry = entryFor(job);
        job.tries++;
        if (entry === undefined || entry.isDead()) {
            freshUntil = -Infinity;
            again(job);
            return;
        }
        if (job.work.isAtMostOnce && job.ticket === undefined && !entry.isPaused()) {
            job.ticket = entry.core.issueTicket();
        }
        const isFirstOfTicket = job.ticket !== job.sentTicket;
        job.sentTicket = job.ticket;
        const remainingMs = Math.max(1, job.work.deadlineMs - (timer.now() - job.startedAt));
        let isOver = false;
        const over = (next: () => void): void => {
            if (!isOver) {
                isOver = true;
                next();
            }
        };
        const lost = timer.after(remainingMs + graceMs, () => over(() => heardNothing(job)));
        const watchDeath = timer.subscribe(againMs, () => {
            if (entry.isDead()) {
                watchDeath();
                lost();
                over(() => heardNothing(job));
            }
        });
        const tell = (told: EntryReply): void =>
            void timer.after(delays.toCallerMs, () =>
                over(() => {
                    lost();
                    watchDeath();
                    hear(job, told, isFirstOfTicket);
                }));
        timer.after(delays.toCallerMs, () => {
            if (!entry.isDead()) {
                const wish = { origin: { kind: "caller" as const }, ticket: job.ticket, remainingMs };
                entry.timer.runOrDefer(() => void entry.acceptRequest(job.work, wish, tell));
            }
        });
    };
    const hear = (job: Job, told: EntryReply, isFirstOfTicket: boolean): void => {
        if (told.kind === "cut") {
            heardNothing(job);
            return;
        }
        const result = told.kind === "answer" ? results.answered : told.result;
        log.append({
            kind: "callerTold",
            at: timer.now(),
            workId: job.work.workId,
            code: told.kind === "answer" ? told.code : result.code,
            outcome: result.outcome,
            answeredWorkId: told.kind === "answer" ? told.workId : undefined,
            callerAttempts: job.tries,
            latencyMs: timer.now() - job.startedAt,
        });
        if (told.kind === "answer") {
            done(job, "answered");
        }
        else if (result === results.issuerGone && isFirstOfTicket) {
            // Only the issuer lets a ticket's work start, and this ticket never reached it.
            job.ticket = undefined;
            again(job);
        }
        else {
            job.mayHaveRun ||= result.outcome !== "notRun" && job.work.isAtMostOnce;
            if (result === results.poison || result === results.alreadyRan) {
                done(job, job.mayHaveRun ? "unknown" : "notRun");
            }
            else {
                again(job);
            }
        }
    };
    return {
        send: (work, loadClass) =>
            attempt({
                work,
                loadClass,
                startedAt: timer.now(),
                ticket: undefined,
                sentTicket: undefined,
                tries: 0,
                mayHaveRun: false,
                isDone: false,
            }),
    };
}
