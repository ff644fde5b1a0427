/**
 * Follows each request from its arrival to its answer: where it is tried, when it is tried again or hedged, and what
 * the caller is told. Rules: what may have run is never run again unless it is idempotent, and "not run" is only said
 * when it is proved.
 */
import { poisonDeaths } from "../constants.js";
import type { AttemptId, InstanceId, RequestId } from "../ids.js";
import { type Result, results } from "../results/resultCode.js";
import type { TicketBook } from "../tickets/ticketBook.js";
import { type AccountingOptions, createAccounting } from "./accounting.js";
import type { AttemptEnd } from "./events.js";
import { createPlacement, type PlacementOptions } from "./placement.js";
import { type Attempt, isAtMostOnce, isFromCaller, mayForward, type RequestState } from "./requestState.js";
import { expectedWaitMs, hedgeDelayMs, queueLimit, recordLatency, type ServiceDesk } from "./serviceDesk.js";

export interface Dispatcher {
    /** Takes a request that may run: its ticket, if any, is spent. */
    begin(state: RequestState): void;
    /** Passes a request with another entry's ticket to that entry. */
    redeemAt(state: RequestState, issuer: InstanceId): void;
    answered(attempt: AttemptId): void;
    ended(attempt: AttemptId, end: AttemptEnd): void;
    abandoned(request: RequestId): void;
    /** Slots, grants or targets may have come free. */
    serveQueue(desk: ServiceDesk): void;
    /** Refuses what waited past its deadline. */
    expireQueue(desk: ServiceDesk): void;
    find(request: RequestId): RequestState | undefined;
    inFlight(): number;
}

export interface DispatcherOptions extends PlacementOptions, AccountingOptions {
    readonly tickets: TicketBook;
    /** Whether anything could ever take a request of the service from here. */
    readonly isServed: (desk: ServiceDesk) => boolean;
    /** A request began (1) or ended (-1) here. */
    readonly counted: (state: RequestState, change: 1 | -1) => void;
    /** Whether hedging is on; a benchmark turns it off. */
    readonly hedging: boolean;
}

/** Tries of one request, the first included. */
const mostTries = 3;

