/**
 * Handles each request from its admission to its response: placement, queueing, retries, hedging and the result for the
 * caller. Invariants: a request that may have run is run again only if it is idempotent, and a result with the outcome
 * "notRun" is given only if that is proven.
 */
import { poisonDeathThreshold } from "../constants.js";
import type { AttemptId, InstanceId, RequestId } from "../ids.js";
import { type Result, results } from "../results/resultCode.js";
import type { TicketRegistry } from "../tickets/ticketRegistry.js";
import { type AttemptSettlerOptions, createAttemptSettler } from "./attemptSettler.js";
import type { AttemptEnd } from "./events.js";
import { createPlacement, type PlacementOptions } from "./placement.js";
import { type Attempt, isAtMostOnce, isFromCaller, mayForward, type RequestState } from "./requestState.js";
import { expectedWaitMs, hedgeDelayMs, maxQueueLength, recordLatency, type ServiceRuntime } from "./serviceRuntime.js";

export interface Dispatcher {
    /** Starts an admitted request, whose ticket, if any, is already spent. */
    start(state: RequestState): void;
    /** Forwards a request to the entry that issued its ticket. */
    forwardToIssuer(state: RequestState, issuer: InstanceId): void;
    handleResponseStarted(attempt: AttemptId): void;
    handleAttemptEnded(attempt: AttemptId, end: AttemptEnd): void;
    handleRequestAbandoned(request: RequestId): void;
    /** Starts queued requests while slots or grants are available. */
    serveQueue(runtime: ServiceRuntime): void;
    /** Refuses the queued requests of a service that no target or peer can serve any more. */
    refuseUnservableQueue(runtime: ServiceRuntime): void;
    find(request: RequestId): RequestState | undefined;
    inFlight(): number;
}

export interface DispatcherOptions extends PlacementOptions, AttemptSettlerOptions {
    readonly tickets: TicketRegistry;
    /** Whether this entry has capacity for the service or a live peer that could take its requests. */
    readonly canBeServed: (runtime: ServiceRuntime) => boolean;
    /** Called when a request starts (1) or ends (-1) at this entry. */
    readonly onInFlightChange: (state: RequestState, change: 1 | -1) => void;
    /** Whether hedging is enabled; benchmarks may disable it. */
    readonly isHedgingEnabled: boolean;
}

/** Queued requests that may fail to be placed in one pass; those behind them may have other targets or peers to go to. */
const maxUnplaced = 8;
/** Maximum attempts per request, including the first. */
const maxAttempts = 3;

