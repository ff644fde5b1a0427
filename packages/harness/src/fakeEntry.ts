/** Simulated entry: the real core with simulated connections in place of sockets. */
import { createEntryCore, type EntryCore } from "@pimentospring/core/entryCore";
import {
    type Address,
    type AttemptId,
    type DataCentreId,
    type InstanceId,
    type RequestId,
    type Ticket,
    toFingerprint,
    toInstanceId,
    toRequestId,
    toServiceId,
} from "@pimentospring/core/ids";
import { createRandom } from "@pimentospring/core/random/random";
import type { AttemptEnd, CoreAction, CoreEvent, IncomingRequest } from "@pimentospring/core/requests/events";
import { type Result, results } from "@pimentospring/core/results/resultCode";
import type { RunningRequest, TargetOutcome } from "./fakeTarget.js";
import { createProcessTimer, type ProcessTimer } from "./processTimer.js";
import type { Simulation } from "./simulation.js";

/** A logical request of a caller; retries carry the same `workId`. */
export interface WorkItem {
    readonly workId: string;
    readonly service: string;
    readonly method: string;
    readonly path: string;
    readonly isAtMostOnce: boolean;
    readonly meanMs: number;
    readonly isPoison: boolean;
    readonly deadlineMs: number;
}

/** Reply of an entry to a caller or a peer. */
export type EntryReply =
    | { readonly kind: "answer"; readonly code: number; readonly workId: string; }
    | { readonly kind: "refusal"; readonly result: Result; }
    | { readonly kind: "cut"; };

export interface FakeEntry {
    readonly address: Address;
    readonly dataCentre: DataCentreId;
    readonly instance: InstanceId;
    readonly core: EntryCore;
    readonly timer: ProcessTimer;
    isDead(): boolean;
    isPaused(): boolean;
    kill(): void;
    handle(event: CoreEvent): void;
    /** Notifies the entry that the document in the store has changed. */
    onStoreChanged(): void;
    /** Accepts a request from a caller or a peer; the returned function reports that the sender has disconnected. */
    acceptRequest(work: WorkItem, context: RequestContext, reply: (entryReply: EntryReply) => void): () => void;
}

export interface RequestContext {
    readonly origin: IncomingRequest["origin"];
    readonly ticket: Ticket | undefined;
    readonly remainingMs: number;
}

interface RequestExchange {
    readonly work: WorkItem;
    readonly context: RequestContext;
    readonly reply: (entryReply: EntryReply) => void;
    /** Result code and work id of the answer to each attempt. */
    readonly answers: Map<AttemptId, { readonly code: number; readonly workId: string; }>;
}

/** Time after which a connection across a network partition is found dead and closed. */
const connectionTimeoutMs = 2_000;
const connectionCheckIntervalMs = 100;
const redialIntervalMs = 500;
const storePollIntervalMs = 300;
const instanceListIntervalMs = 1_000;

