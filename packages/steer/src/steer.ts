/** Assembles the steering daemon. */
import { type DataCentreId, type InstanceId, type RegionId, type ServiceId, toInstanceId } from "@pimentospring/core/ids";
import { createPoisonList } from "@pimentospring/core/poison/poisonList";
import type { Random } from "@pimentospring/core/random/random";
import { nearestEntries } from "@pimentospring/core/steering/directory";
import { createMembers, type MemberRecord } from "@pimentospring/core/steering/members";
import { createRouteTable, type RouteTable } from "@pimentospring/core/steering/routeTable";
import { createSteering, type Steering } from "@pimentospring/core/steering/steering";
import type { Service, SteeringDocument } from "@pimentospring/core/steering/steeringDocument";
import { createWorkspaceDirectory, emptyWorkspaceDirectory } from "@pimentospring/core/steering/workspaceDirectory";
import { boundConnections } from "@pimentospring/runtime/http/boundedConnections";
import { createRouter, listenOn } from "@pimentospring/runtime/http/jsonServer";
import { type ListenerOptions, openListener } from "@pimentospring/runtime/http/openListener";
import type { Log } from "@pimentospring/runtime/logs/log";
import { logEvents } from "@pimentospring/runtime/logs/logEvents";
import type { CountedTimer } from "@pimentospring/runtime/time/countedTimer";
import { createCallerLimitLog } from "./callers/callerLimitLog.js";
import { createCallerResponseLog } from "./callers/callerResponseLog.js";
import { createCallerServer } from "./callers/callerServer.js";
import { createRequestHandler } from "./callers/requestHandler.js";
import { createUdpSocket } from "./mesh/datagramSocket.js";
import type { Heartbeat } from "./mesh/heartbeat.js";
import { createMesh } from "./mesh/mesh.js";
import { type HeldBytes, registerGauges } from "./observe/gauges.js";
import { createLoopMonitor } from "./observe/loopMonitor.js";
import { createMemoryMonitor } from "./observe/memoryMonitor.js";
import { collectGarbage, countOpenDescriptors, readMemoryUsage, readResidentBytes } from "./observe/memoryUsage.js";
import type { SteerMetrics } from "./observe/metrics.js";
import { registerQuotaGauges, startQuotaLog } from "./observe/quotaLog.js";
import { createRequestLog } from "./observe/requestLog.js";
import { createRouteStatistics } from "./observe/routeStatistics.js";
import { startServiceLog } from "./observe/serviceLog.js";
import { createStatusRoutes } from "./observe/statusRoutes.js";
import { targetLogFields } from "./observe/targetLogFields.js";
import { createWarmStatistics } from "./observe/warmStatistics.js";
import { createWorkspaceStatistics } from "./observe/workspaceStatistics.js";
import { createPoisonReporting } from "./poison/poisonReporting.js";
import { divideResources } from "./settings/resourceShares.js";
import type { SteerSettings } from "./settings/settings.js";
import { maxStateRequestBytes } from "./store/peerSync.js";
import { createReplication } from "./store/replication.js";
import { requestState } from "./store/stateRequester.js";
import type { Store } from "./store/store.js";
import type { StoreItemDecoder } from "./store/storeItems.js";
import { createStoreProjection } from "./store/storeProjection.js";
import { createHealthChecks } from "./targets/healthChecks.js";
import { createResponseBuffers } from "./targets/responseBuffers.js";
import { createTargetConnections } from "./targets/targetConnections.js";
import type { ReceivedResponse } from "./targets/targetResponse.js";
import { createTargetSender } from "./targets/targetSender.js";
import type { HeaderCodec } from "./wire/headerCodec.js";

