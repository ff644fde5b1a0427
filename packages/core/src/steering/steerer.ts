/**
 * Steers requests to targets: takes each from its arrival to its one final answer. Decides only; sending, reading and
 * answering are functions that it is given.
 */
import { type AttemptId, type DataCentreId, type ServiceId, toAttemptId } from "../ids.js";
import type { PoisonList } from "../poison/poisonList.js";
import type { Random } from "../random/random.js";
import { type Result, results } from "../results/resultCode.js";
import type { Timer } from "../time/timer.js";
import { isCrowdedOut, isLikelyServed, isWorthTaking, waitsUntil } from "./admission.js";
import { settleAnswer, type Settlement } from "./answers.js";
import { type AnswerHead, type Attempt, createJob, type Ending, type Job, type SteeringRequest } from "./job.js";
import type { ObjectHomes } from "./objectHomes.js";
import type { OfferedLoad } from "./offeredLoad.js";
import type { Choice, Placement } from "./placement.js";
import type { Pressure } from "./pressure.js";
import type { RegionShift } from "./regionShift.js";
import { createRequestQueue, type Waiter } from "./requestQueue.js";
import type { RetryAllowance } from "./retryAllowance.js";
import { createReturns, retryAfterMs } from "./returns.js";
import type { RouteTable } from "./routeTable.js";
import { createServiceRates } from "./serviceRates.js";
import { noteOutcome, noteReport, objectKey, type Target } from "./target.js";
import type { TargetHealth } from "./targetHealth.js";
import type { WeightedTurns } from "./weightedTurns.js";
import type { WorkTimes } from "./workTimes.js";

export interface Steerer<Answer> {
    /** A request arrived; `finish` is called once, at once or later. The value is told when the caller leaves. */
    arrive(request: SteeringRequest, finish: (ending: Ending<Answer>) => void): () => void;
    /** Bytes of the attempt's request are about to be written. */
    written(attempt: Attempt<Answer>): void;
    answered(attempt: Attempt<Answer>, head: AnswerHead, answer: Answer): void;
    /** No whole and genuine answer came, and none will. */
    broken(attempt: Attempt<Answer>, reason: string): void;
    /** Room may have appeared: places what waits. */
    dispatch(): void;
    /** Requests that have no final answer yet. */
    inFlight(): number;
    /** Requests that this entry has at the service's targets in a data centre. */
    inFlightAt(service: ServiceId, dataCentre: DataCentreId): number;
    waiting(service: ServiceId): number;
}

/** What the steerer tells of, for logs and metrics. */
export interface SteeringEvents<Answer> {
    placed(attempt: Attempt<Answer>, choice: Choice): void;
    queued(job: Job<Answer>, pressure: number): void;
    repeated(job: Job<Answer>, reason: string, target: Target): void;
    /** A target's work ended well; `wasQuick` where it remembered the object. */
    worked(attempt: Attempt<Answer>, wasQuick: boolean): void;
    /** The request was served although targets had died under it: it is not to blame. */
    absolved(job: Job<Answer>): void;
    ended(job: Job<Answer>, ending: Ending<Answer>, why: string): void;
}

export interface SteererOptions<Answer> {
    readonly timer: Timer;
    readonly random: Random;
    readonly routes: () => RouteTable | undefined;
    readonly turns: WeightedTurns;
    readonly placement: Placement<Answer>;
    readonly shift: RegionShift;
    readonly works: WorkTimes;
    readonly objectHomes: ObjectHomes;
    readonly offered: OfferedLoad;
    readonly pressure: Pressure;
    readonly allowance: RetryAllowance;
    readonly poison: PoisonList;
    readonly health: TargetHealth;
    readonly isOwnRegion: (target: Target) => boolean;
    readonly roundTripMs: (dataCentre: DataCentreId) => number;
    readonly send: (attempt: Attempt<Answer>) => void;
    readonly cancel: (attempt: Attempt<Answer>) => void;
    readonly events: SteeringEvents<Answer>;
}

