/**
 * Dispatches requests to targets, from arrival to the final response. Makes decisions only; sending, reading and
 * responding are done by functions that are passed in.
 */
import { type AttemptId, type DataCentreId, type ServiceId, toAttemptId, type WorkspaceId } from "../ids.js";
import type { SharedLimit } from "../limits/sharedLimit.js";
import type { PoisonList } from "../poison/poisonList.js";
import type { Random } from "../random/random.js";
import { results } from "../results/resultCode.js";
import type { Timer } from "../time/timer.js";
import { describeClosure, estimateService, isDeferredAsLate, isWorthSendingNow, lateWaitDeadline } from "./admission.js";
import type { OwnAttempts } from "./attemptDigest.js";
import { createCallerRetryTracker } from "./callerRetries.js";
import { learnFromWork } from "./completedWork.js";
import { createInFlightCounts } from "./inFlightCounts.js";
import type { Attempt, FinalResponse, Job, ResponseHead, SteeringRequest } from "./job.js";
import { createJobCompletion } from "./jobCompletion.js";
import { createJobIntake } from "./jobIntake.js";
import type { ObjectAffinity } from "./objectAffinity.js";
import type { OfferedLoad } from "./offeredLoad.js";
import { createPoisonGate } from "./poisonGate.js";
import { createRequestQueue, type QueuedRequest } from "./requestQueue.js";
import { classifyResponse, isRefusedWithFreeSlots, type ResponseAction } from "./responseAction.js";
import type { RetryBudget } from "./retryBudget.js";
import type { RouteTable } from "./routeTable.js";
import { createServiceRates } from "./serviceRates.js";
import type { SlotPressure } from "./slotPressure.js";
import type { SteeringEvents } from "./steeringEvents.js";
import { objectKey, recordLoadReport, recordRequestOutcome, type Target } from "./target.js";
import type { TargetHealth } from "./targetHealth.js";
import type { ScoredTarget, TargetSelector } from "./targetSelector.js";
import type { WeightedRoundRobin } from "./weightedRoundRobin.js";
import type { WorkspaceDirectory } from "./workspaceDirectory.js";
import { createWorkspaceReview } from "./workspaceReview.js";
import type { WorkTimes } from "./workTimes.js";

export interface RequestDispatcher<Answer> {
    /**
     * Accepts a request. Calls `finish` exactly once, now or later. Returns a function to call when the caller
     * disconnects.
     */
    submit(request: SteeringRequest, finish: (response: FinalResponse<Answer>) => void): () => void;
    /** Records that bytes of the attempt's request are about to be written. */
    recordWritten(attempt: Attempt<Answer>): void;
    handleResponse(attempt: Attempt<Answer>, head: ResponseHead, answer: Answer): void;
    /** Handles an attempt that has no complete and authentic response and will not get one. */
    handleConnectionFailure(attempt: Attempt<Answer>, reason: string): void;
    /** Sends queued requests; called when slots may have become free. */
    dispatchQueued(): void;
    /** Ends the runs of requests that have become known to crash targets, before they crash more. */
    stopPoisonRequests(): void;
    /** Requests without a final response. */
    inFlightCount(): number;
    /** Requests of this entry in flight at the service's targets in a data centre. */
    inFlightCountAt(service: ServiceId, dataCentre: DataCentreId): number;
    queuedCount(service: ServiceId): number;
}

