/**
 * Follows each request from its arrival to its answer: where it is tried, when it is tried again or hedged, and what
 * the caller is told. Rules: what may have run is never run again unless it is idempotent, and "not run" is only said
 * when it is proved.
 */
import { poisonDeathThreshold } from "../constants.js";
import type { AttemptId, InstanceId, RequestId } from "../ids.js";
import { type Result, results } from "../results/resultCode.js";
import type { TicketRegistry } from "../tickets/ticketRegistry.js";
import { type AccountingOptions, createAttemptSettler } from "./accounting.js";
import type { AttemptEnd } from "./events.js";
import { createPlacement, type PlacementOptions } from "./placement.js";
import { type Attempt, isAtMostOnce, isFromCaller, mayForward, type RequestState } from "./requestState.js";
import { expectedWaitMs, hedgeDelayMs, maxQueueLength, recordLatency, type ServiceRuntime } from "./serviceRuntime.js";

export interface Dispatcher {
    /** Takes a request that may run: its ticket, if any, is spent. */
    start(state: RequestState): void;
    /** Passes a request with another entry's ticket to that entry. */
    forwardToIssuer(state: RequestState, issuer: InstanceId): void;
    handleAttemptAnswered(attempt: AttemptId): void;
    handleAttemptEnded(attempt: AttemptId, end: AttemptEnd): void;
    handleRequestAbandoned(request: RequestId): void;
    /** Slots, grants or targets may have come free. */
    serveQueue(desk: ServiceRuntime): void;
    /** Refuses what waited past its deadline. */
    refuseUnservableQueue(desk: ServiceRuntime): void;
    find(request: RequestId): RequestState | undefined;
    inFlight(): number;
}

export interface DispatcherOptions extends PlacementOptions, AccountingOptions {
    readonly tickets: TicketRegistry;
    /** Whether anything could ever take a request of the service from here. */
    readonly canBeServed: (desk: ServiceRuntime) => boolean;
    /** A request began (1) or ended (-1) here. */
    readonly onInFlightChange: (state: RequestState, change: 1 | -1) => void;
    /** Whether hedging is on; a benchmark turns it off. */
    readonly isHedgingEnabled: boolean;
}

/** Tries of one request, the first included. */
const maxAttempts = 3;