export interface SteeringDaemonOptions {
    readonly settings: SteerSettings;
    readonly store: Store;
    readonly itemDecoder: StoreItemDecoder;
    readonly headerCodec: HeaderCodec;
    readonly timer: CountedTimer;
    readonly random: Random;
    readonly log: Log;
    readonly metrics: SteerMetrics;
    /** Fraction of the time since the last call for which the event loop was busy. */
    readonly takeLoopUtilization: () => number;
}

export interface SteeringDaemon {
    readonly instance: InstanceId;
    /**
     * Opens the listeners, waiting for addresses that are in use, and only then follows the store and joins the other entries.
     * Resolves to false if `stop` was called first.
     */
    start(): Promise<boolean>;
    /** Whether this entry can serve callers. */
    isReady(): boolean;
    /**
     * Applies changed settings. Returns the names of changed settings that need a restart; these keep their old values.
     */
    reload(next: SteerSettings): readonly string[];
    /** Entries that a caller in the given region and data centre should use. */
    entriesFor(region: RegionId | undefined, dataCentre: DataCentreId | undefined): readonly MemberRecord[];
    /** Lets accepted requests finish. Resolves to the number that were aborted. */
    stop(): Promise<number>;
}

/** Largest response accepted from a target. */
const maxResponseBytes = 32 * 1024 * 1024;
/** Connections to the control address: operators, and other entries while the store is unavailable. */
const maxControlConnections = 100;
/** Requests that arrive later than this after the stop request are refused. */
const acceptGraceMs = 3_000;
const listenerCloseDelayMs = 4_500;
const stopMarginMs = 300;
const stopPollIntervalMs = 50;

