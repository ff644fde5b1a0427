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
import { createIntake } from "./callers/intake.js";
import { createMesh } from "./mesh/mesh.js";
import type { News } from "./mesh/news.js";
import { registerGauges } from "./observe/gauges.js";
import type { SteerMetrics } from "./observe/metrics.js";
import { createOperatorView } from "./observe/operatorView.js";
import { createRequestLog } from "./observe/requestLog.js";
import { startServiceLog } from "./observe/serviceLog.js";
import { createServiceTally } from "./observe/serviceTally.js";
import type { SteerSettings } from "./settings/settings.js";
import { createBeliefKeeper } from "./store/beliefKeeper.js";
import { type Decoder, encodeMember, memberKey } from "./store/beliefs.js";
import { createFollower, unsettledMs } from "./store/follower.js";
import { createPeerState } from "./store/peerState.js";
import { createRegistration } from "./store/registration.js";
import type { Store } from "./store/store.js";
import { createWatchDuty } from "./store/watchDuty.js";
import type { Answer } from "./targets/answer.js";
import { createHealthChecks } from "./targets/healthChecks.js";
import { createTargetConnections } from "./targets/targetConnections.js";
import { createTargetSender } from "./targets/targetSender.js";
import type { Wire } from "./wire/wire.js";

export interface SteerOptions {
    readonly settings: SteerSettings;
    readonly store: Store;
    readonly decoder: Decoder;
    readonly wire: Wire;
    readonly timer: Timer;
    readonly random: Random;
    readonly log: Log;
    readonly metrics: SteerMetrics;
}

