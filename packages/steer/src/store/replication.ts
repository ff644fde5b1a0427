/**
 * Keeps this entry's replica of the store current and its record in the store: from the store itself if this entry
 * watches it, otherwise from peers.
 */
import type { Random } from "@pimentospring/core/random/random";
import type { MemberRecord, Members } from "@pimentospring/core/steering/members";
import type { Timer } from "@pimentospring/core/time/timer";
import type { Routes } from "@pimentospring/runtime/http/jsonServer";
import type { Log } from "@pimentospring/runtime/logs/log";
import type { Heartbeat } from "../mesh/heartbeat.js";
import type { AnnouncementScope } from "../mesh/mesh.js";
import type { StateRequest } from "./peerMessages.js";
import { createPeerSync, type StateRequester } from "./peerSync.js";
import { createRegistration } from "./registration.js";
import { createReplicaFreshness, type Freshness } from "./replicaFreshness.js";
import type { ReplicatedItemsOptions } from "./replicatedItems.js";
import type { Store, StoreEvent } from "./store.js";
import { createStoreCalls } from "./storeCalls.js";
import { createStoreFailures } from "./storeFailures.js";
import { encodeMember, memberKey } from "./storeItems.js";
import { createStoreReplica, type StoreReplica } from "./storeReplica.js";
import { createWatcherElection, watchersPerDataCentre } from "./watcherElection.js";

export interface ReplicationOptions {
    readonly store: Store;
    readonly timer: Timer;
    readonly random: Random;
    readonly log: Log;
    readonly self: MemberRecord;
    readonly members: Members;
    /** Control addresses (`host:port`) of entries to ask while no peer is known. */
    readonly seeds: () => readonly string[];
    readonly requestState: StateRequester;
    readonly onEvent: (event: StoreEvent) => void;
    /** Called after all events of a batch. */
    readonly onBatchApplied: () => void;
    readonly redact?: ReplicatedItemsOptions["redact"];
    /** Announces this entry's revision to its peers. */
    readonly announceRevision: (scope: AnnouncementScope) => void;
}

export interface Replication {
    readonly replica: StoreReplica;
    /** Routes for peers, served on the control address. */
    readonly routes: Routes;
    /** Returns the encoded update for a peer, or `undefined` if it is up to date. */
    respondToPeer(stateRequest: StateRequest): Buffer | undefined;
    /** Begins to answer peers and to ask seeds. */
    startPeerSync(): void;
    /** Begins to call the store. */
    start(): void;
    onHeartbeat(heartbeat: Heartbeat, sender: MemberRecord): void;
    /** Takes the heartbeat of an entry that is not a known member. */
    onUnknownHeartbeat(heartbeat: Heartbeat): void;
    freshness(): Freshness;
    /** Time since the store last responded or a peer was last heard from, in milliseconds. */
    contactAgeMs(): number;
    /** Revision up to which items may stem from the older copy with which the store's current era began; 0 in era 0. */
    copyRevision(): number;
    /** Time since the store's last failure, in milliseconds, if a removed record may merely have expired in it. */
    storeFailureAgeMs(): number | undefined;
    /** Time since the store last failed this entry itself, whatever peers tell; `undefined` if it served the entry throughout. */
    ownStoreFailureAgeMs(): number | undefined;
    /** Who saw the store's last failure: `own`, or the address of the peer that told of it. */
    storeFailureSource(): string;
    /** Writes this entry's record again. */
    markRegistrationLost(): void;
    /** Removes this entry's record. */
    deregister(): Promise<void>;
    stop(): void;
}

/** Pause between two watch calls of a data centre's first watcher, and of its reserve. */
const watchPausesMs = { first: 400, reserve: 1_250 } as const;

/**
 * Mean time between calls of a watcher that the store does not answer. Other entries that call the store because they hear
 * from no watcher share this rate.
 */
const watcherRetryIntervalMs = 800;