export function createFakeEntry(simulation: Simulation, address: Address, dataCentre: DataCentreId): FakeEntry {
    const timer = createProcessTimer(simulation.timer);
    const runId = `${simulation.timer.now()}-${simulation.random.below(1_000_000)}`;
    const instance = toInstanceId(`${address}/${runId}`);
    const exchanges = new Map<RequestId, RequestExchange>();
    const cancels = new Map<AttemptId, () => void>();
    const sessions = new Map<Address, InstanceId>();
    let requestCount = 0;

    const handle = (event: CoreEvent): void => core.handle(event);
    const endAttempt = (attempt: AttemptId, end: AttemptEnd): void => {
        if (cancels.delete(attempt)) {
            handle({ kind: "attemptEnded", attempt, end });
        }
    };
    const answer = (request: RequestId, attempt: AttemptId, code: number, workId: string): void => {
        if (!cancels.has(attempt)) {
            return;
        }
        exchanges.get(request)?.answers.set(attempt, { code, workId });
        handle({ kind: "attemptAnswered", attempt });
        endAttempt(attempt, {
            kind: "done",
            cachedResponse: { status: 200, contentType: "text/plain", body: Buffer.from(workId) },
        });
    };
    const sendToTarget = (action: CoreAction & { kind: "sendToTarget"; }): void => {
        const exchange = exchanges.get(action.request)!;
        const target = simulation.target(action.target);
        const { workId, isAtMostOnce, meanMs, isPoison } = exchange.work;
        const delayMs = simulation.delays.withinRegionMs;
        let running: RunningRequest | undefined;
        let isCancelled = false;
        const reply = (outcome: TargetOutcome): void => {
            simulation.timer.after(delayMs, () =>
                timer.runOrDefer(() => {
                    if (outcome === "answered") {
                        answer(action.request, action.attempt, results.answered.code, workId);
                    }
                    else {
                        endAttempt(action.attempt, toAttemptEnd(outcome));
                    }
                }));
        };
        cancels.set(action.attempt, () => {
            isCancelled = true;
            simulation.timer.after(delayMs, () => running?.cancel());
        });
        simulation.timer.after(delayMs, () => {
            if (!isCancelled && !timer.isDead()) {
                running = target.start({ workId, isAtMostOnce, entry: instance, meanMs, isPoison }, reply);
            }
        });
    };
    const sendToPeer = (action: CoreAction & { kind: "sendToPeer"; }): void => {
        const exchange = exchanges.get(action.request)!;
        const peer = findPeer(action.peer);
        if (peer === undefined || peer.isDead()) {
            cancels.set(action.attempt, () => {});
            endAttempt(action.attempt, { kind: "notSent" });
            return;
        }
        logForwarded(peer, exchange);
        const delayMs = simulation.networkDelayMs(dataCentre, peer.dataCentre);
        let abandon: (() => void) | undefined;
        const forwardReply = (entryReply: EntryReply): void =>
            sendOverNetwork(peer, fake, () => handlePeerReply(action.request, action.attempt, entryReply));
        cancels.set(action.attempt, () => {
            if (abandon !== undefined) {
                sendOverNetwork(fake, peer, abandon);
            }
        });
        // Closes the connection when the peer is dead or has been unreachable for the connection timeout.
        let partitionedSince = Infinity;
        const checkConnection = (): void => {
            if (!cancels.has(action.attempt)) {
                return;
            }
            partitionedSince = simulation.isPartitioned(fake, peer) ? Math.min(partitionedSince, timer.now()) : Infinity;
            if (peer.isDead() || timer.now() - partitionedSince >= connectionTimeoutMs) {
                endAttempt(action.attempt, { kind: "broken", hasResponseStarted: false });
                return;
            }
            timer.after(connectionCheckIntervalMs, checkConnection);
        };
        checkConnection();
        if (simulation.isPartitioned(fake, peer)) {
            return;
        }
        simulation.timer.after(delayMs, () =>
            peer.timer.runOrDefer(() => {
                abandon = peer.acceptRequest(exchange.work, {
                    origin: { kind: "peer", peer: instance, role: action.role, attempt: action.attempt },
                    ticket: exchange.context.ticket,
                    remainingMs: action.remainingMs,
                }, forwardReply);
            }));
    };
    const handlePeerReply = (request: RequestId, attempt: AttemptId, entryReply: EntryReply): void => {
        switch (entryReply.kind) {
            case "answer":
                answer(request, attempt, entryReply.code, entryReply.workId);
                break;
            case "refusal":
                endAttempt(attempt, {
                    kind: entryReply.result.outcome === "notRun" ? "shed" : "settled",
                    result: entryReply.result,
                });
                break;
            case "cut":
                endAttempt(attempt, { kind: "broken", hasResponseStarted: true });
                break;
        }
    };
    const logForwarded = (peer: FakeEntry, exchange: RequestExchange): void => {
        const from = simulation.regionOf(dataCentre);
        const to = simulation.regionOf(peer.dataCentre);
        if (from !== to) {
            const service = toServiceId(exchange.work.service);
            simulation.log.append({ kind: "moved", at: simulation.timer.now(), service, from, to, entry: instance });
        }
    };
    /** The peer's process, unless it has been restarted since the session was set up. */
    const findPeer = (peer: InstanceId): FakeEntry | undefined => simulation.entries().find(entry => entry.instance === peer);
    const sendOverNetwork = (from: FakeEntry, to: FakeEntry, arrive: () => void): void => {
        if (simulation.isPartitioned(from, to) || to.isDead() || from.isDead()) {
            return;
        }
        simulation.timer.after(simulation.networkDelayMs(from.dataCentre, to.dataCentre), () => {
            if (!simulation.isPartitioned(from, to)) {
                to.timer.runOrDefer(arrive);
            }
        });
    };
    const executeAction = (action: CoreAction): void => {
        switch (action.kind) {
            case "sendToTarget":
                sendToTarget(action);
                break;
            case "sendToPeer":
                sendToPeer(action);
                break;
            case "deliver": {
                const exchange = exchanges.get(action.request);
                const found = exchange?.answers.get(action.attempt);
                if (exchange !== undefined && found !== undefined) {
                    exchange.reply({ kind: "answer", ...found });
                }
                break;
            }
            case "refuse":
                exchanges.get(action.request)?.reply({ kind: "refusal", result: action.result });
                break;
            case "repeat":
                exchanges.get(action.request)?.reply({
                    kind: "answer",
                    code: results.answeredAgain.code,
                    workId: Buffer.from(action.answer.body).toString(),
                });
                break;
            case "cut":
                exchanges.get(action.request)?.reply({ kind: "cut" });
                break;
            case "cancelAttempt": {
                const cancel = cancels.get(action.attempt);
                cancel?.();
                endAttempt(action.attempt, { kind: "cancelled" });
                break;
            }
            case "message": {
                const peer = findPeer(action.to);
                if (peer !== undefined) {
                    sendOverNetwork(
                        fake,
                        peer,
                        () => peer.handle({ kind: "peerMessage", from: instance, message: action.message }),
                    );
                }
                break;
            }
            case "probeTarget":
                timer.after(
                    1,
                    () =>
                        handle({
                            kind: "targetProbed",
                            target: action.target,
                            isHealthy: !simulation.target(action.target).isDead(),
                        }),
                );
                break;
            case "inForce":
                simulation.log.append({
                    kind: "inForce",
                    at: simulation.timer.now(),
                    entry: instance,
                    revision: action.revision,
                });
                break;
        }
    };
    const self = { instance, dataCentre, url: `http://${address}` };
    const core = createEntryCore({
        timer,
        random: createRandom(simulation.random.below(2 ** 31)),
        self,
        key: "key of the harness",
        emit: executeAction,
        policy: simulation.policy,
    });
    /** Dials every entry without an open session and reports which ones accept or refuse the connection. */
    const redial = (): void => {
        for (const other of simulation.entries()) {
            if (other.address === address || simulation.isPartitioned(fake, other)) {
                continue;
            }
            if (other.isDead()) {
                handle({ kind: "peerRefused", address: other.address });
            }
            else if (sessions.get(other.address) !== other.instance && !other.isPaused()) {
                sessions.set(other.address, other.instance);
                handle({
                    kind: "peerMet",
                    peer: { instance: other.instance, dataCentre: other.dataCentre, url: `http://${other.address}` },
                });
            }
        }
    };
    const pollStore = (): void => {
        if (!core.isFollower() && core.index() !== undefined) {
            return;
        }
        if (!simulation.isStoreReachableFrom(fake)) {
            handle({ kind: "storeFailed" });
            return;
        }
        const text = simulation.storedDocument();
        if (text !== undefined) {
            handle({ kind: "documentOffered", text, source: "store" });
        }
    };
    const acceptRequest: FakeEntry["acceptRequest"] = (work, context, reply) => {
        const id = toRequestId(`${instance}#${++requestCount}`);
        exchanges.set(id, { work, context, reply, answers: new Map() });
        handle({
            kind: "requestArrived",
            request: {
                id,
                service: toServiceId(work.service),
                method: work.method,
                path: work.path,
                remainingMs: context.remainingMs,
                ticket: context.ticket,
                isReplayable: true,
                bodyBytes: 0,
                fingerprint: () => toFingerprint(`${work.service} ${work.method} ${work.path}`),
                origin: context.origin,
            },
        });
        return () => handle({ kind: "requestAbandoned", request: id });
    };
    let isPaused = false;
    const fake: FakeEntry = {
        address,
        dataCentre,
        instance,
        core,
        timer: {
            ...timer,
            pause: () => {
                isPaused = true;
                timer.pause();
            },
            resume: () => {
                isPaused = false;
                timer.resume();
            },
        },
        isPaused: () => isPaused,
        isDead: timer.isDead,
        kill: () => {
            timer.kill();
            cancels.forEach(cancel => cancel());
            cancels.clear();
        },
        handle,
        onStoreChanged: () => timer.runOrDefer(pollStore),
        acceptRequest,
    };
    timer.subscribe(redialIntervalMs, redial);
    timer.subscribe(storePollIntervalMs, pollStore);
    timer.subscribe(instanceListIntervalMs, () => handle({ kind: "instancesListed", instances: simulation.listedInstances() }));
    timer.after(1, redial);
    timer.after(2, pollStore);
    return fake;
}

function toAttemptEnd(outcome: Exclude<TargetOutcome, "answered">): AttemptEnd {
    switch (outcome) {
        case "shed":
            return { kind: "shed", result: results.refusedByTarget };
        case "refused":
            return { kind: "notSent" };
        case "broken":
            return { kind: "broken", hasResponseStarted: false };
    }
}