export function createDispatcher(options: DispatcherOptions): Dispatcher {
    const { timer, emit, grants } = options;
    const states = new Map<RequestId, RequestState>();
    const placement = createPlacement(options);
    const settleAttempt = createAttemptSettler(options);
    const { tryAnywhere, sendToPeer } = placement;

    /** A request that a peer has passed on needs a slot of this entry: nobody else can serve it from here. */
    const canBeServed = (state: RequestState, runtime: ServiceRuntime): boolean =>
        mayForward(state) ? options.canBeServed(runtime) : runtime.pool.capacity() > 0;
    const enqueue = (state: RequestState): void => {
        const runtime = options.runtimeOf(state);
        const lane = state.requestClass.lane;
        if (!canBeServed(state, runtime)) {
            refuse(state, state.lastRefusal ?? results.noTarget);
            return;
        }
        const isFull = runtime.queue.length(lane) >= maxQueueLength(runtime, lane);
        if (isFull || timer.now() + expectedWaitMs(runtime, lane) >= state.deadlineAt) {
            refuse(state, results.noRoom);
            return;
        }
        state.isQueued = true;
        runtime.queue.push(lane, { item: state, deadlineAt: state.deadlineAt });
    };
    const start = (state: RequestState): void => {
        states.set(state.incoming.id, state);
        options.onInFlightChange(state, 1);
        const runtime = options.runtimeOf(state);
        const lane = state.requestClass.lane;
        const hasQueuedRequests = runtime.queue.length(lane) > 0;
        if (hasQueuedRequests || !tryAnywhere(state)) {
            enqueue(state);
        }
        if (states.get(state.incoming.id) === state) {
            scheduleDeadlineAndHedge(state);
        }
        if (hasQueuedRequests) {
            serveQueue(runtime);
        }
    };
    /** Credits the retry and hedge budgets and schedules the deadline and the hedge. */
    const scheduleDeadlineAndHedge = (state: RequestState): void => {
        const runtime = options.runtimeOf(state);
        runtime.retryBudget.deposit();
        runtime.hedgeBudget.deposit();
        state.cancelTimers.push(timer.after(state.deadlineAt - timer.now(), () => handleDeadline(state)));
        const delayMs = options.isHedgingEnabled && !isAtMostOnce(state) && isFromCaller(state) && state.incoming.isReplayable
            ? hedgeDelayMs(runtime, state.requestClass.id)
            : undefined;
        if (delayMs !== undefined && !state.isQueued) {
            state.cancelTimers.push(timer.after(delayMs, () => startHedge(state)));
        }
    };
    const startHedge = (state: RequestState): void => {
        const runtime = options.runtimeOf(state);
        const isSingleAttempt = state.attempts.size === 1 && state.winningAttempt === undefined &&
            state.attemptsStarted < maxAttempts;
        const isUncontended = runtime.queue.total() === 0 && options.poison.deathCount(state.incoming.fingerprint()) === 0;
        if (!isSingleAttempt || !isUncontended || state.isDetached) {
            return;
        }
        if (runtime.hedgeBudget.tryWithdraw() && !placement.tryHedge(state)) {
            runtime.hedgeBudget.refund();
        }
    };
    const finish = (state: RequestState): void => {
        state.cancelTimers.forEach(cancel => cancel());
        states.delete(state.incoming.id);
        options.onInFlightChange(state, -1);
        for (const attempt of state.attempts.values()) {
            cancelAttempt(attempt);
        }
    };
    const cancelAttempt = (attempt: Attempt): void => {
        if (!attempt.isCancelled) {
            attempt.isCancelled = true;
            emit({ kind: "cancelAttempt", attempt: attempt.id });
        }
    };
    /** Ends the request with a result instead of a target's response. */
    const refuse = (state: RequestState, result: Result): void => {
        settleTicket(state, result);
        if (!state.isDetached) {
            emit({ kind: "refuse", request: state.incoming.id, result });
        }
        finish(state);
    };
    const settleTicket = (state: RequestState, result: Result): void => {
        if (state.ticketSerial === undefined) {
            return;
        }
        if (result.outcome === "notRun") {
            options.tickets.recordNotRun(state.ticketSerial);
        }
        else {
            options.tickets.recordUnknownOutcome(state.ticketSerial);
        }
    };
    /**
     * Ends the request at its deadline. An at-most-once request that a target has is not cancelled: its response is
     * cached for a repeated request with the same ticket.
     */
    const handleDeadline = (state: RequestState): void => {
        if (state.isQueued) {
            options.runtimeOf(state).queue.remove(state);
            refuse(state, state.lastRefusal ?? results.deadlinePassed);
            return;
        }
        if (state.winningAttempt !== undefined && !isAtMostOnce(state)) {
            emit({ kind: "cut", request: state.incoming.id });
            finish(state);
            return;
        }
        if (!isAtMostOnce(state)) {
            refuse(state, results.timedOut);
            return;
        }
        emit(
            state.winningAttempt === undefined
                ? { kind: "refuse", request: state.incoming.id, result: results.timedOut }
                : { kind: "cut", request: state.incoming.id },
        );
        detach(state);
    };
    /** Lets an at-most-once request run on without a caller, for at most the deadline of its class. */
    const detach = (state: RequestState): void => {
        state.isDetached = true;
        state.cancelTimers.forEach(cancel => cancel());
        state.cancelTimers.push(timer.after(state.requestClass.deadlineMs, () => refuse(state, results.timedOut)));
    };
    const handleRequestAbandoned = (id: RequestId): void => {
        const state = states.get(id);
        if (state === undefined || state.isDetached) {
            return;
        }
        if (state.isQueued) {
            options.runtimeOf(state).queue.remove(state);
            refuse(state, results.cancelled);
        }
        else if (isAtMostOnce(state)) {
            detach(state);
        }
        else {
            refuse(state, results.abandoned);
        }
    };
    const handleResponseStarted = (id: AttemptId): void => {
        const state = placement.stateOf(id);
        const attempt = state?.attempts.get(id);
        if (state === undefined || attempt === undefined || attempt.isCancelled) {
            return;
        }
        if (state.winningAttempt !== undefined) {
            cancelAttempt(attempt);
            return;
        }
        state.winningAttempt = id;
        recordLatency(options.runtimeOf(state), state.requestClass.id, timer.now() - attempt.startedAt);
        for (const otherAttempt of state.attempts.values()) {
            if (otherAttempt.id !== id) {
                cancelAttempt(otherAttempt);
            }
        }
        emit({ kind: "deliver", request: state.incoming.id, attempt: id });
    };
    const handleAttemptEnded = (id: AttemptId, end: AttemptEnd): void => {
        const state = placement.stateOf(id);
        const attempt = state?.attempts.get(id);
        if (state === undefined || attempt === undefined) {
            return;
        }
        placement.removeAttempt(state, id);
        settleAttempt(state, attempt, end);
        if (states.get(state.incoming.id) === state && !(attempt.isCancelled && end.kind !== "done")) {
            handleEnd(state, attempt, end);
        }
        serveQueue(options.runtimeOf(state));
    };
    /** Decides how the request continues after an attempt that was not cancelled. */
    const handleEnd = (state: RequestState, attempt: Attempt, end: AttemptEnd): void => {
        if (attempt.destination.kind === "peer" && attempt.destination.role === "redeem") {
            handleIssuerEnd(state, end);
            return;
        }
        switch (end.kind) {
            case "done":
                if (state.ticketSerial !== undefined) {
                    options.tickets.recordRan(state.ticketSerial, end.cachedResponse);
                }
                finish(state);
                break;
            case "settled":
                handleSettled(state, end.result);
                break;
            case "notSent":
                state.lastRefusal = results.notReached;
                retry(state, true);
                break;
            case "shed":
                state.lastRefusal = end.result;
                retry(state, true);
                break;
            case "broken":
                handleBroken(state, attempt, end.hasResponseStarted);
                break;
            case "cancelled":
                refuse(state, results.outcomeUnknown);
                break;
        }
    };
    /** Relays the result of the ticket's issuer; this entry never retries such a request. */
    const handleIssuerEnd = (state: RequestState, end: AttemptEnd): void => {
        if (end.kind === "done") {
            finish(state);
        }
        else if (end.kind === "shed" || end.kind === "settled") {
            refuse(state, end.result);
        }
        else if (end.kind === "broken" && end.hasResponseStarted) {
            emit({ kind: "cut", request: state.incoming.id });
            finish(state);
        }
        else {
            refuse(state, end.kind === "notSent" ? results.issuerGone : results.outcomeUnknown);
        }
    };
    const handleSettled = (state: RequestState, result: Result): void => {
        if (result.outcome === "unknown" && !isAtMostOnce(state)) {
            retry(state, false);
            return;
        }
        refuse(state, result);
    };
    const handleBroken = (state: RequestState, attempt: Attempt, answerStarted: boolean): void => {
        if (answerStarted && state.winningAttempt === attempt.id) {
            if (state.ticketSerial !== undefined) {
                options.tickets.recordRan(state.ticketSerial, undefined);
            }
            emit({ kind: "cut", request: state.incoming.id });
            finish(state);
            return;
        }
        if (isAtMostOnce(state)) {
            refuse(state, results.outcomeUnknown);
            return;
        }
        retry(state, false);
    };
    /**
     * Starts another attempt if the request, its deadline and the retry budget allow it. Otherwise refuses the request;
     * `isProvenNotRun` selects the result.
     */
    const retry = (state: RequestState, isProvenNotRun: boolean): void => {
        if (state.attempts.size > 0) {
            return;
        }
        if (options.poison.deathCount(state.incoming.fingerprint()) >= poisonDeathThreshold) {
            refuse(state, results.poison);
            return;
        }
        const refusal = isProvenNotRun ? state.lastRefusal ?? results.noRoom : results.outcomeUnknown;
        const mayRetry = state.incoming.isReplayable && state.attemptsStarted < maxAttempts && mayForward(state) &&
            !state.isDetached
            && timer.now() < state.deadlineAt;
        if (!mayRetry || !options.runtimeOf(state).retryBudget.tryWithdraw()) {
            refuse(state, refusal);
            return;
        }
        if (!tryAnywhere(state)) {
            refuse(state, refusal);
        }
    };
    const serveQueue = (runtime: ServiceRuntime): void => {
        const { queue, pool } = runtime;
        const unplaced: RequestState[] = [];
        while (queue.total() > 0 && unplaced.length < maxUnplaced && !options.isRecovering()) {
            const hasAvailableGrant = grants.hasAvailableSlot(runtime.id);
            const state = queue.pop(lane => hasAvailableGrant || pool.freeSlots(lane) > 0);
            if (state === undefined) {
                break;
            }
            state.isQueued = false;
            if (!tryAnywhere(state)) {
                unplaced.push(state);
            }
        }
        for (const state of unplaced.reverse()) {
            state.isQueued = true;
            queue.pushFront(state.requestClass.lane, { item: state, deadlineAt: state.deadlineAt });
        }
    };
    const refuseUnservableQueue = (runtime: ServiceRuntime): void => {
        if (runtime.queue.total() > 0) {
            runtime.queue.removeWhere(state => !canBeServed(state, runtime))
                .forEach(state => refuse(state, state.lastRefusal ?? results.noTarget));
        }
    };
    return {
        start,
        forwardToIssuer: (state, issuer) => {
            states.set(state.incoming.id, state);
            options.onInFlightChange(state, 1);
            sendToPeer(state, issuer, "redeem");
            state.cancelTimers.push(timer.after(state.deadlineAt - timer.now(), () => handleDeadline(state)));
        },
        handleResponseStarted,
        handleAttemptEnded,
        handleRequestAbandoned,
        serveQueue,
        refuseUnservableQueue,
        find: id => states.get(id),
        inFlight: () => states.size,
    };
}
