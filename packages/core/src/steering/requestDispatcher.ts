/**
 * Steers requests to targets: takes each from its arrival to its one final answer. Decides only; sending, reading and
 * answering are functions that it is given.
 */
import { type AttemptId, type DataCentreId, type ServiceId, toAttemptId } from "../ids.js";
import type { PoisonList } from "../poison/poisonList.js";
import type { Random } from "../random/random.js";
import { type Result, results } from "../results/resultCode.js";
import type { Timer } from "../time/timer.js";
import { isDeferredAsLate, isLikelyServedInTime, isWorthSendingNow, lateWaitDeadline } from "./admission.js";
import { createCallerRetryTracker, retryAfterMs } from "./callerRetries.js";
import { type Attempt, createJob, type FinalResponse, type Job, type ResponseHead, type SteeringRequest } from "./job.js";
import type { ObjectAffinity } from "./objectAffinity.js";
import type { OfferedLoad } from "./offeredLoad.js";
import type { RegionShiftLimiter } from "./regionShiftLimiter.js";
import { createRequestQueue, type QueuedRequest } from "./requestQueue.js";
import { classifyResponse, type ResponseAction } from "./responseAction.js";
import type { RetryBudget } from "./retryBudget.js";
import type { RouteTable } from "./routeTable.js";
import { createServiceRates } from "./serviceRates.js";
import type { SlotPressure } from "./slotPressure.js";
import { objectKey, recordLoadReport, recordRequestOutcome, type Target } from "./target.js";
import type { TargetHealth } from "./targetHealth.js";
import type { ScoredTarget, TargetSelector } from "./targetSelector.js";
import type { WeightedRoundRobin } from "./weightedRoundRobin.js";
import type { WorkTimes } from "./workTimes.js";

export interface RequestDispatcher<Answer> {
    /** A request arrived; `finish` is called once, at once or later. The value is told when the caller leaves. */
    submit(request: SteeringRequest, finish: (ending: FinalResponse<Answer>) => void): () => void;
    /** Bytes of the attempt's request are about to be written. */
    recordWritten(attempt: Attempt<Answer>): void;
    handleResponse(attempt: Attempt<Answer>, head: ResponseHead, answer: Answer): void;
    /** No whole and genuine answer came, and none will. */
    handleConnectionFailure(attempt: Attempt<Answer>, reason: string): void;
    /** Room may have appeared: places what waits. */
    dispatchQueued(): void;
    /** Requests that have no final answer yet. */
    inFlightCount(): number;
    /** Requests that this entry has at the service's targets in a data centre. */
    inFlightCountAt(service: ServiceId, dataCentre: DataCentreId): number;
    queuedCount(service: ServiceId): number;
}

/** What the steerer tells of, for logs and metrics. */
export interface SteeringEvents<Answer> {
    onAttemptStarted(attempt: Attempt<Answer>, choice: ScoredTarget): void;
    onQueued(job: Job<Answer>, pressure: number): void;
    onRetry(job: Job<Answer>, reason: string, target: Target): void;
    /** A target's work ended well; `wasQuick` where it remembered the object. */
    onWorkCompleted(attempt: Attempt<Answer>, wasQuick: boolean): void;
    /** The request was served although targets had died under it: it is not to blame. */
    onPoisonCleared(job: Job<Answer>): void;
    onEnded(job: Job<Answer>, ending: FinalResponse<Answer>, why: string): void;
}

export interface RequestDispatcherOptions<Answer> {
    readonly timer: Timer;
    readonly random: Random;
    readonly routeTable: () => RouteTable | undefined;
    readonly roundRobin: WeightedRoundRobin;
    readonly targetSelector: TargetSelector<Answer>;
    readonly regionShift: RegionShiftLimiter;
    readonly workTimes: WorkTimes;
    readonly objectAffinity: ObjectAffinity;
    readonly offeredLoad: OfferedLoad;
    readonly pressure: SlotPressure;
    readonly retryBudget: RetryBudget;
    readonly poisonList: PoisonList;
    readonly targetHealth: TargetHealth;
    readonly isOwnRegion: (target: Target) => boolean;
    readonly roundTripMs: (dataCentre: DataCentreId) => number;
    readonly send: (attempt: Attempt<Answer>) => void;
    readonly cancel: (attempt: Attempt<Answer>) => void;
    readonly events: SteeringEvents<Answer>;
}

