/** How current this entry's replica of the store is, as far as the entry can tell from the store and from its peers. */
import type { ReplicaFreshnessStatus } from "@pimentospring/core/steering/steeringStatus";
import type { Timer } from "@pimentospring/core/time/timer";
import type { Log } from "@pimentospring/runtime/logs/log";
import { logEvents } from "@pimentospring/runtime/logs/logEvents";
import { eraOf, revisionInEraOf } from "./storeRevision.js";

export interface ReplicaFreshnessOptions {
    readonly timer: Timer;
    readonly log: Log;
    readonly revision: () => number;
    /** Time since which a call for changes or for a snapshot has been pending; `undefined` if none is. */
    readonly pendingSince: () => number | undefined;
    /** Time of the store's last response to any call. */
    readonly lastResponseAt: () => number;
}

/** Revisions are given as the store counts them, each with its era. */
export interface Freshness extends ReplicaFreshnessStatus {
    readonly revision: number;
    readonly era: number;
    /** Newest era heard of from other entries. */
    readonly peerEra: number;
}

export interface ReplicaFreshness {
    start(): void;
    recordPeerRevision(revision: number): void;
    recordUnknownPeerRevision(revision: number): void;
    current(): Freshness;
}

const checkIntervalMs = 250;
/** A replica is stale if a peer has been ahead of it for this long. */
const maxLagMs = 1_000;
/** A replica is stale if the store has not responded to this entry for this long; leases are renewed more often. */
const maxSilenceMs = 4_000;

export function createReplicaFreshness(options: ReplicaFreshnessOptions): ReplicaFreshness {
    const { timer, log } = options;
    const startedAt = timer.now();
    let peerRevision = 0;
    let unknownPeerRevision = 0;
    let behindSince: number | undefined;
    let staleSince: number | undefined;

    const newestRevision = (): number => Math.max(peerRevision, unknownPeerRevision);
    const reason = (): string | undefined => {
        if (behindSince !== undefined && timer.now() - behindSince >= maxLagMs) {
            return "another entry has a newer revision";
        }
        return timer.now() - Math.max(options.lastResponseAt(), startedAt) >= maxSilenceMs
            ? "the store does not respond"
            : undefined;
    };
    const ageOf = (time: number | undefined): number | undefined =>
        time === undefined || time === -Infinity ? undefined : Math.round(timer.now() - time);
    const current = (): Freshness => ({
        revision: revisionInEraOf(options.revision()),
        era: eraOf(options.revision()),
        peerEra: eraOf(newestRevision()),
        peerRevision: revisionInEraOf(peerRevision),
        unknownPeerRevision: revisionInEraOf(unknownPeerRevision),
        pendingMs: ageOf(options.pendingSince()),
        silentMs: ageOf(options.lastResponseAt()),
        staleMs: ageOf(staleSince) ?? 0,
    });
    const check = (): void => {
        if (newestRevision() <= options.revision()) {
            behindSince = undefined;
        }
        const staleReason = reason();
        if (staleReason !== undefined && staleSince === undefined) {
            staleSince = timer.now();
            log.write(logEvents.replicaStale, { reason: staleReason, ...current() });
        }
        else if (staleReason === undefined && staleSince !== undefined) {
            log.write(logEvents.replicaFresh, { ...current() });
            staleSince = undefined;
        }
    };
    const noteLag = (): void => {
        if (newestRevision() > options.revision()) {
            behindSince ??= timer.now();
        }
    };
    return {
        start: () => void timer.subscribe(checkIntervalMs, check),
        recordPeerRevision: revision => {
            peerRevision = Math.max(peerRevision, revision);
            noteLag();
        },
        recordUnknownPeerRevision: revision => {
            unknownPeerRevision = Math.max(unknownPeerRevision, revision);
            noteLag();
        },
        current,
    };
}