export interface RequestDispatcherOptions<Answer> {
    readonly timer: Timer;
    readonly random: Random;
    readonly routeTable: () => RouteTable | undefined;
    readonly workspaces: () => WorkspaceDirectory;
    readonly areKeysStale: () => boolean;
    readonly quotaLimit: SharedLimit<WorkspaceId>;
    readonly roundRobin: WeightedRoundRobin;
    /** Requests that may be at targets at the same time. */
    readonly maxAttempts: number;
    readonly targetSelector: TargetSelector<Answer>;
    readonly workTimes: WorkTimes;
    readonly objectAffinity: ObjectAffinity;
    readonly ownAttempts: OwnAttempts;
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

/** Queued requests that may fail to get a slot in one pass over the queue. */
const maxFailedPlacements = 8;
/** A request is retried only if the remaining time is at least this fraction of its expected work. */
const minWorkTimeFraction = 0.8;
/** Shortest work that is learned from; what is measured must never be 0 or negative, since rates are derived from it. */
const minWorkMs = 0.1;
/** Interval at which a job that is held as a possible cause of crashes is looked at again. */
const holdReviewMs = 100;
const poisonReason = "targets died while they ran the same request";
/** Maximum number of connections that may fail before anything is sent. */
const maxFailedConnections = 3;

export function createRequestDispatcher<Answer>(options: RequestDispatcherOptions<Answer>): RequestDispatcher<Answer> {
    const { timer, targetSelector, pressure, retryBudget, workTimes, events, targetHealth, poisonList } = options;
    const queue = createRequestQueue<Answer>();
    const callerRetries = createCallerRetryTracker(timer);
    const takeIn = createJobIntake<Answer>({ ...options, callerRetries });
    const rates = createServiceRates(timer, options.offeredLoad);
    const completion = createJobCompletion<Answer>({ ...options, callerRetries, onEnding: queue.remove });
    const { finish: finishJob, reject: rejectJob, endUnanswered } = completion;
    const poisonGate = createPoisonGate<Answer>({
        poisonList,
        isPossibleCause: targetHealth.isPossibleCause,
        jobs: completion.openJobs,
        onPoisonCleared: events.onPoisonCleared,
    });
    const workspaceReview = createWorkspaceReview<Answer>({ ...options, openJobs: completion.openJobs, reject: rejectJob });
    const inFlight = createInFlightCounts();
    let attempts = 0;

    const adjustInFlight = ({ target, job }: Attempt<Answer>, change: 1 | -1): void => {
        inFlight.adjust(target, change);
        target.inFlight += change;
        target.bodyBytesInFlight += change * job.request.bodyBytes;
        options.ownAttempts.recordInFlight(target);
        rates.adjustInFlight(target.record.service, change);
    };

    const releaseSlot = (attempt: Attempt<Answer>): void => {
        adjustInFlight(attempt, -1);
        attempt.job.attempt = undefined;
    };
    const abort = (attempt: Attempt<Answer>): void => {
        releaseSlot(attempt);
        options.cancel(attempt);
    };
    /** An error while the end of an attempt is handled leaves neither its caller without a response nor its slot taken. */
    const handleEnd = (attempt: Attempt<Answer>, handle: () => void): void => {
        const { job } = attempt;
        try {
            handle();
        }
        catch (error) {
            if (job.attempt === attempt) {
                releaseSlot(attempt);
            }
            if (job.state === "sent" && job.attempt === undefined) {
                endUnanswered(job, results.unexpectedError, "an error while the response was handled");
            }
            throw error;
        }
    };
    const handleTimeout = (job: Job<Answer>): void => {
        const attempt = job.attempt;
        if (attempt === undefined) {
            rejectJob(job, results.noRoom, "no target had a free slot in time");
            return;
        }
        handleEnd(attempt, () => {
            abort(attempt);
            targetHealth.recordTimeout(attempt.target, attempt.isWritten ? job.request : undefined);
            if (attempt.isWritten) {
                endUnanswered(job, results.timedOut, "the target did not respond in time");
            }
            else {
                rejectJob(job, results.notReached, "the target was not reached in time");
            }
            dispatchService(job.service);
        });
    };

    const recordObjectStart = (target: Target, object: number): number | undefined => {
        options.ownAttempts.recordStarted(target, object);
        return target.cache.recordAccess(object);
    };
    const send = (job: Job<Answer>, selected: ScoredTarget): void => {
        const { target } = selected;
        queue.remove(job);
        const id: AttemptId = toAttemptId(++attempts);
        const { objectId } = job.request;
        const reuseDistance = objectId === undefined ? undefined : recordObjectStart(target, objectKey(job.route, objectId));
        const attempt: Attempt<Answer> = {
            id,
            job,
            target,
            sentAt: timer.now(),
            isWarm: selected.isWarm,
            reuseDistance,
            isWritten: false,
        };
        job.state = "sent";
        job.attempt = attempt;
        job.triedTargets.add(target.record.id);
        adjustInFlight(attempt, 1);
        target.recentArrivals.add();
        target.isUntried = false;
        targetSelector.recordSent(job, target);
        queue.recordSent(job);
        events.onAttemptStarted(attempt, selected);
        options.send(attempt);
    };
    /** The objective of a caller retry counts from its first arrival and has therefore passed already. */
    const latestStartOf = (job: Job<Answer>): number =>
        job.isCallerRetry ? job.request.arrivedAt : job.objectiveAt - targetSelector.minWorkMs(job);
    const trySend = (queued: QueuedRequest<Answer>): "sent" | "full" | "deferred" | "held" | "refused" => {
        const { job } = queued;
        if (workspaceReview.rejectIfNotAdmitted(job)) {
            return "refused";
        }
        const admission = poisonGate.admit(job);
        if (admission !== "admitted") {
            if (admission === "refused") {
                rejectJob(job, results.poisonRequest, poisonReason);
            }
            return admission;
        }
        const { bestFree, bestFullScore } = targetSelector.select(job);
        if (bestFree === undefined || inFlight.total() >= options.maxAttempts) {
            return "full";
        }
        const canWait = queued.latestStartAt > timer.now();
        const pressureLevel = pressure.levelOf(job.service);
        if (
            !isWorthSendingNow(bestFree, bestFullScore, canWait, pressureLevel) || isDeferredAsLate(job, bestFree, pressureLevel)
        ) {
            return "deferred";
        }
        if (!canWait) {
            rates.recordLateStart(job.service);
        }
        poisonGate.recordStart(job);
        send(job, bestFree);
        return "sent";
    };
    /**
     * Tries only the first few requests: if none of them finds a slot, those behind them rarely do. Workspaces with other
     * home regions are counted by themselves, since one whose regions are full must not hold up the others.
     */
    const dispatchService = (service: ServiceId): void => {
        if (!targetSelector.hasFreeSlot(service)) {
            return;
        }
        const failuresByHomes = new Map<string, number>();
        for (const queued of queue.inServiceOrder(service, timer.now())) {
            const homes = queued.job.terms.workspace?.homeRegions.join() ?? "";
            const failures = failuresByHomes.get(homes) ?? 0;
            if (failures >= maxFailedPlacements) {
                continue;
            }
            if (!targetSelector.hasFreeSlot(service)) {
                return;
            }
            const outcome = queued.job.state === "waiting" ? trySend(queued) : "sent";
            if (outcome === "full" || outcome === "deferred") {
                failuresByHomes.set(homes, failures + 1);
            }
        }
    };
    /** Requests that are served before an arrival get free slots before it, if they can use them. */
    const placeArrival = (queued: QueuedRequest<Answer>): ReturnType<typeof trySend> => {
        const { job } = queued;
        if (job.terms.directory.needsKeys && queue.queuedCount(job.service) > 1) {
            dispatchService(job.service);
        }
        return job.state === "waiting" ? trySend(queued) : job.state === "sent" ? "sent" : "refused";
    };
    /** Rejects a job that found no slot, or schedules the next review at the time when the decision could change. */
    const keepOrReject = (queued: QueuedRequest<Answer>): void => {
        const { job } = queued;
        if (job.state !== "waiting") {
            return;
        }
        if (poisonGate.admit(job) === "held") {
            timer.after(holdReviewMs, () => reconsider(queued));
            return;
        }
        const now = timer.now();
        const lateDeadline = lateWaitDeadline(job);
        const opensAt = targetSelector.opensAt(job);
        if (opensAt > lateDeadline) {
            rejectJob(job, results.noRoom, describeClosure(opensAt - now), Number.isFinite(opensAt) ? opensAt : now);
            return;
        }
        const { ahead, aheadInTime } = queue.countAhead(queued, now);
        const rate = rates.ratesOf(job.service);
        const { isLikelyServed, reviewAt } = estimateService({
            now,
            ahead,
            aheadInTime,
            rate,
            latestStartAt: queued.latestStartAt,
            lateDeadline,
        });
        if (!isLikelyServed) {
            const rateText = `${rate.allPerSecond.toFixed(1)}/s, of them late ${rate.latePerSecond.toFixed(1)}`;
            rejectJob(
                job,
                results.noRoom,
                `no free slot; ${ahead} requests ahead, ${aheadInTime} of them in time; served ${rateText}`,
            );
            return;
        }
        timer.after(Math.max(1, reviewAt - now + 1), () => reconsider(queued));
    };
    const reconsider = (queued: QueuedRequest<Answer>): void => {
        if (queued.job.state === "waiting") {
            dispatchService(queued.job.service);
            keepOrReject(queued);
        }
    };
    const enqueue = (job: Job<Answer>): void => {
        job.state = "waiting";
        const queued = queue.add(job, latestStartOf(job));
        const outcome = placeArrival(queued);
        pressure.record(job.service, outcome === "full");
        if (outcome !== "sent" && outcome !== "refused") {
            events.onQueued(job, pressure.levelOf(job.service));
            keepOrReject(queued);
        }
    };
    /** Retries an idempotent or unexecuted request at another target if attempts, retry budget and time allow it. */
    const retry = (job: Job<Answer>, reason: string, target: Target, wasWritten: boolean): boolean => {
        if (job.responseDueAt - timer.now() < minWorkTimeFraction * targetSelector.minWorkMs(job)) {
            return false;
        }
        const mayRetry = wasWritten
            ? job.writtenAttempts < job.route.maxAttempts && retryBudget.tryWithdraw(job.service)
            : ++job.failedConnections <= maxFailedConnections;
        if (!mayRetry) {
            return false;
        }
        events.onRetry(job, reason, target);
        enqueue(job);
        return true;
    };
    const applyAction = (job: Job<Answer>, target: Target, action: ResponseAction<Answer>): void => {
        switch (action.kind) {
            case "deliver":
                finishJob(job, { kind: "answer", answer: action.answer }, "answered");
                break;
            case "retry":
                job.failureResponse = action.failureResponse ?? job.failureResponse;
                job.mayHaveRun ||= action.mayHaveRun;
                if (!retry(job, action.reason, target, true)) {
                    rejectJob(job, results.refusedByTarget, action.reason);
                }
                break;
            case "unknown":
                job.mayHaveRun = true;
                rejectJob(job, results.outcomeUnknown, action.reason);
                break;
        }
    };

    const receive = (attempt: Attempt<Answer>, head: ResponseHead, answer: Answer): void => {
        const { job, target } = attempt;
        const now = timer.now();
        if (head.load !== undefined) {
            recordLoadReport(target, head.load, now);
        }
        releaseSlot(attempt);
        job.wasRefusedWithFreeSlots = isRefusedWithFreeSlots(head) && head.notice.pauseMs === undefined;
        if (job.wasRefusedWithFreeSlots) {
            // It may accept the request next time, and elsewhere the object is probably not cached.
            job.triedTargets.delete(target.record.id);
        }
        const action = classifyResponse(job, head, answer);
        targetHealth.recordResponse(target, head, action.kind === "deliver");
        if (action.kind === "deliver" && head.status < 300) {
            // Other responses prove nothing: the target may have ended the run before it crashed.
            poisonGate.recordSuccess(job);
            // The round trip is an estimate, and may be longer than the whole request took.
            const tookMs = Math.max(minWorkMs, now - attempt.sentAt - options.roundTripMs(target.record.dataCentre));
            options.offeredLoad.recordWork(job.service, tookMs);
            events.onWorkCompleted(attempt, learnFromWork(workTimes, { attempt, head, tookMs }));
        }
        applyAction(job, target, action);
        dispatchService(job.service);
    };
    const recoverFromFailure = (attempt: Attempt<Answer>, reason: string): void => {
        const { job, target } = attempt;
        releaseSlot(attempt);
        recordRequestOutcome(target, true);
        targetHealth.recordConnectionFailure(target, attempt.isWritten ? job.request : undefined);
        if (!attempt.isWritten) {
            if (!retry(job, reason, target, false)) {
                rejectJob(job, results.notReached, reason);
            }
        }
        else if (job.route.isIdempotent) {
            applyAction(job, target, { kind: "retry", reason, failureResponse: undefined, mayHaveRun: true });
        }
        else {
            applyAction(job, target, { kind: "unknown", reason });
        }
        dispatchService(job.service);
    };

    const stopAttempt = (attempt: Attempt<Answer>): void => {
        const { job } = attempt;
        abort(attempt);
        job.mayHaveRun ||= attempt.isWritten;
        rejectJob(job, results.poisonRequest, poisonReason);
        dispatchService(job.service);
    };

    return {
        submit: (request, finish) => {
            const taken = takeIn(request);
            if (taken.kind === "refused") {
                finish({ kind: "refusal", result: taken.result, retryAfterMs: taken.retryAfterMs });
                return () => {};
            }
            const { job } = taken;
            completion.add(job, finish);
            targetSelector.recordArrival(job);
            job.cancelTimeout = timer.after(job.responseDueAt - timer.now(), () => handleTimeout(job));
            enqueue(job);
            return () => {
                const attempt = job.attempt;
                if (job.state === "ended") {
                    return;
                }
                if (attempt !== undefined) {
                    abort(attempt);
                    job.mayHaveRun ||= attempt.isWritten;
                }
                endUnanswered(job, results.cancelled, "the caller disconnected");
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
            if (!head.isMisdirected) {
                targetHealth.recordNotice(attempt.target, head.notice);
            }
            if (attempt.job.attempt === attempt) {
                handleEnd(attempt, () => receive(attempt, head, answer));
            }
        },
        handleConnectionFailure: (attempt, reason) => {
            if (attempt.job.attempt === attempt) {
                handleEnd(attempt, () => recoverFromFailure(attempt, reason));
            }
        },
        stopPoisonRequests: () => {
            for (const attempt of poisonGate.refusedRuns()) {
                stopAttempt(attempt);
            }
        },
        dispatchQueued: () => {
            workspaceReview.reviewQueuedJobs();
            for (const service of queue.services()) {
                dispatchService(service);
            }
        },
        inFlightCount: completion.openCount,
        inFlightCountAt: inFlight.countAt,
        queuedCount: service => queue.queuedCount(service),
    };
}