/** Waiting requests that are looked at when room appears and that don't take it. */
const mostLooks = 8;
/** A request is only sent again if this part of the usual work fits into the time left. */
const leastTimeShare = 0.8;
/** Connections that may fail before anything is sent. */
const mostNotReached = 3;

export function createSteerer<Answer>(options: SteererOptions<Answer>): Steerer<Answer> {
    const { timer, random, placement, pressure, allowance, works, events, health } = options;
    const queue = createRequestQueue<Answer>();
    const returns = createReturns(timer);
    const rates = createServiceRates(timer, options.offered);
    const finishers = new Map<Job<Answer>, (ending: Ending<Answer>) => void>();
    const inFlight = new Map<string, number>();
    let attempts = 0;

    const placeKey = (service: ServiceId, dataCentre: DataCentreId): string => `${service} ${dataCentre}`;
    const countIn = (target: Target, by: number): void => {
        const key = placeKey(target.record.service, target.record.dataCentre);
        inFlight.set(key, (inFlight.get(key) ?? 0) + by);
        target.inFlight += by;
        rates.inFlight(target.record.service, by);
    };

    const end = (job: Job<Answer>, ending: Ending<Answer>, why: string): void => {
        if (job.state === "ended") {
            return;
        }
        queue.remove(job);
        job.state = "ended";
        job.cancelTimeout();
        const finish = finishers.get(job)!;
        finishers.delete(job);
        events.ended(job, ending, why);
        finish(ending);
    };
    /** Ends a job that no target will get any more; says "not run" only where that is proved. */
    const giveUp = (job: Job<Answer>, result: Result, why: string): void => {
        if (job.failure !== undefined) {
            end(job, { kind: "answer", answer: job.failure }, why);
        }
        else if (job.mayHaveRun) {
            end(job, { kind: "refusal", result: results.outcomeUnknown, retryAfterMs: undefined }, why);
        }
        else {
            returns.refused(job.request.fingerprint());
            const wait = retryAfterMs({ job, now: timer.now(), pressure: pressure.of(job.service), random });
            end(job, { kind: "refusal", result, retryAfterMs: wait }, why);
        }
    };
    const release = (attempt: Attempt<Answer>): void => {
        countIn(attempt.target, -1);
        attempt.job.attempt = undefined;
    };
    const timedOut = (job: Job<Answer>): void => {
        const attempt = job.attempt;
        if (attempt === undefined) {
            giveUp(job, results.noRoom, "no target had room in time");
            return;
        }
        release(attempt);
        options.cancel(attempt);
        health.silent(attempt.target);
        if (attempt.isWritten) {
            end(job, { kind: "refusal", result: results.timedOut, retryAfterMs: undefined }, "the target did not answer in time");
        }
        else {
            giveUp(job, results.notReached, "the target was not reached in time");
        }
        dispatchService(job.service);
    };

    const send = (job: Job<Answer>, choice: Choice): void => {
        const { target } = choice;
        queue.remove(job);
        const id: AttemptId = toAttemptId(++attempts);
        const { object } = job.request;
        const othersBetween = object === undefined ? undefined : target.memory.begun(objectKey(job.route, object));
        const attempt: Attempt<Answer> = {
            id,
            job,
            target,
            sentAt: timer.now(),
            isWarm: choice.isWarm,
            othersBetween,
            isWritten: false,
        };
        job.state = "sent";
        job.attempt = attempt;
        job.tried.add(target.record.id);
        countIn(target, 1);
        target.arrivals.add();
        target.isUntried = false;
        options.shift.sent(!options.isOwnRegion(target));
        events.placed(attempt, choice);
        options.send(attempt);
    };
    /** A return's objective counts from its first arrival, which is past. */
    const latestStart = (job: Job<Answer>): number =>
        job.isReturn ? job.request.arrivedAt : job.objectiveAt - placement.leastWorkMs(job);
    const tryPlace = (waiter: Waiter<Answer>): "sent" | "full" | "waits" => {
        const { job } = waiter;
        const { free, fullGain } = placement.choose(job);
        if (free === undefined) {
            return "full";
        }
        const canWait = waiter.latestStart > timer.now();
        const pressed = pressure.of(job.service);
        if (!isWorthTaking(free, fullGain, canWait, pressed) || isCrowdedOut(job, free, pressed)) {
            return "waits";
        }
        if (!canWait) {
            rates.lateStarted(job.service);
        }
        send(job, free);
        return "sent";
    };
    /** Looks at the first few only: where they find nothing, those behind them hardly do. */
    const dispatchService = (service: ServiceId): void => {
        let looks = mostLooks;
        for (const waiter of queue.ordered(service, timer.now())) {
            if (looks === 0 || !placement.hasRoom(service)) {
                return;
            }
            if (waiter.job.state === "waiting" && tryPlace(waiter) !== "sent") {
                looks--;
            }
        }
    };
    /** Decides on a job that found no place: refuse it now, or look again when that would change. */
    const hold = (waiter: Waiter<Answer>): void => {
        const { job } = waiter;
        if (job.state !== "waiting") {
            return;
        }
        const now = timer.now();
        const lateUntil = waitsUntil(job);
        const { ahead, aheadInTime } = queue.ahead(waiter, now);
        const perSecond = rates.of(job.service);
        const isInTime = waiter.latestStart > now
            && isLikelyServed({ now, ahead: aheadInTime, perSecond: perSecond.all, until: waiter.latestStart });
        const until = isInTime ? waiter.latestStart : lateUntil;
        const isServed = isInTime
            || (now < lateUntil
                && isLikelyServed({
                    now,
                    ahead: ahead - aheadInTime,
                    // Where nobody can be in time, late jobs get the slots of the moment.
                    perSecond: Math.max(perSecond.late, aheadInTime === 0 ? perSecond.all / 2 : 0),
                    until: lateUntil,
                }));
        if (!isServed) {
            const served = `${perSecond.all.toFixed(1)}/s, of them late ${perSecond.late.toFixed(1)}`;
            giveUp(job, results.noRoom, `no room; ${ahead} ahead, ${aheadInTime} of them in time; served ${served}`);
            return;
        }
        timer.after(Math.max(1, until - now + 1), () => review(waiter));
    };
    const review = (waiter: Waiter<Answer>): void => {
        if (waiter.job.state === "waiting") {
            dispatchService(waiter.job.service);
            hold(waiter);
        }
    };
    const enter = (job: Job<Answer>): void => {
        const waiter = { job, latestStart: latestStart(job) };
        job.state = "waiting";
        queue.add(waiter);
        const outcome = tryPlace(waiter);
        pressure.noted(job.service, outcome === "full");
        if (outcome !== "sent") {
            events.queued(job, pressure.of(job.service));
            hold(waiter);
        }
    };
    /** Sends an idempotent or not-run request to another target if attempts, budget and time allow it. */
    const repeat = (job: Job<Answer>, reason: string, target: Target, isArrival: boolean): boolean => {
        if (job.giveUpAt - timer.now() < leastTimeShare * placement.leastWorkMs(job)) {
            return false;
        }
        const mayTry = isArrival
            ? job.arrivals < job.route.attempts && allowance.take(job.service)
            : ++job.notReached <= mostNotReached;
        if (!mayTry) {
            return false;
        }
        events.repeated(job, reason, target);
        enter(job);
        return true;
    };
    const settle = (job: Job<Answer>, target: Target, settlement: Settlement<Answer>): void => {
        switch (settlement.kind) {
            case "deliver":
                if (options.poison.served(job.request.fingerprint)) {
                    events.absolved(job);
                }
                end(job, { kind: "answer", answer: settlement.answer }, "answered");
                break;
            case "repeat":
                job.failure = settlement.failure ?? job.failure;
                job.mayHaveRun ||= settlement.mayHaveRun;
                if (!repeat(job, settlement.reason, target, true)) {
                    giveUp(job, results.refusedByTarget, settlement.reason);
                }
                break;
            case "unknown":
                job.mayHaveRun = true;
                giveUp(job, results.outcomeUnknown, settlement.reason);
                break;
        }
    };

    const begin = (request: SteeringRequest, finish: (ending: Ending<Answer>) => void): Job<Answer> | undefined => {
        const table = options.routes();
        const refuse = (result: Result): undefined => {
            finish({ kind: "refusal", result, retryAfterMs: result === results.unknownRoute ? undefined : 200 });
            return undefined;
        };
        if (table === undefined) {
            return refuse(results.noConfiguration);
        }
        const route = table.find(request.host, request.path);
        if (route === undefined) {
            return refuse(results.unknownRoute);
        }
        if (options.poison.isPoison(request.fingerprint)) {
            return refuse(results.poisonRequest);
        }
        const service = options.turns.next(route);
        allowance.requested(service);
        const isReturn = returns.take(request.fingerprint());
        const job = createJob<Answer>({ request, route, service, isReturn });
        if (route.isSticky && request.object !== undefined) {
            options.objectHomes.used(service, objectKey(route, request.object));
        }
        if (!job.isReturn) {
            options.offered.arrived(service, works.coldObjectMs(route));
        }
        finishers.set(job, finish);
        job.cancelTimeout = timer.after(job.giveUpAt - timer.now(), () => timedOut(job));
        return job;
    };
    return {
        arrive: (request, finish) => {
            const job = begin(request, finish);
            if (job === undefined) {
                return () => {};
            }
            enter(job);
            return () => {
                const attempt = job.attempt;
                if (job.state === "ended") {
                    return;
                }
                if (attempt !== undefined) {
                    release(attempt);
                    options.cancel(attempt);
                }
                end(job, { kind: "refusal", result: results.cancelled, retryAfterMs: undefined }, "the caller left");
                dispatchService(job.service);
            };
        },
        written: attempt => {
            if (!attempt.isWritten) {
                attempt.isWritten = true;
                attempt.job.arrivals++;
            }
        },
        answered: (attempt, head, answer) => {
            const { job, target } = attempt;
            if (job.attempt !== attempt) {
                return;
            }
            const now = timer.now();
            if (head.load !== undefined) {
                noteReport(target, head.load, now);
            }
            release(attempt);
            const settlement = settleAnswer(job, head, answer);
            health.answered(target, head, settlement.kind === "deliver");
            if (settlement.kind === "deliver" && head.status < 300) {
                const took = now - attempt.sentAt - options.roundTripMs(target.record.dataCentre);
                options.offered.worked(job.service, took);
                const workMs = took / (head.load?.slowness ?? 1);
                const wasQuick = workMs < (works.warmMs(job.route) + works.coldObjectMs(job.route)) / 2;
                events.worked(attempt, wasQuick);
                if (job.route.isSticky && !attempt.isWarm && attempt.othersBetween === undefined) {
                    works.noteFirst(job.route, wasQuick);
                }
                works.note(job.route, attempt.isWarm || wasQuick, workMs, job.request.bodyBytes + head.bodyBytes);
                if (attempt.othersBetween !== undefined) {
                    target.memory.learned(attempt.othersBetween, wasQuick);
                }
            }
            settle(job, target, settlement);
            dispatchService(job.service);
        },
        broken: (attempt, reason) => {
            const { job, target } = attempt;
            if (job.attempt !== attempt) {
                return;
            }
            release(attempt);
            noteOutcome(target, true);
            health.broken(target, attempt.isWritten ? job.request.fingerprint() : undefined);
            if (!attempt.isWritten) {
                if (!repeat(job, reason, target, false)) {
                    giveUp(job, results.notReached, reason);
                }
            }
            else if (job.route.isIdempotent) {
                settle(job, target, { kind: "repeat", reason, failure: undefined, mayHaveRun: true });
            }
            else {
                settle(job, target, { kind: "unknown", reason });
            }
            dispatchService(job.service);
        },
        dispatch: () => {
            for (const service of queue.services()) {
                dispatchService(service);
            }
        },
        inFlight: () => finishers.size,
        inFlightAt: (service, dataCentre) => inFlight.get(placeKey(service, dataCentre)) ?? 0,
        waiting: service => queue.waiting(service),
    };
}
