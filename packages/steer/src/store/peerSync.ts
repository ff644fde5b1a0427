/**
 * Synchronises an entry that does not watch the store, or can't reach it, from a peer: a known member or a seed from
 * the settings. The request also introduces this entry to the peer, which then sends it heartbeats although the store
 * does not list it.
 */
import type { MemberRecord, Members } from "@pimentospring/core/steering/members";
import type { Timer } from "@pimentospring/core/time/timer";
import { readBody, type Routes, sendJson } from "@pimentospring/runtime/http/jsonServer";
import type { Log } from "@pimentospring/runtime/logs/log";
import { logEvents } from "@pimentospring/runtime/logs/logEvents";
import {
    decodeStateRequest,
    decodeStoreUpdate,
    encodeStateRequest,
    encodeStoreUpdate,
    type StateRequest,
    type StoreUpdate,
} from "./peerMessages.js";
import type { StoreFailures } from "./storeFailures.js";
import { decodeMember, encodeMember } from "./storeItems.js";
import type { StoreReplica } from "./storeReplica.js";
import { revisionFields } from "./storeRevision.js";

/**
 * Sends an encoded state request to a peer's control address. Resolves to the encoded update, or to `undefined` if the
 * peer has none; rejects if there is no response.
 */
export type StateRequester = (address: string, request: Buffer) => Promise<Buffer | undefined>;

export interface PeerSyncOptions {
    readonly log: Log;
    readonly timer: Timer;
    readonly self: MemberRecord;
    readonly members: Members;
    readonly replica: StoreReplica;
    readonly failures: StoreFailures;
    /** Control addresses (`host:port`) of entries to ask while no peer is known. */
    readonly seeds: () => readonly string[];
    readonly requestState: StateRequester;
}

export interface PeerSync {
    /** Routes for peers, served on the control address. */
    readonly routes: Routes;
    /** Returns the encoded update for a peer, or `undefined` if it is up to date. */
    respond(stateRequest: StateRequest): Buffer | undefined;
    start(): void;
    /** Handles the store revision announced by a peer. */
    onPeerRevision(peer: MemberRecord, revision: number): void;
}

/** Path of the route for peers. */
export const statePath = "/state";
/** Interval at which it is checked whether to ask a seed. */
const seedCheckIntervalMs = 500;
/** An entry without the store asks a seed if it has asked nobody for this long. */
const seedRequestIntervalMs = 1_000;
/** Largest state request. */
export const maxStateRequestBytes = 4_096;
/** Another peer is asked too if one has not responded for this long. */
const hedgeDelayMs = 250;
/** Peers asked at the same time. */
const maxPending = 2;
/** A peer that failed to respond is asked only if there is no other for this long. */
const failedPeerPauseMs = 3_000;

export function createPeerSync(options: PeerSyncOptions): PeerSync {
    const { log, timer, self, members, replica, failures } = options;
    const createRequest = (): StateRequest => ({ id: self.id, record: encodeMember(self), after: replica.revision() });
    /** Peers that have announced a newer revision, by control address; most recently heard last. */
    const aheadPeers = new Map<string, number>();
    /** Addresses asked at the moment. */
    const pending = new Set<string>();
    const failedAt = new Map<string, number>();
    let lastRequestAt = -Infinity;
    let nextSeed = 0;

    const synchronise = async (address: string): Promise<void> => {
        const askedAt = timer.now();
        lastRequestAt = askedAt;
        pending.add(address);
        const cancelHedge = timer.after(hedgeDelayMs, askNextPeer);
        try {
            const bytes = await options.requestState(address, encodeStateRequest(createRequest()));
            failedAt.delete(address);
            if (bytes !== undefined) {
                receiveUpdate(address, bytes, askedAt);
            }
        }
        catch (error) {
            failedAt.set(address, timer.now());
            log.write(logEvents.peerStateFailed, { peer: address, reason: (error as Error).message });
        }
        finally {
            cancelHedge();
            pending.delete(address);
            aheadPeers.delete(address);
            askNextPeer();
        }
    };
    const hasFailedRecently = (address: string): boolean =>
        timer.now() - (failedAt.get(address) ?? -Infinity) < failedPeerPauseMs;
    /** Asks the peer heard of last that is ahead of this entry; one that failed recently only if there is no other. */
    const askNextPeer = (): void => {
        if (pending.size >= maxPending) {
            return;
        }
        aheadPeers.forEach((revision, address) => revision <= replica.revision() && aheadPeers.delete(address));
        const candidates = [...aheadPeers.keys()].filter(address => !pending.has(address));
        const next = candidates.findLast(address => !hasFailedRecently(address)) ?? candidates.at(-1);
        if (next !== undefined) {
            void synchronise(next);
        }
    };
    const receiveUpdate = (peer: string, bytes: Buffer, askedAt: number): void => {
        const update = decodeStoreUpdate(bytes);
        if (update === undefined) {
            log.write(logEvents.peerStateFailed, { peer, reason: "the update is malformed" });
            return;
        }
        if (update.failureAgeMs !== undefined) {
            failures.recordTold(peer, update.failureAgeMs, askedAt);
        }
        applyUpdate(peer, update);
    };
    const applyUpdate = (peer: string, update: StoreUpdate): void => {
        if (replica.applyUpdate(update) && (update.kind === "state" || !replica.isConnected())) {
            log.write(logEvents.stateAdopted, { peer, ...revisionFields(update.revision), kind: update.kind });
        }
    };
    const respond = (stateRequest: StateRequest): Buffer | undefined => {
        const record = decodeMember(stateRequest.id, stateRequest.record);
        if (record.isValid) {
            members.addAnnounced(record.value);
        }
        return replica.revision() > stateRequest.after
            ? encodeStoreUpdate({ ...replica.updateSince(stateRequest.after), failureAgeMs: failures.ageMs() })
            : undefined;
    };
    const synchroniseFromSeed = (): void => {
        const seeds = options.seeds().filter(seed => seed !== self.control);
        if (
            replica.isConnected() || seeds.length === 0 || pending.size > 0 || timer.now() - lastRequestAt < seedRequestIntervalMs
        ) {
            return;
        }
        void synchronise(seeds[nextSeed++ % seeds.length]!);
    };
    /** Between two of its calls to the store an entry takes changes from its own data centre, which costs the store nothing. */
    const isPausedBeside = (peer: MemberRecord): boolean =>
        replica.pendingSince() === undefined && peer.dataCentre === self.dataCentre;
    return {
        routes: {
            [`POST ${statePath}`]: async (incoming, response) => {
                const stateRequest = decodeStateRequest(await readBody(incoming, maxStateRequestBytes));
                if (stateRequest === undefined) {
                    sendJson(response, 400, { error: "the state request is malformed" });
                    return;
                }
                const body = respond(stateRequest);
                response.writeHead(body === undefined ? 204 : 200, { "content-type": "application/msgpack" });
                response.end(body);
            },
        },
        respond,
        start: () => {
            timer.subscribe(seedCheckIntervalMs, synchroniseFromSeed);
        },
        onPeerRevision: (peer, revision) => {
            if (revision <= replica.revision() || (replica.isWatching() && !isPausedBeside(peer))) {
                return;
            }
            aheadPeers.delete(peer.control);
            aheadPeers.set(peer.control, revision);
            if (pending.size === 0) {
                askNextPeer();
            }
        },
    };
}
