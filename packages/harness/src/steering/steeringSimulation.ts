/** Simulates several entries that steer one load to the same targets, in virtual time. */
import { hashText } from "@pimentospring/core/hash/hash";
import {
    type DataCentreId,
    type InstanceId,
    toDataCentreId,
    toInstanceId,
    toRegionId,
    toServiceId,
    toTargetId,
} from "@pimentospring/core/ids";
import { createPoisonList } from "@pimentospring/core/poison/poisonList";
import { createRandom } from "@pimentospring/core/random/random";
import type { Attempt } from "@pimentospring/core/steering/job";
import { createMembers, type MemberRecord } from "@pimentospring/core/steering/members";
import { createRouteTable } from "@pimentospring/core/steering/routeTable";
import { createSteering, type Steering, type SteeringBounds } from "@pimentospring/core/steering/steering";
import type { Route, Service } from "@pimentospring/core/steering/steeringDocument";
import { noNotice, targetIncarnationOf, type TargetNotice, type TargetRecord } from "@pimentospring/core/steering/targetRecord";
import { emptyWorkspaceDirectory } from "@pimentospring/core/steering/workspaceDirectory";
import { createVirtualTimer, type VirtualTimer } from "@pimentospring/core/time/virtualTimer";
import { oneWayDelayMs, regionOf } from "./network.js";
import { createRegionShiftMeter } from "./regionShiftMeter.js";
import { createSharedTarget, type SharedTarget } from "./sharedTarget.js";
import { createSimulatedCallers, simulatedHost } from "./simulatedCallers.js";
import type {
    ClassOutcome,
    ServiceOutcome,
    SimulatedService,
    SteeringSimulationOptions,
    TrafficClass,
} from "./simulationOptions.js";
import { valueRatio } from "./valueRatio.js";

export interface SteeringSimulation {
    readonly timer: VirtualTimer;
    /** Runs the load for `durationMs`, then lets outstanding requests end. */
    run(durationMs: number): void;
    /** Crashes targets of the service in the data centre; the entries are notified at once. */
    crashTargets(service: string, dataCentre: string, count: number): void;
    /** From now on all targets of the service refuse this fraction of the requests, although they have free slots. */
    setShedFraction(service: string, fraction: number): void;
    /** The service's targets with the given indices, modulo their number, turn all requests away for this long. */
    pauseTargets(service: string, indices: readonly number[], durationMs: number): void;
    /**
     * The target says that it leaves; its record says so only after `newsDelayMs`. If `successorDelayMs` is given, the next
     * incarnation takes its place after that time.
     */
    leaveTarget(service: string, index: number, newsDelayMs: number, successorDelayMs?: number): void;
    /** Restarts this many of a data centre's entries. Their successors know the targets, and nothing of the load. */
    restartEntries(dataCentre: string, count: number): void;
    /** From now on this fraction of a data centre's callers sends its requests to another data centre. */
    moveCallers(from: string, to: string, fraction: number): void;
    targetCount(service: string): number;
    /** Largest fraction of the requests of a region's entries that changed the region in which they run within two seconds. */
    largestRegionShift(region: string): number;
    classOutcome(name: string): ClassOutcome;
    /** Of the requests of a region's callers. */
    regionOutcome(region: string): ClassOutcome;
    /** Of the requests first sent in each second since the start. */
    secondOutcomes(): readonly ClassOutcome[];
    /** Answers in time per request of a class; a late answer counts as a fifth. */
    earnedValueRatio(name: string): number;
    serviceOutcome(name: string): ServiceOutcome;
}

interface Entry {
    readonly id: InstanceId;
    readonly dataCentre: DataCentreId;
    readonly steering: Steering<string>;
}

const peerUpdateIntervalMs = 1_000;
const digestIntervalMs = 250;
const sampleIntervalMs = 20;
const pauseSettlingMs = 500;
const drainMs = 2_500;
const bounds: Omit<SteeringBounds, "regions"> = {
    regionShift: 0.15,
    repeats: { ratio: 0.2, slack: 56, windowMs: 10_000 },
    cold: { overshoot: 1.5, slack: 5 },
    prices: { dataCentre: 0.02, region: 0.01 },
};

