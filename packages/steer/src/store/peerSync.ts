/**
 * Entries that don't watch the store, or that it refuses, take what it holds from a peer that it answers: a known one, or
 * one that the settings name. Asking introduces the entry to the peer, which then tells it news although the store does not list it.
 */
import type { InstanceId } from "@pimentospring/core/ids";
import type { MemberRecord, Members } from "@pimentospring/core/steering/members";
import type { Timer } from "@pimentospring/core/time/timer";
import { readBody, type Routes } from "@pimentospring/runtime/http/jsonServer";
import type { Log } from "@pimentospring/runtime/logs/log";
import { logEvents } from "@pimentospring/runtime/logs/logEvents";
import { Packr } from "msgpackr";
import { request } from "undici";
import { decodeMember, encodeMember } from "./storeItems.js";
import type { StoreReplica, StoreUpdate } from "./storeReplica.js";

export interface PeerSyncOptions {
    readonly log: Log;
    readonly timer: Timer;
    readonly self: MemberRecord;
    readonly members: Members;
    readonly replica: StoreReplica;
    /** `host:port` of entries that may be asked though nothing is known of them. */
    readonly seeds: () => readonly string[];
}

export interface PeerSync {
    /** What peers ask on the control address. */
    readonly routes: Routes;
    start(): void;
    /** A peer told the store's revision up to which it knows. */
    onPeerRevision(peer: MemberRecord, revision: number): void;
}

/** What an entry asks a peer: everything, if the peer knows more than this revision. */
interface StateRequest {
    readonly id: InstanceId;
    /** The asker's record, as the store would hold it. */
    readonly record: Buffer;
    readonly after: number;
}

const path = "/state";
const timeoutMs = 800;
/** Whether a seed should be asked is looked at this often. */
const intervalMs = 500;
/** An entry without the store asks a seed when no peer told news for this long. */
const seedIntervalMs = 1_000;
const maxRequestBytes = 4_096;

const packr = new Packr({ useRecords: false });

export function createPeerSync(options: PeerSyncOptions): PeerSync {
    const { log, timer, self, members, replica: follower } = options;
    const question = (): StateRequest => ({ id: self.id, record: encodeMember(self), after: follower.revision() });
    let askedAt = -Infinity;
    let isAsking = false;
    let seedTurn = 0;

    const ask = async (address: string): Promise<void> => {
        askedAt = timer.now();
        isAsking = true;
        try {
            const answer = await request(`http://${address}${path}`, {
                method: "POST",
                body: packr.pack(question()),
                signal: AbortSignal.timeout(timeoutMs),
            });
            const bytes = Buffer.from(await answer.body.arrayBuffer());
            if (answer.statusCode === 200) {
                adopt(address, packr.unpack(bytes) as StoreUpdate);
            }
        }
        catch (error) {
            log.write(logEvents.peerStateFailed, { peer: address, reason: (error as Error).message });
        }
        finally {
            isAsking = false;
        }
    };
    const adopt = (peer: string, news: StoreUpdate): void => {
        if (follower.applyUpdate(news) && (news.kind === "state" || !follower.isConnected())) {
            log.write(logEvents.stateAdopted, { peer, revision: news.revision, kind: news.kind });
        }
    };
    /** Returns what is known, or `undefined` if that is no more than the asker knows. */
    const answer = (asked: StateRequest): StoreUpdate | undefined => {
        const record = decodeMember(asked.id, Buffer.from(asked.record));
        if (record.isValid) {
            members.addAnnounced(record.value);
        }
        return follower.revision() > asked.after ? follower.updateSince(asked.after) : undefined;
    };
    const askSeed = (): void => {
        const seeds = options.seeds().filter(seed => seed !== self.control);
        if (follower.isConnected() || seeds.length === 0 || isAsking || timer.now() - askedAt < seedIntervalMs) {
            return;
        }
        void ask(seeds[seedTurn++ % seeds.length]!);
    };
    return {
        routes: {
            [`POST ${path}`]: async (incoming, response) => {
                const state = answer(packr.unpack(await readBody(incoming, maxRequestBytes)) as StateRequest);
                const body = state === undefined ? undefined : packr.pack(state);
                response.writeHead(body === undefined ? 204 : 200, { "content-type": "application/msgpack" });
                response.end(body);
            },
        },
        start: () => {
            timer.subscribe(intervalMs, askSeed);
        },
        onPeerRevision: (peer, revision) => {
            if (!follower.isWatching() && revision > follower.revision() && !isAsking) {
                void ask(peer.control);
            }
        },
    };
}