/** An entry renews its lease more often than this, so that the store has failed for it if it has not responded for longer. */
const maxQuietMs = 2_600;

/** For this long after a failure of the store, or its own start, an entry tells other data centres at once what it reads. */
const recoveryMs = 10_000;

export function createReplication(options: ReplicationOptions): Replication {
    const { timer, random, log, self, members } = options;
    const failures = createStoreFailures(timer);
    const store = createStoreCalls(timer, options.store, failures);
    const watcherElection = createWatcherElection({ timer, self, members });
    const startedAt = timer.now();
    let lastSilenceAt = -Infinity;
    let lastPeerAt = -Infinity;
    /** Whether calls of other entries may still hang from a failure of the store. */
    const isRecovering = (): boolean => timer.now() - Math.max(startedAt, lastSilenceAt, replica.lastTroubleAt()) < recoveryMs;
    const announceRevision = (): void => options.announceRevision(isRecovering() ? "everywhere" : "dataCentre");
    const replica = createStoreReplica({
        store,
        timer,
        random,
        log,
        prefix: "",
        watchPauseMs: () => watcherElection.isFirstWatcher() ? watchPausesMs.first : watchPausesMs.reserve,
        isWatchNeeded: watcherElection.isWatcher,
        looksForChanges: members.hasLowestId,
        maxRetryIntervalMs: () =>
            watcherElection.isElected()
                ? watcherRetryIntervalMs
                : watcherRetryIntervalMs * Math.max(1, members.liveCountIn(self.dataCentre) / watchersPerDataCentre),
        onEvent: options.onEvent,
        onBatchApplied: () => {
            options.onBatchApplied();
            if (watcherElection.isElected()) {
                announceRevision();
            }
        },
        // Records in the copy may expire before their targets have written them again.
        onNewEra: () => failures.record(timer.now()),
        onStoreAdvanced: announceRevision,
        redact: options.redact,
    });
    const registration = createRegistration({
        store,
        timer,
        random,
        log,
        key: memberKey(self.id),
        value: encodeMember(self),
        onSilence: () => {
            lastSilenceAt = timer.now();
            replica.recordSilence();
        },
        onResponse: replica.recordResponse,
    });
    const peerSync = createPeerSync({
        log,
        timer,
        self,
        members,
        replica,
        failures,
        seeds: options.seeds,
        requestState: options.requestState,
    });
    const freshness = createReplicaFreshness({
        timer,
        log,
        revision: replica.revision,
        pendingSince: replica.pendingSince,
        lastResponseAt: store.lastResponseAt,
    });
    return {
        replica,
        routes: peerSync.routes,
        respondToPeer: peerSync.respond,
        startPeerSync: peerSync.start,
        start: () => {
            freshness.start();
            replica.start();
            registration.start();
        },
        onHeartbeat: (heartbeat, sender) => {
            lastPeerAt = timer.now();
            freshness.recordPeerRevision(heartbeat.revision);
            replica.recordPeerRevision(heartbeat.revision);
            if (heartbeat.isWatching && !heartbeat.isLeaving) {
                watcherElection.recordWatcherHeartbeat(sender);
            }
            peerSync.onPeerRevision(sender, heartbeat.revision);
        },
        onUnknownHeartbeat: ({ revision }) => freshness.recordUnknownPeerRevision(revision),
        freshness: freshness.current,
        contactAgeMs: () => timer.now() - Math.max(startedAt, lastPeerAt, store.lastResponseAt()),
        copyRevision: replica.copyRevision,
        storeFailureAgeMs: failures.ageMs,
        ownStoreFailureAgeMs: () => timer.now() - store.lastResponseAt() < maxQuietMs ? failures.ownAgeMs() : 0,
        storeFailureSource: failures.lastSource,
        markRegistrationLost: registration.markLost,
        deregister: registration.deregister,
        stop: () => {
            replica.stop();
            store.close();
        },
    };
}