export interface Steer {
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
const answerBytes = 32 * 1024 * 1024;
/** Answers that are being received take no more memory than this, all together. */
const heldBytes = 64 * 1024 * 1024;
const pauseMs = 300;
/** Requests that come later than this after the order to stop are refused. */
const lastAcceptMs = 3_000;
const closeListenerMs = 4_500;
const stopMarginMs = 300;
const stopPollMs = 50;

export function createSteer(options: SteerOptions): Steer {
    const { store, decoder, wire, timer, random, log, metrics } = options;
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
    let stopAt = Infinity;
    let stoppingSince: number | undefined;

    const members = createMembers(timer, self);
    const poison = createPoisonList(timer);
    const connections = createTargetConnections({ timer, answerBytes, heldBytes });
    const tally = createServiceTally(timer);
    const checks = createHealthChecks({
        connections,
        timer,
        wire,
        pathOf: target => services.get(target.record.service)?.healthCheckPath ?? "/",
        roundTripMs: dataCentre => steering.topology.roundTripMs(dataCentre),
        checked: (target, answer) => steering.targetHealth.recordHealthCheck(target, answer),
    });
    const sender = createTargetSender({
        timer,
        wire,
        connections,
        roundTripMs: dataCentre => steering.topology.roundTripMs(dataCentre),
        steerer: () => steerer,
    });
    const steering: Steering<Answer> = createSteering<Answer>({
        timer,
        random,
        self,
        entryName: settings.name,
        members,
        poisonList: poison,
        bounds: () => settings,
        routeTable: () => table,
        findService: id => services.get(id),
        isEvacuated: dataCentre => keeper.isEvacuated(dataCentre),
        onTargetChanged: (target, change) => {
            log.write(logEvents.targetChanged, describe(target, change));
            if (change === "removed" || change === "draining") {
                connections.closeIdle(target.record.address);
            }
        },
        onTargetHealthChanged: (target, what, reason) => log.write(logEvents.targetJudged, { ...describe(target, what), reason }),
        onTargetDeath: (fingerprint, { record }) => {
            const targetRun = targetIncarnationOf(record);
            const deaths = poison.recordDeath(fingerprint, targetRun);
            log.write(logEvents.poison, { fingerprint, deaths, target: record.id });
            mesh.tellPoison({ fingerprint, deaths, targetRun });
        },
        startHealthCheck: checks.check,
        send: sender.send,
        cancel: sender.cancel,
        events: createRequestLog({
            timer,
            log,
            metrics,
            tally,
            lent: service => steering.spillover.describe(service),
            absolved: fingerprint => mesh.tellPoison({ fingerprint, deaths: 0, targetRun: undefined }),
        }),
    });
    const { dispatcher: steerer, registry, spillover, offeredLoad: offered } = steering;
    const keeper = createBeliefKeeper({
        timer,
        log,
        decoder,
        registry,
        members,
        self: instance,
        isUnsettled: () => timer.now() - follower.failedAt() < unsettledMs,
        lostRegistration: () => registration.lost(),
        accepted: next => {
            document = next;
            table = createRouteTable(next);
            services = new Map(next.services.map(service => [service.id, service]));
            steering.roundRobin.retainRoutes(next.routes);
            callers.setLimits(next.limits);
        },
    });
    const intake = createIntake({
        timer,
        wire,
        steerer: () => steerer,
        fingerprintOf,
        outgoing: sender.prepare,
        mayAccept: () => timer.now() < (stoppingSince ?? Infinity) + lastAcceptMs,
        stopAt: () => stopAt,
    });
    const callers = createCallerServer({ log, take: intake.take });
    const follower = createFollower({
        store,
        timer,
        random,
        log,
        prefix: "",
        pauseMs,
        isNeeded: () => watch.isNeeded(),
        changed: keeper.changed,
        applied: () => {
            steerer.dispatchQueued();
            if (follower.isFollowing()) {
                mesh.tellRevision();
            }
        },
    });
    const registration = createRegistration({ store, timer, random, log, key: memberKey(instance), value: encodeMember(self) });
    const watch = createWatchDuty({ timer, self, members });
    const peerState = createPeerState({ log, timer, self, members, follower, seeds: () => settings.seeds });
    const heard = (news: News, sender: { readonly record: MemberRecord; }): void => {
        news.loads.forEach(({ dataCentre, entry, loads }) => spillover.recordPeerLoads(dataCentre, entry, loads));
        news.poison.forEach(item => poison.recordReportedDeaths(item.fingerprint, item.deaths, item.targetRun));
        if (news.isFollowing && !news.isLeaving) {
            watch.heardFollower(sender.record);
        }
        peerState.peerIsAt(sender.record, news.revision);
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
        revision: follower.revision,
        isFollowing: follower.isFollowing,
        heard,
    });
    const operatorView = createOperatorView({
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
            revision: follower.revision(),
            isWatching: follower.isFollowing(),
            isLeaving: stoppingSince !== undefined,
        }),
    });
    registerGauges(metrics, {
        version: () => document?.version ?? 0,
        inFlight: steerer.inFlightCount,
        liveEntries: () => members.liveMembers().length,
        targetConnections: connections.open,
        meshSentBytes: mesh.sentBytes,
        isStoreAnswering: follower.isConnected,
        waiting: () => [...services.keys()].reduce((sum, service) => sum + steerer.queuedCount(service), 0),
    });

    const finish = async (): Promise<number> => {
        for (;;) {
            const now = timer.now();
            const isClosed = now > stoppingSince! + closeListenerMs;
            if (isClosed && callers.server.listening) {
                callers.server.close();
            }
            callers.server.closeIdleConnections();
            if (now >= stopAt || (steerer.inFlightCount() === 0 && isClosed)) {
                return steerer.inFlightCount();
            }
            await new Promise<void>(resolve => timer.after(stopPollMs, resolve));
        }
    };
    return {
        instance,
        start: async () => {
            const [host, port] = settings.callers.split(":");
            const control = splitAddress(settings.control);
            const faults = (error: Error): void => log.write(logEvents.fault, { reason: error.message });
            await listen(createRouter({ ...peerState.routes, ...operatorView }, faults), control.host, control.port);
            peerState.start();
            await mesh.start();
            await listen(callers.server, host!, Number(port));
            follower.start();
            registration.start();
            startServiceLog({
                timer,
                log,
                tally,
                ...steering,
                services: () => services.keys(),
                routes: () => document?.routes ?? [],
                isOwnRegion: steering.topology.isOwnRegion,
            });
        },
        isReady: () => document !== undefined && stoppingSince === undefined,
        reload: next => {
            const fixed = fixedSettings.filter(name => JSON.stringify(next[name]) !== JSON.stringify(settings[name]));
            const kept = Object.fromEntries(fixedSettings.map(name => [name, settings[name]])) as Partial<SteerSettings>;
            settings = { ...next, ...kept };
            keeper.retry(follower.state().items);
            return fixed;
        },
        entriesFor: (region, dataCentre) => {
            const live = members.liveMembers().map(member => member.record);
            return nearestEntries(
                stoppingSince === undefined && document !== undefined ? [...live, self] : live,
                region,
                dataCentre,
            );
        },
        stop: async () => {
            stoppingSince = timer.now();
            stopAt = stoppingSince + settings.graceMs - stopMarginMs;
            callers.closeConnections();
            mesh.leave();
            void registration.end();
            const cut = await finish();
            follower.stop();
            mesh.close();
            connections.close();
            store.close();
            return cut;
        },
    };
}

/** Settings that name the process and its sockets: a restart takes them. */
const fixedSettings = [
    "name",
    "dataCentre",
    "region",
    "callers",
    "mesh",
    "control",
] as const satisfies readonly (keyof SteerSettings)[];

const describe = (
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