/** Waiting requests that are looked at when room appears and that don't take it. */
const maxFailedPlacements = 8;
/** A request is only sent again if this part of the usual work fits into the time left. */
const minWorkTimeFraction = 0.8;
/** Connections that may fail before anything is sent. */
const maxFailedConnections = 3;

export function createRequestDispatcher<Answer>(options: RequestDispatcherOptions<Answer>): RequestDispatcher<Answer> {
    const {
        timer,
        random,
        targetSelector: placement,
        pressure,
        retryBudget: allowance,
        workTimes: works,
        events,
        targetHealth: health,
    } = options;
    const queue = createRequestQueue<Answer>();
    const returns = createCallerRetryTracker(timer);
    const rates = createServiceRates(timer, options.offeredLoad);
    const finishers = new Map<Job<Answer>, (ending: FinalResponse<Answer>) => void>();
    const inFlight = new Map<string, number>();
    let attempts = 0;

    const placeKey = (service: ServiceId, dataCentre: DataCentreId): string => `${service} ${dataCentre}`;
    const countIn = (target: Target, by: number): void => {
        const key = placeKey(target.record.service, target.record.dataCentre);
        inFlight.set(key, (inFlight.get(key) ?? 0) + by);
        target.inFlight += by;
        rates.adjustInFlight(target.record.service, by);
    };

    const end = (job: Job<Answer>, ending: FinalResponse<Answer>, why: string): void => {
        if (job.state === "ended") {
            return;
        }
        queue.remove(job);
        job.state = "ended";
        job.cancelTimeout();
        const finish = finishers.get(job)!;
        finishers.delete(job);
        events.onEnded(job, ending, why);
        finish(ending);
    };
    /** Ends a job that no target will get any more; says "not run" only where that is proved. */
    const giveUp = (job: Job<Answer>, result: Result, why: string): void => {
        if (job.failureResponse !== undefined) {
            end(job, { kind: "answer", answer: job.failureResponse }, why);
        }
        else if (job.mayHaveRun) {
            end(job, { kind: "refusal", result: results.outcomeUnknown, retryAfterMs: undefined }, why);
        }
        else {
            returns.recordRefusal(job.request.fingerprint());
            const wait = retryAfterMs({ job, now: timer.now(), pressure: pressure.levelOf(job.service), random });
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
        health.recordTimeout(attempt.target);
        if (attempt.isWritten) {
            end(job, { kind: "refusal", result: results.timedOut, retryAfterMs: undefined }, "the target did not answer in time");
        }
        else {
            giveUp(job, results.notReached, "the target was not reached in time");
        }
        dispatchService(job.service);
    };

    const send = (job: Job<Answer>, choice: ScoredTarget): void => {
        const { target } = choice;
        queue.remove(job);
        const id: AttemptId = toAttemptId(++attempts);
        const { objectId: object } = job.request;
        const othersBetween = object === undefined ? undefined : target.cache.recordAccess(objectKey(job.route, object));
        const attempt: Attempt<Answer> = {
            id,
            job,
            target,
            sentAt: timer.now(),
            isWarm: choice.isWarm,
            reuseDistance: othersBetween,
            isWritten: false,
        };
        job.state = "sent";
        job.attempt = attempt;
        job.triedTargets.add(target.record.id);
        countIn(target, 1);
        target.recentArrivals.add();
        target.isUntried = false;
        options.regionShift.recordSent(!options.isOwnRegion(target));
        events.onAttemptStarted(attempt, choice);
        options.send(attempt);
    };
    /** A return's objective counts from its first arrival, which is past. */
    const latestStart = (job: Job<Answer>): number =>
        job.isCallerRetry ? job.request.arrivedAt : job.objectiveAt - placement.minWorkMs(job);
    const tryPlace = (waiter: QueuedRequest<Answer>): "sent" | "full" | "waits" => {
        const { job } = waiter;
        const { bestFree: free, bestFullScore: fullGain } = placement.select(job);
        if (free === undefined) {
            return "full";
        }
        const canWait = waiter.latestStartAt > timer.now();
        const pressed = pressure.levelOf(job.service);
        if (!isWorthSendingNow(free, fullGain, canWait, pressed) || isDeferredAsLate(job, free, pressed)) {
            return "waits";
        }
        if (!canWait) {
            rates.recordLateStart(job.service);
        }
        send(job, free);
        return "sent";
    };
    /** Looks at the first few only: where they find nothing, those behind them hardly do. */
    const dispatchService = (service: ServiceId): void => {
        let looks = maxFailedPlacements;
        for (const waiter of queue.inServiceOrder(service, timer.now())) {
            if (looks === 0 || !placement.hasFreeSlot(service)) {
                return;
            }
            if (waiter.job.state === "waiting" && tryPlace(waiter) !== "sent") {
                looks--;
            }
        }
    };
    /** Decides on a job that found no place: refuse it now, or look again when that would change. */
    const hold = (waiter: QueuedRequest<Answer>): void => {
        const { job } = waiter;
        if (job.state !== "waiting") {
            return;
        }
        const now = timer.now();
        const lateUntil = lateWaitDeadline(job);
        const { ahead, aheadInTime } = queue.countAhead(waiter, now);
        const perSecond = rates.ratesOf(job.service);
        const isInTime = waiter.latestStartAt > now
            && isLikelyServedInTime({
                now,
                jobsAhead: aheadInTime,
                servedPerSecond: perSecond.allPerSecond,
                latestStartAt: waiter.latestStartAt,
            });
        const until = isInTime ? waiter.latestStartAt : lateUntil;
        const isServed = isInTime
            || (now < lateUntil
                && isLikelyServedInTime({
                    now,
                    jobsAhead: ahead - aheadInTime,
                    // Where nobody can be in time, late jobs get the slots of the moment.
                    servedPerSecond: Math.max(perSecond.latePerSecond, aheadInTime === 0 ? perSecond.allPerSecond / 2 : 0),
                    latestStartAt: lateUntil,
                }));
        if (!isServed) {
            const served = `${perSecond.allPerSecond.toFixed(1)}/s, of them late ${perSecond.latePerSecond.toFixed(1)}`;
            giveUp(job, results.noRoom, `no room; ${ahead} ahead, ${aheadInTime} of them in time; served ${served}`);
            return;
        }
        timer.after(Math.max(1, until - now + 1), () => review(waiter));
    };
    const review = (waiter: QueuedRequest<Answer>): void => {
        if (waiter.job.state === "waiting") {
            dispatchService(waiter.job.service);
            hold(waiter);
        }
    };
    const enter = (job: Job<Answer>): void => {
        const waiter = { job, latestStartAt: latestStart(job) };
        job.state = "waiting";
        queue.add(waiter);
        const outcome = tryPlace(waiter);
        pressure.record(job.service, outcome === "full");
        if (outcome !== "sent") {
            events.onQueued(job, pressure.levelOf(job.service));
            hold(waiter);
        }
    };
    /** Sends an idempotent or not-run request to another target if attempts, budget and time allow it. */
    const repeat = (job: Job<Answer>, reason: string, target: Target, isArrival: boolean): boolean => {
        if (job.responseDueAt - timer.now() < minWorkTimeFraction * placement.minWorkMs(job)) {
            return false;
        }
        const mayTry = isArrival
            ? job.writtenAttempts < job.route.maxAttempts && allowance.tryWithdraw(job.service)
            : ++job.failedConnections <= maxFailedConnections;
        if (!mayTry) {
            return false;
        }
        events.onRetry(job, reason, target);
        enter(job);
        return true;
    };
    const settle = (job: Job<Answer>, target: Target, settlement: ResponseAction<Answer>): void => {
        switch (settlement.kind) {
            case "deliver":
                if (options.poisonList.recordSuccess(job.request.fingerprint)) {
                    events.onPoisonCleared(job);
                }
                end(job, { kind: "answer", answer: settlement.answer }, "answered");
                break;
            case "repeat":
                job.failureResponse = settlement.failure ?? job.failureResponse;
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

    const begin = (request: SteeringRequest, finish: (ending: FinalResponse<Answer>) => void): Job<Answer> | undefined => {
        const table = options.routeTable();
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
        if (options.poisonList.isPoison(request.fingerprint)) {
            return refuse(results.poisonRequest);
        }
        const service = options.roundRobin.nextService(route);
        allowance.deposit(service);
        const isReturn = returns.consumeRefusal(request.fingerprint());
        const job = createJob<Answer>({ request, route, service, isCallerRetry: isReturn });
        if (route.isSticky && request.objectId !== undefined) {
            options.objectAffinity.recordUse(service, objectKey(route, request.objectId));
        }
        if (!job.isCallerRetry) {
            options.offeredLoad.recordArrival(service, works.coldObjectMs(route));
        }
        finishers.set(job, finish);
        job.cancelTimeout = timer.after(job.responseDueAt - timer.now(), () => timedOut(job));
        return job;
    };
    return {
        submit: (request, finish) => {
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
        recordWritten: attempt => {
            if (!attempt.isWritten) {
                attempt.isWritten = true;
                attempt.job.writtenAttempts++;
            }
        },
        handleResponse: (attempt, head, answer) => {
            const { job, target } = attempt;
            if (job.attempt !== attempt) {
                return;
            }
            const now = timer.now();
            if (head.load !== undefined) {
                recordLoadReport(target, head.load, now);
            }
            release(attempt);
            const settlement = classifyResponse(job, head, answer);
            health.recordResponse(target, head, settlement.kind === "deliver");
            if (settlement.kind === "deliver" && head.status < 300) {
                const took = now - attempt.sentAt - options.roundTripMs(target.record.dataCentre);
                options.offeredLoad.recordWork(job.service, took);
                const workMs = took / (head.load?.slowness ?? 1);
                const wasQuick = workMs < (works.warmMs(job.route) + works.coldObjectMs(job.route)) / 2;
                events.onWorkCompleted(attempt, wasQuick);
                if (job.route.isSticky && !attempt.isWarm && attempt.reuseDistance === undefined) {
                    works.recordFirstRun(job.route, wasQuick);
                }
                works.record(job.route, attempt.isWarm || wasQuick, workMs, job.request.bodyBytes + head.bodyBytes);
                if (attempt.reuseDistance !== undefined) {
                    target.cache.adjustCapacity(attempt.reuseDistance, wasQuick);
                }
            }
            settle(job, target, settlement);
            dispatchService(job.service);
        },
        handleConnectionFailure: (attempt, reason) => {
            const { job, target } = attempt;
            if (job.attempt !== attempt) {
                return;
            }
            release(attempt);
            recordRequestOutcome(target, true);
            health.recordConnectionFailure(target, attempt.isWritten ? job.request.fingerprint() : undefined);
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
        dispatchQueued: () => {
            for (const service of queue.services()) {
                dispatchService(service);
            }
        },
        inFlightCount: () => finishers.size,
        inFlightCountAt: (service, dataCentre) => inFlight.get(placeKey(service, dataCentre)) ?? 0,
        queuedCount: service => queue.queuedCount(service),
    };
}