export function createSteeringSimulation(options: SteeringSimulationOptions): SteeringSimulation {
    const timer = createVirtualTimer();
    const random = createRandom(options.seed);
    const dataCentres = Object.keys(options.entryCounts);
    const regions = new Map(dataCentres.map(name => [toDataCentreId(name), regionOf(name)]));
    const services: readonly Service[] = options.services.map(service => ({
        id: toServiceId(service.name),
        healthCheckPath: "/health",
        maxConnections: 330,
        coldMs: 3_000,
        maxColdRequestsPerSecond: undefined,
    }));
    const table = createRouteTable({
        version: 1,
        routes: options.classes.map(createRoute),
        services,
        limits: { maxHeaderBytes: 0, maxBodyBytes: 0, headerTimeoutMs: 0, idleTimeoutMs: 0 },
        unreadableRoutes: [],
        workspaces: [],
        hasUnreadableKeys: false,
        faults: [],
    });
    const targets = new Map<string, SharedTarget>();
    const abandonByAttempt = new Map<Attempt<string>, () => void>();
    const counts = new Map(
        options.services.map((
            { name },
        ) => [name, { sent: 0, sentToFull: 0, sentPaused: 0, sentLeaving: 0, waiting: 0, running: 0 }]),
    );
    /** Pauses that a target has told an entry of, by incarnation and entry. */
    const toldOfPause = new Map<string, { readonly at: number; readonly until: number; }>();
    /** Time at which a target told an entry that it leaves, by incarnation and entry. */
    const toldOfLeaving = new Map<string, number>();
    const regionShiftMeter = createRegionShiftMeter(timer);
    let sampleCount = 0;
    let isLoadRunning = true;

    /** Targets that crashed or were replaced. */
    const formerTargets: SharedTarget[] = [];
    const allTargets = (service: string): SharedTarget[] => [
        ...targetsOf(service),
        ...formerTargets.filter(({ record }) => record.service === service),
    ];
    const targetsOf = (service: string): SharedTarget[] =>
        [...targets.values()].filter(({ record }) => record.service === service);
    const recordTold = (entry: Entry, { record }: SharedTarget, { isLeaving, pauseMs }: TargetNotice): void => {
        const key = `${targetIncarnationOf(record)} ${entry.id}`;
        const knownUntil = toldOfPause.get(key)?.until ?? -Infinity;
        if (pauseMs !== undefined && timer.now() > knownUntil) {
            toldOfPause.set(key, { at: timer.now(), until: timer.now() + pauseMs });
        }
        if (isLeaving && !toldOfLeaving.has(key)) {
            toldOfLeaving.set(key, timer.now());
        }
    };
    const countNoticesIgnored = (entry: Entry, { record }: SharedTarget): void => {
        const key = `${targetIncarnationOf(record)} ${entry.id}`;
        const count = counts.get(record.service)!;
        const pause = toldOfPause.get(key);
        const isInPause = pause !== undefined && timer.now() > pause.at + pauseSettlingMs && timer.now() < pause.until;
        count.sentPaused += isInPause ? 1 : 0;
        count.sentLeaving += timer.now() > (toldOfLeaving.get(key) ?? Infinity) + drainMs ? 1 : 0;
    };
    const sendToTarget = (entry: Entry, attempt: Attempt<string>): void => {
        const { record } = attempt.target;
        const target = targets.get(record.id);
        const delayMs = oneWayDelayMs(entry.dataCentre, record.dataCentre);
        entry.steering.dispatcher.recordWritten(attempt);
        timer.after(delayMs, () => {
            if (target?.record.startedAt !== record.startedAt || attempt.job.attempt !== attempt) {
                return;
            }
            const count = counts.get(record.service)!;
            count.sent++;
            countNoticesIgnored(entry, target);
            if (isLoadRunning) {
                regionShiftMeter.record(regionOf(entry.dataCentre), record.region);
            }
            count.sentToFull += target.running() >= record.slots ? 1 : 0;
            const { request, route } = attempt.job;
            const abandon = target.accept({
                object: `${route.prefix}${request.objectId}`,
                workMs: callers.workMsOf(request.id),
                deadlineAt: request.deadlineAt,
                respond: head => {
                    recordTold(entry, target, head.notice);
                    const notice = options.areNoticesRead === false ? noNotice : head.notice;
                    timer.after(delayMs, () => {
                        abandonByAttempt.delete(attempt);
                        entry.steering.dispatcher.handleResponse(attempt, { ...head, notice }, "");
                    });
                },
            });
            abandonByAttempt.set(attempt, abandon);
        });
    };
    const cancelAttempt = (entry: Entry, attempt: Attempt<string>): void => {
        const abandon = abandonByAttempt.get(attempt);
        abandonByAttempt.delete(attempt);
        if (abandon !== undefined) {
            timer.after(oneWayDelayMs(entry.dataCentre, attempt.target.record.dataCentre), abandon);
        }
    };
    const createMemberRecord = (dataCentre: string, index: number): MemberRecord => ({
        id: toInstanceId(`${dataCentre}-${index}`),
        callers: "",
        mesh: `${dataCentre}-${index}:1`,
        control: "",
        dataCentre: toDataCentreId(dataCentre),
        region: regionOf(dataCentre),
    });
    const records = dataCentres.flatMap(name =>
        Array.from({ length: options.entryCounts[name]! }, (_, index) => createMemberRecord(name, index + 1))
    );
    const createEntry = (self: MemberRecord): Entry => {
        const members = createMembers(timer, self);
        const others = records.filter(record => record !== self);
        members.replaceAll(others);
        // Heartbeats stay within a data centre; relays tell that the others are alive.
        const local = others.filter(other => other.dataCentre === self.dataCentre);
        timer.subscribe(peerUpdateIntervalMs, () => {
            local.forEach(other => members.recordHeartbeat(other.id, false));
            dataCentres.forEach(name => members.recordDataCentreAlive(toDataCentreId(name)));
        });
        const entry: Entry = {
            id: self.id,
            dataCentre: self.dataCentre,
            steering: createSteering<string>({
                timer,
                random: createRandom(hashText(self.id, options.seed)),
                self,
                entryName: self.id,
                members,
                poisonList: createPoisonList({ timer }),
                bounds: () => ({ ...bounds, regions }),
                routeTable: () => table,
                workspaces: () => emptyWorkspaceDirectory,
                areKeysStale: () => false,
                findService: id => services.find(service => service.id === id),
                isEvacuated: () => false,
                onTargetChanged: () => {},
                onTargetHealthChanged: () => {},
                onTargetDeath: () => {},
                onCausesDropped: () => {},
                startHealthCheck: () => {},
                send: attempt => sendToTarget(entry, attempt),
                cancel: attempt => cancelAttempt(entry, attempt),
                events: {
                    onAttemptStarted: () => {},
                    onQueued: () => {},
                    onRetry: () => {},
                    onWorkCompleted: () => {},
                    onPoisonCleared: () => {},
                    onPoisonRefused: () => {},
                    onWorkspaceRefused: () => {},
                    onEnded: () => {},
                },
            }),
        };
        return entry;
    };
    const entries = records.map(createEntry);
    const registerTarget = (record: TargetRecord): void => entries.forEach(({ steering }) => steering.registry.put(record));
    const createTarget = (service: SimulatedService, dataCentre: string, number: number): void => {
        const record: TargetRecord = {
            id: toTargetId(`${service.name}-${dataCentre}-${number}`),
            service: toServiceId(service.name),
            address: `${service.name}-${dataCentre}-${number}:1`,
            dataCentre: toDataCentreId(dataCentre),
            region: regionOf(dataCentre),
            slots: service.targetModel.slots,
            isDraining: false,
            coldMs: 0,
            startedAt: 1,
        };
        targets.set(record.id, createSharedTarget({ timer, random, record, model: service.targetModel }));
        registerTarget(record);
    };
    const startSuccessor = (former: SharedTarget): void => {
        const { record: { startedAt, ...rest }, model } = former;
        formerTargets.push(former);
        const record = { ...rest, startedAt: startedAt + 1 };
        targets.set(record.id, createSharedTarget({ timer, random, record, model }));
        registerTarget(record);
    };
    const shareLeavingTargets = (): void => {
        for (const entry of entries) {
            const leaving = entry.steering.registry.recentlyLeaving();
            if (leaving.length === 0) {
                continue;
            }
            for (const other of entries.filter(peer => peer.dataCentre === entry.dataCentre)) {
                leaving.forEach(other.steering.registry.markLeaving);
            }
        }
    };
    const broadcastLoads = (): void => {
        for (const entry of entries) {
            const loads = entry.steering.ownLoads(services.map(({ id }) => id));
            const name = records[entries.indexOf(entry)]!.id;
            for (const other of entries.filter(peer => peer !== entry)) {
                timer.after(
                    oneWayDelayMs(entry.dataCentre, other.dataCentre),
                    () => other.steering.recordPeerLoads(entry.dataCentre, name, loads),
                );
            }
        }
    };
    const shareDigests = (): void => {
        for (const entry of entries) {
            const digest = entry.steering.ownAttempts.takeDigest();
            const peers = entries.filter(peer => peer !== entry && peer.dataCentre === entry.dataCentre);
            if (digest !== undefined) {
                // Through a relay, which passes them on in its own next round.
                timer.after(
                    digestIntervalMs,
                    () => peers.forEach(peer => peer.steering.peerAttempts.apply(entry.id, digest)),
                );
            }
        }
    };
    const sample = (): void => {
        sampleCount++;
        for (const target of targets.values()) {
            const count = counts.get(target.record.service)!;
            count.waiting += target.queued();
            count.running += target.running();
        }
    };

    const callers = createSimulatedCallers({
        timer,
        random,
        simulation: options,
        dispatchersIn: dataCentre =>
            entries.filter(entry => entry.dataCentre === dataCentre).map(({ steering }) => steering.dispatcher),
    });

    for (const service of options.services) {
        for (const [dataCentre, count] of Object.entries(service.targetCounts)) {
            for (let number = 0; number < count; number++) {
                createTarget(service, dataCentre, number);
            }
        }
    }
    timer.subscribe(peerUpdateIntervalMs, broadcastLoads);
    timer.subscribe(peerUpdateIntervalMs, shareLeavingTargets);
    timer.subscribe(digestIntervalMs, shareDigests);
    timer.subscribe(sampleIntervalMs, sample);
    callers.start();
    const maxDeadlineMs = Math.max(...options.classes.map(trafficClass => trafficClass.deadlineMs));
    return {
        timer,
        run: durationMs => {
            timer.advance(durationMs);
            callers.stop();
            isLoadRunning = false;
            timer.advance(2 * maxDeadlineMs);
        },
        crashTargets: (service, dataCentre, count) => {
            const removed = [...targets.values()]
                .filter(({ record }) => record.service === service && record.dataCentre === dataCentre)
                .slice(0, count);
            for (const target of removed) {
                target.crash();
                formerTargets.push(target);
                targets.delete(target.record.id);
                entries.forEach(({ steering }) => steering.registry.remove(target.record.id));
            }
        },
        setShedFraction: (service, fraction) => targetsOf(service).forEach(target => target.setShedFraction(fraction)),
        pauseTargets: (service, indices, durationMs) => {
            const list = targetsOf(service);
            for (const index of indices) {
                list[index % list.length]!.pauseUntil(timer.now() + durationMs);
            }
        },
        leaveTarget: (service, index, newsDelayMs, successorDelayMs) => {
            const list = targetsOf(service);
            const target = list[index % list.length]!;
            target.leave();
            timer.after(newsDelayMs, () => registerTarget({ ...target.record, isDraining: true }));
            if (successorDelayMs !== undefined) {
                timer.after(successorDelayMs, () => startSuccessor(target));
            }
        },
        restartEntries: (dataCentre, count) => {
            const indices = [...entries.keys()].filter(index => entries[index]!.dataCentre === dataCentre).slice(0, count);
            for (const index of indices) {
                entries[index] = createEntry(records[index]!);
                targets.forEach(({ record }) => entries[index]!.steering.registry.put(record));
            }
        },
        moveCallers: callers.move,
        targetCount: service => targetsOf(service).length,
        largestRegionShift: region => regionShiftMeter.largestShift(toRegionId(region)),
        classOutcome: callers.classOutcome,
        secondOutcomes: callers.secondOutcomes,
        regionOutcome: region => callers.regionOutcome(toRegionId(region)),
        earnedValueRatio: name => valueRatio(callers.classOutcome(name)),
        serviceOutcome: name => {
            const { sent, sentToFull, sentPaused, sentLeaving, waiting, running } = counts.get(name)!;
            return {
                sent,
                sentToFullTargets: sentToFull,
                sentToPausedTargets: sentPaused,
                sentToLeavingTargets: sentLeaving,
                meanQueued: waiting / sampleCount,
                meanRunning: running / sampleCount,
                runs: sumOf(allTargets(name), target => target.runs()),
                warmRuns: sumOf(allTargets(name), target => target.warmRuns()),
                hottestTargetRatio: hottestRatio(targetsOf(name).map(target => target.runs())),
            };
        },
    };
}

const sumOf = <T>(items: readonly T[], valueOf: (item: T) => number): number =>
    items.reduce((sum, item) => sum + valueOf(item), 0);

const hottestRatio = (loads: readonly number[]): number =>
    Math.max(...loads) / Math.max(1, sumOf(loads, load => load) / loads.length);

function createRoute(trafficClass: TrafficClass): Route {
    return {
        name: trafficClass.name,
        host: simulatedHost,
        prefix: `/${trafficClass.name}/`,
        isIdempotent: trafficClass.isIdempotent,
        timeoutMs: trafficClass.timeoutMs,
        objectiveMs: trafficClass.objectiveMs,
        priority: trafficClass.priority,
        maxAttempts: 2,
        isSticky: true,
        homeRegions: [],
        weightedServices: [{ service: toServiceId(trafficClass.service), weight: 1 }],
        isPublic: false,
    };
}