export function createDispatcher(options: DispatcherOptions): Dispatcher {
    const { timer, emit, grants } = options;
    const states = new Map<RequestId, RequestState>();
    const placement = createPlacement(options);
    const account = createAttemptSettler(options);
    const { tryAnywhere, sendToPeer } = placement;

    const enqueue = (state: RequestState): void => {
        const desk = options.runtimeOf(state);
        const lane = state.requestClass.lane;
        if (!options.canBeServed(desk)) {
            refuse(state, state.lastRefusal ?? results.noTarget);
            return;
        }
        const isFull = desk.queue.length(lane) >= maxQueueLength(desk, lane);
        if (isFull || timer.now() + expectedWaitMs(desk, lane) >= state.deadlineAt) {
            refuse(state, results.noRoom);
            return;
        }
        state.isQueued = true;
        desk.queue.push(lane, { item: state, deadlineAt: state.deadlineAt });
    };
    const begin = (state: RequestState): void => {
        states.set(state.incoming.id, state);
        options.onInFlightChange(state, 1);
        const desk = options.runtimeOf(state);
        const lane = state.requestClass.lane;
        const mustWait = desk.queue.length(lane) > 0;
        if (mustWait || !tryAnywhere(state)) {
            enqueue(state);
        }
        if (states.get(state.incoming.id) === state) {
            scheduleDeadlineAndHedge(state);
        }
        if (mustWait) {
            serveQueue(desk);
        }
    };
    /** Earns budgets and sets the deadline and the hedge. */
    const scheduleDeadlineAndHedge = (state: RequestState): void => {
        const desk = options.runtimeOf(state);
        desk.retryBudget.deposit();
        desk.hedgeBudget.deposit();
        state.cancelTimers.push(timer.after(state.deadlineAt - timer.now(), () => handleDeadline(state)));
        const delay = options.isHedgingEnabled && !isAtMostOnce(state) && isFromCaller(state) && state.incoming.isReplayable
            ? hedgeDelayMs(desk, state.requestClass.id)
            : undefined;
        if (delay !== undefined && !state.isQueued) {
            state.cancelTimers.push(timer.after(delay, () => startHedge(state)));
        }
    };
    const startHedge = (state: RequestState): void => {
        const desk = options.runtimeOf(state);
        const isAlone = state.attempts.size === 1 && state.winningAttempt === undefined && state.attemptsStarted < maxAttempts;
        const isCalm = desk.queue.total() === 0 && options.poison.deathCount(state.incoming.fingerprint()) === 0;
        if (!isAlone || !isCalm || state.isDetached) {
            return;
        }
        if (desk.hedgeBudget.tryWithdraw() && !placement.tryHedge(state)) {
            desk.hedgeBudget.refund();
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
    /** Ends the request without an answer from a target. */
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
            options.tickets.recordLost(state.ticketSerial);
        }
    };
    /**
     * The caller's time is over. At-most-once work that a target has is not stopped: its answer is kept for whoever
     * asks again with the ticket.
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
    /** Lets at-most-once work end for as long again as its class allows, with nobody waiting. */
    const detach = (state: RequestState): void => {
        state.isDetached = true;
        state.cancelTimers.forEach(cancel => cancel());
        state.cancelTimers.push(timer.after(state.requestClass.deadlineMs, () => refuse(state, results.timedOut)));
    };
    const abandoned = (id: RequestId): void => {
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
    const answered = (id: AttemptId): void => {
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
        for (const other of state.attempts.values()) {
            if (other.id !== id) {
                cancelAttempt(other);
            }
        }
        emit({ kind: "deliver", request: state.incoming.id, attempt: id });
    };
    const ended = (id: AttemptId, end: AttemptEnd): void => {
        const state = placement.stateOf(id);
        const attempt = state?.attempts.get(id);
        if (state === undefined || attempt === undefined) {
            return;
        }
        placement.removeAttempt(state, id);
        account(state, attempt, end);
        if (states.get(state.incoming.id) === state && !(attempt.isCancelled && end.kind !== "done")) {
            handleEnd(state, attempt, end);
        }
        serveQueue(options.runtimeOf(state));
    };
    /** Decides what comes after a try that was not cancelled. */
    const handleEnd = (state: RequestState, attempt: Attempt, end: AttemptEnd): void => {
        if (attempt.destination.kind === "peer" && attempt.destination.role === "redeem") {
            handleIssuerEnd(state, end);
            return;
        }
        switch (end.kind) {
            case "done":
                if (state.ticketSerial !== undefined) {
                    options.tickets.recordRan(state.ticketSerial, end.cachedAnswer);
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
                handleBroken(state, attempt, end.hasAnswerStarted);
                break;
            case "cancelled":
                refuse(state, results.outcomeUnknown);
                break;
        }
    };
    /** The issuer of the ticket decides; nothing is tried again from here. */
    const handleIssuerEnd = (state: RequestState, end: AttemptEnd): void => {
        if (end.kind === "done") {
            finish(state);
        }
        else if (end.kind === "shed" || end.kind === "settled") {
            refuse(state, end.result);
        }
        else if (end.kind === "broken" && end.hasAnswerStarted) {
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
    /** Tries once more where that is safe and the budget allows; `isProvedNotRun` tells what to answer otherwise. */
    const retry = (state: RequestState, isProvedNotRun: boolean): void => {
        if (state.attempts.size > 0) {
            return;
        }
        if (options.poison.deathCount(state.incoming.fingerprint()) >= poisonDeathThreshold) {
            refuse(state, results.poison);
            return;
        }
        const final = isProvedNotRun ? state.lastRefusal ?? results.noRoom : results.outcomeUnknown;
        const mayTry = state.incoming.isReplayable && state.attemptsStarted < maxAttempts && mayForward(state) &&
            !state.isDetached
            && timer.now() < state.deadlineAt;
        if (!mayTry || !options.runtimeOf(state).retryBudget.tryWithdraw()) {
            refuse(state, final);
            return;
        }
        if (!tryAnywhere(state)) {
            refuse(state, final);
        }
    };
    const serveQueue = (desk: ServiceRuntime): void => {
        const { queue, pool } = desk;
        while (queue.total() > 0 && !options.isRecovering()) {
            const hasGrant = grants.hasAvailableSlot(desk.id);
            const state = queue.pop(lane => hasGrant || pool.freeSlots(lane) > 0);
            if (state === undefined) {
                return;
            }
            state.isQueued = false;
            if (!tryAnywhere(state)) {
                state.isQueued = true;
                queue.pushFront(state.requestClass.lane, { item: state, deadlineAt: state.deadlineAt });
                return;
            }
        }
    };
    const expireQueue = (desk: ServiceRuntime): void => {
        if (desk.queue.total() > 0 && !options.canBeServed(desk)) {
            desk.queue.clear().forEach(state => refuse(state, results.noTarget));
        }
    };
    return {
        start: begin,
        forwardToIssuer: (state, issuer) => {
            states.set(state.incoming.id, state);
            options.onInFlightChange(state, 1);
            sendToPeer(state, issuer, "redeem");
            state.cancelTimers.push(timer.after(state.deadlineAt - timer.now(), () => handleDeadline(state)));
        },
        handleAttemptAnswered: answered,
        handleAttemptEnded: ended,
        handleRequestAbandoned: abandoned,
        serveQueue,
        refuseUnservableQueue: expireQueue,
        find: id => states.get(id),
        inFlight: () => states.size,
    };
}
