/** Wires the parts of a steering daemon. */
import { hashBytes } from "@pimentospring/core/hash/hash";
import {
    type DataCentreId,
    type Fingerprint,
    type InstanceId,
    type RegionId,
    type ServiceId,
    toInstanceId,
} from "@pimentospring/core/ids";
import { createPoisonList } from "@pimentospring/core/poison/poisonList";
import type { Random } from "@pimentospring/core/random/random";
import { nearestEntries } from "@pimentospring/core/steering/directory";
import { createMembers, type MemberRecord } from "@pimentospring/core/steering/members";
import { createRouteTable, type RouteTable } from "@pimentospring/core/steering/routeTable";
import { createSteering, type Steering } from "@pimentospring/core/steering/steering";
import type { Service, SteeringDocument } from "@pimentospring/core/steering/steeringDocument";
import type { Target } from "@pimentospring/core/steering/target";
import { targetIncarnationOf } from "@pimentospring/core/steering/targetRecord";
import type { Timer } from "@pimentospring/core/time/timer";
import { createRouter, listen, splitAddress } from "@pimentospring/runtime/http/jsonServer";
import type { Log } from "@pimentospring/runtime/logs/log";
import { logEvents } from "@pimentospring/runtime/logs/logEvents";
import { createCallerServer } from "./callers/callerServer.js";
import { createRequestHandler } from "./callers/requestHandler.js";
import type { Heartbeat } from "./mesh/heartbeat.js";
import { createMesh } from "./mesh/mesh.js";
import { registerGauges } from "./observe/gauges.js";
import type { SteerMetrics } from "./observe/metrics.js";
import { createRequestLog } from "./observe/requestLog.js";
import { createRouteStatistics } from "./observe/routeStatistics.js";
import { startServiceLog } from "./observe/serviceLog.js";
import { createStatusRoutes } from "./observe/statusRoutes.js";
import type { SteerSettings } from "./settings/settings.js";
import { createPeerSync } from "./store/peerSync.js";
import { createRegistration } from "./store/registration.js";
import type { Store } from "./store/store.js";
import { encodeMember, memberKey, type StoreItemDecoder } from "./store/storeItems.js";
import { createStoreProjection } from "./store/storeProjection.js";
import { createStoreReplica, storeFailureWindowMs } from "./store/storeReplica.js";
import { createWatcherElection } from "./store/watcherElection.js";
import { createHealthChecks } from "./targets/healthChecks.js";
import { createTargetConnections } from "./targets/targetConnections.js";
import type { TargetResponse } from "./targets/targetResponse.js";
import { createTargetSender } from "./targets/targetSender.js";
import type { HeaderCodec } from "./wire/headerCodec.js";

export interface SteeringDaemonOptions {
    readonly settings: SteerSettings;
    readonly store: Store;
    readonly itemDecoder: StoreItemDecoder;
    readonly headerCodec: HeaderCodec;
    readonly timer: Timer;
    readonly random: Random;
    readonly log: Log;
    readonly metrics: SteerMetrics;
}

export interface SteeringDaemon {
    readonly instance: InstanceId;
    /** Listens and begins to follow the store. Rejects when an address can't be listened on. */
    start(): Promise<void>;
    /** Whether callers may be sent here. */
    isReady(): boolean;
    /**
     * Takes changed settings. Returns the names of those that only a restart changes; they stay as they are.
     */
    reload(next: SteerSettings): readonly string[];
    /** Entries that a caller at a place should use. */
    entriesFor(region: RegionId | undefined, dataCentre: DataCentreId | undefined): readonly MemberRecord[];
    /** Lets accepted requests finish. The value is the number that were cut off. */
    stop(): Promise<number>;
}

/** Largest answer of a target that is taken. */
const maxResponseBytes = 32 * 1024 * 1024;
/** Answers that are being received take no more memory than this, all together. */
const maxBufferedBytes = 64 * 1024 * 1024;
const watchPauseMs = 300;
/** Requests that come later than this after the order to stop are refused. */
const acceptGraceMs = 3_000;
const listenerCloseDelayMs = 4_500;
const stopMarginMs = 300;
const stopPollIntervalMs = 50;

