/** An entry: the real core, with fakes in place of sockets. */
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

/** A piece of work that a caller wants done. */
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

/** What an entry tells whoever asked. */
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
    /** The store has a new document; entries that watch it hear of it. */
    onStoreChanged(): void;
    /** Takes a request of a caller or a peer; returns what to call when the asker goes away. */
    acceptRequest(work: WorkItem, wish: RequestContext, tell: (told: EntryReply) => void): () => void;
}

export interface RequestContext {
    readonly origin: IncomingRequest["origin"];
    readonly ticket: Ticket | undefined;
    readonly remainingMs: number;
}

interface Exchange {
    readonly work: WorkItem;
    readonly wish: RequestContext;
    readonly tell: (told: EntryReply) => void;
    /** Code and work of the answers that tries brought. */
    readonly answers: Map<AttemptId, { readonly code: number; readonly workId: string; }>;
}

/** Time after which a session that lets nothing through is found silent and ended. */
const silentMs = 2_000;
const watchMs = 100;
const redialMs = 500;
const followMs = 300;
const listMs = 1_000;

export function createFakeEntry(world: Simulation, address: Address, dataCentre: DataCentreId): FakeEntry {
    const timer = createProcessTimer(world.timer);
    const run = `${world.timer.now()}-${world.random.below(1_000_000)}`;
    const instance = toInstanceId(`${address}/${run}`);
    const exchanges = new Map<RequestId, Exchange>();
    const cancels = new Map<AttemptId, () => void>();
    const sessions = new Map<Address, InstanceId>();
    let requestCount = 0;

    const handle = (event: CoreEvent): void => core.handle(event);
    const endTry = (attempt: AttemptId, end: AttemptEnd): void => {
        if (cancels.delete(attempt)) {
            handle({ kind: "attemptEnded", attempt, end });
        }
    };
    const answer = (request: RequestId, attempt: AttemptId, code: number, of: string): void => {
        if (!cancels.has(attempt)) {
            return;
        }
        exchanges.get(request)?.answers.set(attempt, { code, workId: of });
        handle({ kind: "attemptAnswered", attempt });
        endTry(attempt, { kind: "done", cachedAnswer: { status: 200, contentType: "text/plain", body: Buffer.from(of) } });
    };
    const sendToTarget = (action: CoreAction & { kind: "sendToTarget"; }): void => {
        const exchange = exchanges.get(action.request)!;
        const target = world.target(action.target);
        const { workId: work, isAtMostOnce, meanMs, isPoison } = exchange.work;
        const delay = world.delays.withinRegionMs;
        let running: RunningRequest | undefined;
        let isCancelled = false;
        const reply = (told: TargetOutcome): void => {
            world.timer.after(delay, () =>
                timer.runOrDefer(() => {
                    if (told === "answered") {
                        answer(action.request, action.attempt, results.answered.code, work);
                    }
                    else {
                        endTry(action.attempt, endOf(told));
                    }
                }));
        };
        cancels.set(action.attempt, () => {
            isCancelled = true;
            world.timer.after(delay, () => running?.cancel());
        });
        world.timer.after(delay, () => {
            if (!isCancelled && !timer.isDead()) {
                running = target.start({ workId: work, isAtMostOnce, entry: instance, meanMs, isPoison }, reply);
            }
        });
    };
    const sendToPeer = (action: CoreAction & { kind: "sendToPeer"; }): void => {
        const exchange = exchanges.get(action.request)!;
        const peer = peerOf(action.peer);
        if (peer === undefined || peer.isDead()) {
            cancels.set(action.attempt, () => {});
            endTry(action.attempt, { kind: "notSent" });
            return;
        }
        noteMove(peer, exchange);
        const delay = world.networkDelayMs(dataCentre, peer.dataCentre);
        let abandon: (() => void) | undefined;
        const tell = (told: EntryReply): void => overNetwork(peer, fake, () => takeTold(action.request, action.attempt, told));
        cancels.set(action.attempt, () => {
            if (abandon !== undefined) {
                overNetwork(fake, peer, abandon);
            }
        });
        // A connection that stays silent is found and ended; so are those of a dead peer.
        let cutSince = Infinity;
        const watch = (): void => {
            if (!cancels.has(action.attempt)) {
                return;
            }
            cutSince = world.isPartitioned(fake, peer) ? Math.min(cutSince, timer.now()) : Infinity;
            if (peer.isDead() || timer.now() - cutSince >= silentMs) {
                endTry(action.attempt, { kind: "broken", hasAnswerStarted: false });
                return;
            }
            timer.after(watchMs, watch);
        };
        watch();
        if (world.isPartitioned(fake, peer)) {
            return;
        }
        world.timer.after(delay, () =>
            peer.timer.runOrDefer(() => {
                abandon = peer.acceptRequest(exchange.work, {
                    origin: { kind: "peer", peer: instance, role: action.role, attempt: action.attempt },
                    ticket: exchange.wish.ticket,
                    remainingMs: action.remainingMs,
                }, tell);
            }));
    };
    const takeTold = (request: RequestId, attempt: AttemptId, told: EntryReply): void => {
        switch (told.kind) {
            case "answer":
                answer(request, attempt, told.code, told.workId);
                break;
            case "refusal":
                endTry(attempt, { kind: told.result.outcome === "notRun" ? "shed" : "settled", result: told.result });
                break;
            case "cut":
                endTry(attempt, { kind: "broken", hasAnswerStarted: true });
                break;
        }
    };
    const noteMove = (peer: FakeEntry, exchange: Exchange): void => {
        const from = world.regionOf(dataCentre);
        const to = world.regionOf(peer.dataCentre);
        if (from !== to) {
            const service = toServiceId(exchange.work.service);
            world.log.append({ kind: "moved", at: world.timer.now(), service, from, to, entry: instance });
        }
    };
    /** The session's other end, if this run of it is still the one that was met. */
    const peerOf = (peer: InstanceId): FakeEntry | undefined => world.entries().find(entry => entry.instance === peer);
    const overNetwork = (from: FakeEntry, to: FakeEntry, arrive: () => void): void => {
        if (world.isPartitioned(from, to) || to.isDead() || from.isDead()) {
            return;
        }
        world.timer.after(world.networkDelayMs(from.dataCentre, to.dataCentre), () => {
            if (!world.isPartitioned(from, to)) {
                to.timer.runOrDefer(arrive);
            }
        });
    };
    const act = (action: CoreAction): void => {
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
                    exchange.tell({ kind: "answer", ...found });
                }
                break;
            }
            case "refuse":
                exchanges.get(action.request)?.tell({ kind: "refusal", result: action.result });
                break;
            case "repeat":
                exchanges.get(action.request)?.tell({
                    kind: "answer",
                    code: results.answeredAgain.code,
                    workId: Buffer.from(action.answer.body).toString(),
                });
                break;
            case "cut":
                exchanges.get(action.request)?.tell({ kind: "cut" });
                break;
            case "cancelAttempt": {
                const cancel = cancels.get(action.attempt);
                cancel?.();
                endTry(action.attempt, { kind: "cancelled" });
                break;
            }
            case "message": {
                const peer = peerOf(action.to);
                if (peer !== undefined) {
                    overNetwork(fake, peer, () => peer.handle({ kind: "peerMessage", from: instance, message: action.message }));
                }
                break;
            }
            case "probeTarget":
                timer.after(
                    1,
                    () =>
                        handle({ kind: "targetProbed", target: action.target, isHealthy: !world.target(action.target).isDead() }),
                );
                break;
            case "inForce":
                world.log.append({ kind: "inForce", at: world.timer.now(), entry: instance, revision: action.revision });
                break;
        }
    };
    const self = { instance, dataCentre, url: `http://${address}` };
    const core = createEntryCore({
        timer,
        random: createRandom(world.random.below(2 ** 31)),
        self,
        key: "key of the harness",
        emit: act,
        policy: world.policy,
    });
    /** Dials every listed address: meets who answers, learns who refuses. */
    const redial = (): void => {
        for (const other of world.entries()) {
            if (other.address === address || world.isPartitioned(fake, other)) {
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
    const follow = (): void => {
        if (!core.isFollower() && core.index() !== undefined) {
            return;
        }
        if (!world.isStoreReachableFrom(fake)) {
            handle({ kind: "storeFailed" });
            return;
        }
        const text = world.storedDocument();
        if (text !== undefined) {
            handle({ kind: "documentOffered", text, source: "store" });
        }
    };
    const take: FakeEntry["acceptRequest"] = (work, wish, tell) => {
        const id = toRequestId(`${instance}#${++requestCount}`);
        exchanges.set(id, { work, wish, tell, answers: new Map() });
        handle({
            kind: "requestArrived",
            request: {
                id,
                service: toServiceId(work.service),
                method: work.method,
                path: work.path,
                remainingMs: wish.remainingMs,
                ticket: wish.ticket,
                isReplayable: true,
                bodyBytes: 0,
                fingerprint: () => toFingerprint(`${work.service} ${work.method} ${work.path}`),
                origin: wish.origin,
            },
        });
        return () => handle({ kind: "requestAbandoned", request: id });
    };
    let frozen = false;
    const fake: FakeEntry = {
        address,
        dataCentre,
        instance,
        core,
        timer: {
            ...timer,
            pause: () => {
                frozen = true;
                timer.pause();
            },
            resume: () => {
                frozen = false;
                timer.resume();
            },
        },
        isPaused: () => frozen,
        isDead: timer.isDead,
        kill: () => {
            timer.kill();
            cancels.forEach(cancel => cancel());
            cancels.clear();
        },
        handle,
        onStoreChanged: () => timer.runOrDefer(follow),
        acceptRequest: take,
    };
    timer.subscribe(redialMs, redial);
    timer.subscribe(followMs, follow);
    timer.subscribe(listMs, () => handle({ kind: "instancesListed", instances: world.listedInstances() }));
    timer.after(1, redial);
    timer.after(2, follow);
    return fake;
}

function endOf(reply: Exclude<TargetOutcome, "answered">): AttemptEnd {
    switch (reply) {
        case "shed":
            return { kind: "shed", result: results.refusedByTarget };
        case "refused":
            return { kind: "notSent" };
        case "broken":
            return { kind: "broken", hasAnswerStarted: false };
    }
}