export function createDispatcher(options: DispatcherOptions): Dispatcher {
    const { timer, emit, grants } = options;
    const states = new Map<RequestId, RequestState>();
    const placement = createPlacement(options);
    const account = createAccounting(options);
    const { tryAnywhere, sendToPeer } = placement;

    const enqueue = (state: RequestState): void => {
        const desk = options.deskOf(state);
        const lane = state.requestClass.lane;
        if (!options.isServed(desk)) {
            refuse(state, state.lastRefusal ?? results.noTarget);
            return;
        }
        const isFull = desk.queue.length(lane) >= queueLimit(desk, lane);
        if (isFull || timer.now() + expectedWaitMs(desk, lane) >= state.deadlineAt) {
            refuse(state, results.noRoom);
            return;
        }
        state.isQueued = true;
        desk.queue.push(lane, { item: state, deadlineAt: state.deadlineAt });
    };
    const begin = (state: RequestState): void => {
        states.set(state.incoming.id, state);
        options.counted(state, 1);
        const desk = options.deskOf(state);
        const lane = state.requestClass.lane;
        const mustWait = desk.queue.length(lane) > 0;
        if (mustWait || !tryAnywhere(state)) {
            enqueue(state);
        }
        if (states.get(state.incoming.id) === state) {
            started(state);
        }
        if (mustWait) {
            serveQueue(desk);
        }
    };
    /** Earns budgets and sets the deadline and the hedge. */
    const started = (state: RequestState): void => {
        const desk = options.deskOf(state);
        desk.retries.deposit();
        desk.hedges.deposit();
        state.cancels.push(timer.after(state.deadlineAt - timer.now(), () => deadline(state)));
        const delay = options.hedging && !isAtMostOnce(state) && isFromCaller(state) && state.incoming.isReplayable
            ? hedgeDelayMs(desk, state.requestClass.id)
            : undefined;
        if (delay !== undefined && !state.isQueued) {
            state.cancels.push(timer.after(delay, () => hedge(state)));
        }
    };
    const hedge = (state: RequestState): void => {
        const desk = options.deskOf(state);
        const isAlone = state.attempts.size === 1 && state.winner === undefined && state.tries < mostTries;
        const isCalm = desk.queue.total() === 0 && options.poison.deaths(state.incoming.fingerprint()) === 0;
        if (!isAlone || !isCalm || state.isOrphan) {
            return;
        }
        if (desk.hedges.tryWithdraw() && !placement.tryNearby(state)) {
            desk.hedges.refund();
        }
    };
    const finish = (state: RequestState): void => {
        state.cancels.forEach(cancel => cancel());
        states.delete(state.incoming.id);
        options.counted(state, -1);
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
        if (!state.isOrphan) {
            emit({ kind: "refuse", request: state.incoming.id, result });
        }
        finish(state);
    };
    const settleTicket = (state: RequestState, result: Result): void => {
        if (state.serial === undefined) {
            return;
        }
        if (result.outcome === "notRun") {
            options.tickets.notRun(state.serial);
        }
        else {
            options.tickets.lost(state.serial);
        }
    };
    /**
     * The caller's time is over. At-most-once work that a target has is not stopped: its answer is kept for whoever
     * asks again with the ticket.
     */
    const deadline = (state: RequestState): void => {
        if (state.isQueued) {
            options.deskOf(state).queue.remove(state);
            refuse(state, state.lastRefusal ?? results.deadlinePassed);
            return;
        }
        if (state.winner !== undefined && !isAtMostOnce(state)) {
            emit({ kind: "cut", request: state.incoming.id });
            finish(state);
            return;
        }
        if (!isAtMostOnce(state)) {
            refuse(state, results.timedOut);
            return;
        }
        emit(
            state.winner === undefined
                ? { kind: "refuse", request: state.incoming.id, result: results.timedOut }
                : { kind: "cut", request: state.incoming.id },
        );
        leaveRunning(state);
    };
    /** Lets at-most-once work end for as long again as its class allows, with nobody waiting. */
    const leaveRunning = (state: RequestState): void => {
        state.isOrphan = true;
        state.cancels.forEach(cancel => cancel());
        state.cancels.push(timer.after(state.requestClass.deadlineMs, () => refuse(state, results.timedOut)));
    };
    const abandoned = (id: RequestId): void => {
        const state = states.get(id);
        if (state === undefined || state.isOrphan) {
            return;
        }
        if (state.isQueued) {
            options.deskOf(state).queue.remove(state);
            refuse(state, results.cancelled);
        }
        else if (isAtMostOnce(state)) {
            leaveRunning(state);
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
        if (state.winner !== undefined) {
            cancelAttempt(attempt);
            return;
        }
        state.winner = id;
        recordLatency(options.deskOf(state), state.requestClass.id, timer.now() - attempt.startedAt);
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
        placement.forget(state, id);
        account(state, attempt, end);
        if (states.get(state.incoming.id) === state && !(attempt.isCancelled && end.kind !== "done")) {
            follow(state, attempt, end);
        }
        serveQueue(options.deskOf(state));
    };
    /** Decides what comes after a try that was not cancelled. */
    const follow = (state: RequestState, attempt: Attempt, end: AttemptEnd): void => {
        if (attempt.place.kind === "peer" && attempt.place.role === "redeem") {
            followIssuer(state, end);
            return;
        }
        switch (end.kind) {
            case "done":
                if (state.serial !== undefined) {
                    options.tickets.ran(state.serial, end.kept);
                }
                finish(state);
                break;
            case "settled":
                settled(state, end.result);
                break;
            case "notSent":
                state.lastRefusal = results.notReached;
                again(state, true);
                break;
            case "shed":
                state.lastRefusal = end.result;
                again(state, true);
                break;
            case "broken":
                broken(state, attempt, end.answerStarted);
                break;
            case "cancelled":
                refuse(state, results.outcomeUnknown);
                break;
        }
    };
    /** The issuer of the ticket decides; nothing is tried again from here. */
    const followIssuer = (state: RequestState, end: AttemptEnd): void => {
        if (end.kind === "done") {
            finish(state);
        }
        else if (end.kind === "shed" || end.kind === "settled") {
            refuse(state, end.result);
        }
        else if (end.kind === "broken" && end.answerStarted) {
            emit({ kind: "cut", request: state.incoming.id });
            finish(state);
        }
        else {
            refuse(state, end.kind === "notSent" ? results.issuerGone : results.outcomeUnknown);
        }
    };
    const settled = (state: RequestState, result: Result): void => {
        if (result.outcome === "unknown" && !isAtMostOnce(state)) {
            again(state, false);
            return;
        }
        refuse(state, result);
    };
    const broken = (state: RequestState, attempt: Attempt, answerStarted: boolean): void => {
        if (answerStarted && state.winner === attempt.id) {
            if (state.serial !== undefined) {
                options.tickets.ran(state.serial, undefined);
            }
            emit({ kind: "cut", request: state.incoming.id });
            finish(state);
            return;
        }
        if (isAtMostOnce(state)) {
            refuse(state, results.outcomeUnknown);
            return;
        }
        again(state, false);
    };
    /** Tries once more where that is safe and the budget allows; `isProvedNotRun` tells what to answer otherwise. */
    const again = (state: RequestState, isProvedNotRun: boolean): void => {
        if (state.attempts.size > 0) {
            return;
        }
        if (options.poison.deaths(state.incoming.fingerprint()) >= poisonDeaths) {
            refuse(state, results.poison);
            return;
        }
        const final = isProvedNotRun ? state.lastRefusal ?? results.noRoom : results.outcomeUnknown;
        const mayTry = state.incoming.isReplayable && state.tries < mostTries && mayForward(state) && !state.isOrphan
            && timer.now() < state.deadlineAt;
        if (!mayTry || !options.deskOf(state).retries.tryWithdraw()) {
            refuse(state, final);
            return;
        }
        if (!tryAnywhere(state)) {
            refuse(state, final);
        }
    };
    const serveQueue = (desk: ServiceDesk): void => {
        const { queue, pool } = desk;
        while (queue.total() > 0 && !options.isHolding()) {
            const hasGrant = grants.hasRoom(desk.id);
            const state = queue.pop(lane => hasGrant || pool.room(lane) > 0);
            if (state === undefined) {
                return;
            }
            state.isQueued = false;
            if (!tryAnywhere(state)) {
                state.isQueued = true;
                queue.unpop(state.requestClass.lane, { item: state, deadlineAt: state.deadlineAt });
                return;
            }
        }
    };
    const expireQueue = (desk: ServiceDesk): void => {
        if (desk.queue.total() > 0 && !options.isServed(desk)) {
            desk.queue.clear().forEach(state => refuse(state, results.noTarget));
        }
    };
    return {
        begin,
        redeemAt: (state, issuer) => {
            states.set(state.incoming.id, state);
            options.counted(state, 1);
            sendToPeer(state, issuer, "redeem");
            state.cancels.push(timer.after(state.deadlineAt - timer.now(), () => deadline(state)));
        },
        answered,
        ended,
        abandoned,
        serveQueue,
        expireQueue,
        find: id => states.get(id),
        inFlight: () => states.size,
    };
}