export function createSteeringDaemon(options: SteeringDaemonOptions): SteeringDaemon {
    const { store, itemDecoder: decoder, headerCodec: wire, timer, random, log, metrics } = options;
    let { settings } = options;
    const instance = toInstanceId(`${settings.name}/${timer.wallTime().toString(36)}${random.below(1_296).toString(36)}`);
    const self: MemberRecord = {
        id: instance,
        callers: settings.callers,
        mesh: settings.mesh,
        control: settings.control,
        dataCentre: settings.dataCentre,
        region: settings.region,
    };
    let document: SteeringDocument | undefined;
    let table: RouteTable | undefined;
    let services = new Map<ServiceId, Service>();
    let stopDeadline = Infinity;
    let stopRequestedAt: number | undefined;

    const members = createMembers(timer, self);
    const poison = createPoisonList(timer);
    const connections = createTargetConnections({
        timer,
        maxResponseBytes: maxResponseBytes,
        maxBufferedBytes: maxBufferedBytes,
    });
    const routeStatistics = createRouteStatistics(timer);
    const healthChecks = createHealthChecks({
        connections,
        timer,
        headerCodec: wire,
        healthPathOf: target => services.get(target.record.service)?.healthCheckPath ?? "/",
        roundTripMs: dataCentre => steering.topology.roundTripMs(dataCentre),
        onResult: (target, answer) => steering.targetHealth.recordHealthCheck(target, answer),
    });
    const targetSender = createTargetSender({
        timer,
        headerCodec: wire,
        connections,
        roundTripMs: dataCentre => steering.topology.roundTripMs(dataCentre),
        steerer: () => steerer,
    });
    const steering: Steering<TargetResponse> = createSteering<TargetResponse>({
        timer,
        random,
        self,
        entryName: settings.name,
        members,
        poisonList: poison,
        bounds: () => settings,
        routeTable: () => table,
        findService: id => services.get(id),
        isEvacuated: dataCentre => projection.isEvacuated(dataCentre),
        onTargetChanged: (target, change) => {
            log.write(logEvents.targetChanged, targetLogFields(target, change));
            if (change === "removed" || change === "draining") {
                connections.closeIdle(target.record.address);
            }
        },
        onTargetHealthChanged: (target, what, reason) =>
            log.write(logEvents.targetJudged, { ...targetLogFields(target, what), reason }),
        onTargetDeath: (fingerprint, { record }) => {
            const targetRun = targetIncarnationOf(record);
            const deaths = poison.recordDeath(fingerprint, targetRun);
            log.write(logEvents.poison, { fingerprint, deaths, target: record.id });
            mesh.broadcastPoison({ fingerprint, deaths, targetIncarnation: targetRun });
        },
        startHealthCheck: healthChecks.check,
        send: targetSender.send,
        cancel: targetSender.cancel,
        events: createRequestLog({
            timer,
            log,
            metrics,
            routeStatistics: routeStatistics,
            describeLentSlots: service => steering.spillover.describe(service),
            onPoisonCleared: fingerprint => mesh.broadcastPoison({ fingerprint, deaths: 0, targetIncarnation: undefined }),
        }),
    });
    const { dispatcher: steerer, registry, spillover, offeredLoad: offered } = steering;
    const projection = createStoreProjection({
        timer,
        log,
        decoder,
        registry,
        members,
        self: instance,
        hasStoreFailedRecently: () => timer.now() - replica.lastFailureAt() < storeFailureWindowMs,
        onRegistrationLost: () => registration.markLost(),
        onDocumentAccepted: next => {
            document = next;
            table = createRouteTable(next);
            services = new Map(next.services.map(service => [service.id, service]));
            steering.roundRobin.retainRoutes(next.routes);
            callerServer.setLimits(next.limits);
        },
    });
    const requestHandler = createRequestHandler({
        timer,
        headerCodec: wire,
        steerer: () => steerer,
        fingerprintOf,
        register: targetSender.register,
        isAccepting: () => timer.now() < (stopRequestedAt ?? Infinity) + acceptGraceMs,
        stopDeadline: () => stopDeadline,
    });
    const callerServer = createCallerServer({ log, onRequest: requestHandler.handle });
    const replica = createStoreReplica({
        store,
        timer,
        random,
        log,
        prefix: "",
        watchPauseMs: watchPauseMs,
        isWatchNeeded: () => watcherElection.isWatcher(),
        onEvent: projection.apply,
        onBatchApplied: () => {
            steerer.dispatchQueued();
            if (replica.isWatching()) {
                mesh.announceRevision();
            }
        },
    });
    const registration = createRegistration({ store, timer, random, log, key: memberKey(instance), value: encodeMember(self) });
    const watcherElection = createWatcherElection({ timer, self, members });
    const peerSync = createPeerSync({ log, timer, self, members, replica: replica, seeds: () => settings.seeds });
    const onHeartbeat = (news: Heartbeat, sender: { readonly record: MemberRecord; }): void => {
        news.loads.forEach(({ dataCentre, entry, loads }) => spillover.recordPeerLoads(dataCentre, entry, loads));
        news.poison.forEach(item => poison.recordReportedDeaths(item.fingerprint, item.deaths, item.targetIncarnation));
        if (news.isWatching && !news.isLeaving) {
            watcherElection.recordWatcherHeartbeat(sender.record);
        }
        peerSync.onPeerRevision(sender.record, news.revision);
    };
    const mesh = createMesh({
        timer,
        log,
        self,
        members,
        ownLoads: () => ({
            dataCentre: settings.dataCentre,
            entry: settings.name,
            loads: [...services.keys()].map(service => ({ service, slots: offered.requiredSlots(service) })),
        }),
        revision: replica.revision,
        isWatching: replica.isWatching,
        onHeartbeat: onHeartbeat,
    });
    const statusRoutes = createStatusRoutes({
        timer,
        members,
        ...steering,
        services: () => services.keys(),
        routes: () => table,
        self: () => ({
            instance,
            dataCentre: settings.dataCentre,
            region: settings.region,
            version: document?.version ?? 0,
            revision: replica.revision(),
            isWatching: replica.isWatching(),
            isLeaving: stopRequestedAt !== undefined,
        }),
    });
    registerGauges(metrics, {
        documentVersion: () => document?.version ?? 0,
        inFlightRequests: steerer.inFlightCount,
        liveEntries: () => members.liveMembers().length,
        targetConnections: connections.openCount,
        meshSentBytes: mesh.sentBytes,
        isStoreConnected: replica.isConnected,
        waitingRequests: () => [...services.keys()].reduce((sum, service) => sum + steerer.queuedCount(service), 0),
    });

    const drain = async (): Promise<number> => {
        for (;;) {
            const now = timer.now();
            const isClosed = now > stopRequestedAt! + listenerCloseDelayMs;
            if (isClosed && callerServer.server.listening) {
                callerServer.server.close();
            }
            callerServer.server.closeIdleConnections();
            if (now >= stopDeadline || (steerer.inFlightCount() === 0 && isClosed)) {
                return steerer.inFlightCount();
            }
            await new Promise<void>(resolve => timer.after(stopPollIntervalMs, resolve));
        }
    };
    return {
        instance,
        start: async () => {
            const [host, port] = settings.callers.split(":");
            const control = splitAddress(settings.control);
            const faults = (error: Error): void => log.write(logEvents.fault, { reason: error.message });
            await listen(createRouter({ ...peerSync.routes, ...statusRoutes }, faults), control.host, control.port);
            peerSync.start();
            await mesh.start();
            await listen(callerServer.server, host!, Number(port));
            replica.start();
            registration.start();
            startServiceLog({
                timer,
                log,
                routeStatistics: routeStatistics,
                ...steering,
                services: () => services.keys(),
                routes: () => document?.routes ?? [],
                isOwnRegion: steering.topology.isOwnRegion,
            });
        },
        isReady: () => document !== undefined && stopRequestedAt === undefined,
        reload: next => {
            const fixed = restartOnlySettings.filter(name => JSON.stringify(next[name]) !== JSON.stringify(settings[name]));
            const kept = Object.fromEntries(restartOnlySettings.map(name => [name, settings[name]])) as Partial<SteerSettings>;
            settings = { ...next, ...kept };
            projection.retryUnknownTargets(replica.snapshot().items);
            return fixed;
        },
        entriesFor: (region, dataCentre) => {
            const live = members.liveMembers().map(member => member.record);
            return nearestEntries(
                stopRequestedAt === undefined && document !== undefined ? [...live, self] : live,
                region,
                dataCentre,
            );
        },
        stop: async () => {
            stopRequestedAt = timer.now();
            stopDeadline = stopRequestedAt + settings.stopGraceMs - stopMarginMs;
            callerServer.disableKeepAlive();
            mesh.announceLeaving();
            void registration.deregister();
            const cut = await drain();
            replica.stop();
            mesh.close();
            connections.close();
            store.close();
            return cut;
        },
    };
}

/** Settings that name the process and its sockets: a restart takes them. */
const restartOnlySettings = [
    "name",
    "dataCentre",
    "region",
    "callers",
    "mesh",
    "control",
] as const satisfies readonly (keyof SteerSettings)[];

const targetLogFields = (
    target: Target,
    change: string,
): { readonly target: string; readonly service: string; readonly change: string; readonly dataCentre: string; } => ({
    target: target.record.id,
    service: target.record.service,
    dataCentre: target.record.dataCentre,
    change,
});

/** Hash of a request as a caller sends it again: who sends it, what it asks for and its body. */
function fingerprintOf(parts: readonly string[], body: Buffer): Fingerprint {
    return hashBytes(Buffer.concat([Buffer.from(parts.join("\n")), body])) as Fingerprint;
}