export function createSteeringDaemon(options: SteeringDaemonOptions): SteeringDaemon {
    const { store, itemDecoder, headerCodec, timer, random, log, metrics } = options;
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
    let routeTable: RouteTable | undefined;
    let workspaces = emptyWorkspaceDirectory;
    let services = new Map<ServiceId, Service>();
    let stopDeadline = Infinity;
    let stopRequestedAt: number | undefined;
    /** Whether all listeners are open and the entry has joined. */
    let isServing = false;

    const members = createMembers(timer, self, member => mesh.sendReportsTo(member));
    const poisonList = createPoisonList({ timer, isTrialEntry: members.hasLowestId });
    const poisonReporting = createPoisonReporting({
        timer,
        poisonList,
        log,
        recordEvidence: metrics.recordPoisonEvidence,
        broadcast: reports => mesh.broadcastPoison(reports),
        onRefusable: () => dispatcher.stopPoisonRequests(),
    });
    const shares = divideResources(settings.limits);
    const responseBuffers = createResponseBuffers(shares.responseBytes, bytes => memoryMonitor.recordBytes(bytes));
    const connections = createTargetConnections({
        timer,
        maxResponseBytes,
        maxConnections: shares.targetConnections,
        buffers: responseBuffers,
        onResponseEnded: metrics.recordTargetResponse,
    });
    const routeStatistics = createRouteStatistics(timer);
    const warmStatistics = createWarmStatistics();
    const healthChecks = createHealthChecks({
        connections,
        timer,
        headerCodec,
        healthPathOf: target => services.get(target.record.service)?.healthCheckPath ?? "/",
        roundTripMs: dataCentre => steering.topology.roundTripMs(dataCentre),
        onResult: (target, result) => steering.targetHealth.recordHealthCheck(target, result),
    });
    const targetSender = createTargetSender({
        timer,
        headerCodec,
        connections,
        needsKeys: () => workspaces.needsKeys,
        roundTripMs: dataCentre => steering.topology.roundTripMs(dataCentre),
        dispatcher: () => dispatcher,
    });
    const workspaceStatistics = createWorkspaceStatistics();
    const requestLog = createRequestLog({
        timer,
        log,
        metrics,
        routeStatistics,
        workspaceStatistics,
        warmStatistics,
        describeLentSlots: service => steering.spillover.describe(service),
        onPoisonCleared: poisonReporting.onCleared,
        onPoisonRefused: poisonReporting.onRefused,
    });
    const steering: Steering<ReceivedResponse> = createSteering<ReceivedResponse>({
        timer,
        random,
        self,
        entryName: settings.name,
        members,
        poisonList,
        bounds: () => settings,
        routeTable: () => routeTable,
        workspaces: () => workspaces,
        hasQuotas: () => document?.workspaces.some(({ quota }) => quota !== undefined) ?? false,
        areKeysStale: () => settings.revocation.isStrict && replication.contactAgeMs() > settings.revocation.maxContactAgeMs,
        findService: id => services.get(id),
        isEvacuated: dataCentre => projection.isEvacuated(dataCentre),
        onTargetChanged: (target, change) => {
            log.write(logEvents.targetChanged, targetLogFields(target, change));
            if (change === "removed" || change === "draining") {
                connections.closeIdle(target.record.address);
            }
        },
        onTargetHealthChanged: (target, change, reason) =>
            log.write(logEvents.targetJudged, { ...targetLogFields(target, change), reason }),
        onTargetDeath: poisonReporting.onTargetDeath,
        onCausesDropped: poisonReporting.onCausesDropped,
        startHealthCheck: healthChecks.check,
        maxAttempts: shares.targetConnections,
        send: targetSender.send,
        cancel: targetSender.cancel,
        events: requestLog,
    });
    const { dispatcher, registry } = steering;
    const projection = createStoreProjection({
        timer,
        log,
        decoder: itemDecoder,
        registry,
        members,
        self: instance,
        storeFailureAgeMs: () => replication.storeFailureAgeMs(),
        ownStoreFailureAgeMs: () => replication.ownStoreFailureAgeMs(),
        storeFailureSource: () => replication.storeFailureSource(),
        copyRevision: () => replication.copyRevision(),
        onRegistrationLost: () => replication.markRegistrationLost(),
        onDocumentAccepted: next => {
            document = next;
            routeTable = createRouteTable(next);
            workspaces = createWorkspaceDirectory(next);
            workspaceStatistics.retain(next.workspaces.map(({ id }) => id));
            services = new Map(next.services.map(service => [service.id, service]));
            steering.roundRobin.retainRoutes(next.routes);
            callerServer.setLimits(next.limits);
        },
    });
    const requestHandler = createRequestHandler({
        timer,
        log,
        headerCodec,
        dispatcher: () => dispatcher,
        register: targetSender.register,
        needsKeys: () => workspaces.needsKeys,
        isAccepting: () => timer.now() < (stopRequestedAt ?? Infinity) + acceptGraceMs,
        stopDeadline: () => stopDeadline,
    });
    const callerResponseLog = createCallerResponseLog({ timer, log, recordEnd: metrics.recordCallerResponse });
    const callerServer = createCallerServer({
        log,
        timer,
        maxBufferedBytes: shares.requestBytes,
        onBodyBytes: bytes => memoryMonitor.recordBytes(bytes),
        maxUnparsedBytes: shares.unparsedBytes,
        maxConnections: shares.callerConnections,
        isMemoryScarce: () => memoryMonitor.isScarce() || (memoryMonitor.isHigh() && responseBuffers.isScarce()),
        responseBuffers,
        limitLog: createCallerLimitLog({ timer, log, recordMetric: metrics.recordCallerLimit }),
        onResponseEnd: callerResponseLog.onEnd,
        onRequest: requestHandler.handle,
    });
    const replication = createReplication({
        store,
        timer,
        random,
        log,
        self,
        members,
        seeds: () => settings.seeds,
        requestState,
        onEvent: projection.apply,
        redact: itemDecoder.redact,
        onBatchApplied: () => {
            projection.onBatchApplied();
            dispatcher.dispatchQueued();
        },
        announceRevision: scope => mesh.announceRevision(scope),
    });
    const { replica } = replication;
    const onHeartbeat = (heartbeat: Heartbeat, sender: { readonly record: MemberRecord; }): void => {
        members.recordDataCentreAlive(sender.record.dataCentre);
        heartbeat.loads.forEach(({ dataCentre, entry, loads }) => {
            members.recordDataCentreAlive(dataCentre);
            steering.recordPeerLoads(dataCentre, entry, loads);
        });
        poisonReporting.receive(heartbeat.poison);
        heartbeat.leavingTargets.forEach(registry.markLeaving);
        replication.onHeartbeat(heartbeat, sender.record);
    };
    /** Entries that leave are no members any more for an entry that has just started, and may be the only ones that know. */
    const onUnknownHeartbeat = (heartbeat: Heartbeat): void => {
        poisonReporting.receiveUnconfirmed(heartbeat.poison);
        heartbeat.leavingTargets.forEach(registry.markLeavingUnconfirmed);
        replication.onUnknownHeartbeat(heartbeat);
    };
    const mesh = createMesh({
        timer,
        log,
        socket: createUdpSocket(),
        self,
        members,
        ownLoads: () => ({
            dataCentre: settings.dataCentre,
            entry: settings.name,
            loads: steering.ownLoads(services.keys()),
        }),
        revision: replica.revision,
        leavingTargets: registry.recentlyLeaving,
        poisonReports: poisonList.reports,
        isWatching: replica.isWatching,
        onHeartbeat,
        onUnknownHeartbeat,
        takeDigest: steering.ownAttempts.takeDigest,
        onDigest: steering.peerAttempts.apply,
        quotaReports: steering.quotaLimit,
    });
    const statusRoutes = createStatusRoutes({
        timer,
        members,
        ...steering,
        services: () => services.keys(),
        routes: () => routeTable,
        workspaces: () => workspaces.workspaces,
        workspaceStatistics,
        self: () => ({
            instance,
            dataCentre: settings.dataCentre,
            region: settings.region,
            version: document?.version ?? 0,
            documentFaults: document?.faults ?? [],
            revision: replication.freshness().revision,
            isWatching: replica.isWatching(),
            freshness: replication.freshness(),
            isLeaving: stopRequestedAt !== undefined,
        }),
    });
    const loopMonitor = createLoopMonitor({
        timer,
        log,
        takeUtilization: options.takeLoopUtilization,
        timerCalls: timer.callCount,
        maxUtilization: () => settings.maxLoopUtilization,
    });
    const heldBytes = (): HeldBytes => ({
        requestBodyBytes: callerServer.bodyBytes(),
        receivedResponseBytes: responseBuffers.receivedBytes(),
        unreadResponseBytes: responseBuffers.unreadBytes(),
    });
    const memoryMonitor = createMemoryMonitor({
        timer,
        log,
        maxResidentBytes: settings.limits.memoryBytes,
        readResidentBytes,
        readUsage: readMemoryUsage,
        heldBytes: () => ({ ...heldBytes() }),
        collectGarbage,
        abortUnreadResponse: responseBuffers.abortUnread,
        closeUnfinishedHeads: callerServer.closeUnfinishedHeads,
        abortedResponses: responseBuffers.abortedCount,
    });
    metrics.registerWorkspaceCounters(workspaceStatistics.busiest);
    registerGauges(metrics, {
        loopUtilization: loopMonitor.utilization,
        loopDelayMs: loopMonitor.delayMs,
        timerCalls: timer.callCount,
        documentVersion: () => document?.version ?? 0,
        documentFaults: () => document?.faults.length ?? 0,
        inFlightRequests: dispatcher.inFlightCount,
        liveEntries: () => members.liveMembers().length,
        targetConnections: connections.openCount,
        pausedTargets: () => [...registry.all()].filter(({ pausedUntil }) => pausedUntil > timer.now()).length,
        leavingTargets: () => [...registry.all()].filter(({ isLeaving }) => isLeaving).length,
        meshSentBytes: mesh.sentBytes,
        isStoreConnected: replica.isConnected,
        freshness: replication.freshness,
        waitingRequests: () => [...services.keys()].reduce((sum, service) => sum + dispatcher.queuedCount(service), 0),
        memoryUsage: readMemoryUsage,
        heldBytes,
        cutResponses: responseBuffers.abortedCount,
        memoryRefusals: callerServer.memoryRefusalCount,
        droppedConnections: callerServer.droppedConnectionCount,
        callerConnections: callerServer.openConnectionCount,
        openDescriptors: countOpenDescriptors,
    });

    registerQuotaGauges(metrics, steering.quotaLimit);

    /** The mesh is last, as it announces this entry at once. */
    const openListeners = async (): Promise<boolean> => {
        const onError = (error: Error): void => log.write(logEvents.fault, { reason: error.message });
        const controlServer = createRouter({ ...replication.routes, ...statusRoutes }, onError);
        boundConnections({
            server: controlServer,
            timer,
            maxConnections: maxControlConnections,
            maxBodyBytes: maxStateRequestBytes,
        });
        const isCancelled = (): boolean => stopRequestedAt !== undefined;
        const open = (name: "control" | "callers" | "mesh", bind: ListenerOptions["open"]): Promise<boolean> =>
            openListener({ timer, log, name, address: settings[name], open: bind, isCancelled });
        return await open("control", (address, onListenerError) => listenOn(controlServer, address, onListenerError))
            && await open("callers", (address, onListenerError) => listenOn(callerServer.server, address, onListenerError))
            && await open("mesh", mesh.start);
    };
    const drain = async (): Promise<number> => {
        for (;;) {
            const now = timer.now();
            const isClosed = now > stopRequestedAt! + listenerCloseDelayMs;
            if (isClosed && callerServer.server.listening) {
                callerServer.stopListening();
            }
            callerServer.closeIdleConnections();
            if (now >= stopDeadline || (isClosed && callerServer.openConnectionCount() === 0)) {
                return callerServer.openRequestCount();
            }
            await new Promise<void>(resolve => timer.after(stopPollIntervalMs, resolve));
        }
    };
    return {
        instance,
        start: async () => {
            if (!await openListeners()) {
                return false;
            }
            isServing = true;
            replication.startPeerSync();
            replication.start();
            loopMonitor.start();
            memoryMonitor.start();
            startQuotaLog({ timer, log, quotaLimit: steering.quotaLimit });
            startServiceLog({
                timer,
                log,
                routeStatistics,
                warmStatistics,
                ...steering,
                services: () => services.keys(),
                routes: () => document?.routes ?? [],
                isOwnRegion: steering.topology.isOwnRegion,
            });
            return true;
        },
        isReady: () => isServing && document !== undefined && stopRequestedAt === undefined,
        reload: next => {
            const needRestart = restartOnlySettings.filter(name => JSON.stringify(next[name]) !== JSON.stringify(settings[name]));
            const keptValues = Object.fromEntries(restartOnlySettings.map(name => [name, settings[name]])) as Partial<
                SteerSettings
            >;
            settings = { ...next, ...keptValues };
            projection.retryUnknownTargets(replica.snapshot().items);
            return needRestart;
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
            if (!isServing) {
                return 0;
            }
            callerServer.disableKeepAlive();
            mesh.announceLeaving();
            void replication.deregister();
            const abortedCount = await drain();
            callerResponseLog.writeStopCuts(callerServer.cutOpenResponses());
            mesh.close();
            connections.close();
            replication.stop();
            requestLog.writeAnswered();
            return abortedCount;
        },
    };
}

/** Settings that identify the process and its sockets; they change only with a restart. */
const restartOnlySettings = [
    "name",
    "dataCentre",
    "region",
    "callers",
    "mesh",
    "control",
    "limits",
] as const satisfies readonly (keyof SteerSettings)[];
