/**
 * Entries with their real steering and mesh that share targets, under virtual time. Copies of one request that crashes each
 * target come at all entries, beside other requests.
 */
import {
    type Fingerprint,
    toDataCentreId,
    toInstanceId,
    toRegionId,
    toRequestId,
    toServiceId,
    toTargetId,
} from "@pimentospring/core/ids";
import { createPoisonList } from "@pimentospring/core/poison/poisonList";
import { createRandom, type Random } from "@pimentospring/core/random/random";
import { results } from "@pimentospring/core/results/resultCode";
import { firstPlace } from "@pimentospring/core/steering/connectionPlace";
import type { Attempt, FinalResponse, SteeringRequest } from "@pimentospring/core/steering/job";
import { createMembers, type MemberRecord } from "@pimentospring/core/steering/members";
import { createRouteTable } from "@pimentospring/core/steering/routeTable";
import { createSteering, type Steering } from "@pimentospring/core/steering/steering";
import type { Route, Service } from "@pimentospring/core/steering/steeringDocument";
import type { TargetRecord } from "@pimentospring/core/steering/targetRecord";
import { emptyWorkspaceDirectory } from "@pimentospring/core/steering/workspaceDirectory";
import type { Timer } from "@pimentospring/core/time/timer";
import { createVirtualTimer } from "@pimentospring/core/time/virtualTimer";
import { silentLog } from "@pimentospring/runtime/logs/log";
import { createMesh } from "../../mesh/mesh.js";
import { createDeploymentNetwork, createTopology } from "../../store/__tests__/deploymentNetwork.js";
import { createPoisonReporting } from "../poisonReporting.js";
import { type CrashingTarget, createCrashingTarget } from "./crashingTarget.js";

export interface PoisonFleetOptions {
    readonly entryCount: number;
    readonly dataCentreCount: number;
    readonly seed: number;
    /** Copies of the poison request a second, at random entries. */
    readonly copiesPerSecond: number;
    readonly datagramLoss?: number;
    /** Entries that are killed one after the other and start again. */
    readonly restartedCount?: number;
    /** Whether all entries leave together, and others start while they leave. */
    readonly isReplaced?: boolean;
    /** Entries without contact to the others for six seconds. */
    readonly cutCount?: number;
    /** Targets that crash for other reasons, a second. */
    readonly otherCrashesPerSecond?: number;
    readonly durationMs?: number;
}

export interface PoisonFleetOutcome {
    /** Targets that the poison request crashed. */
    readonly deaths: number;
    /** Its arrivals at targets, sent later than the settling time after the third death. */
    readonly lateArrivals: number;
    /** Other requests, and those of them that were refused as poison. */
    readonly others: number;
    readonly othersRefused: number;
    /** Other requests that were answered. */
    readonly othersServed: number;
}

interface FleetEntry {
    readonly steering: Steering<string>;
    readonly id: MemberRecord["id"];
    /** Whether callers still send to it. */
    isAccepting: boolean;
    /** Takes its record out of the store and accepts no more requests; it runs on until it is killed. */
    leave(): void;
    /** Ends the process. */
    kill(): void;
}

const stepMs = 10;
const settleMs = 4_000;
const startMs = 1_000;
const targetsPerDataCentre = 4;
const slotsPerTarget = 4;
const registrationDelayMs = 100;
const restartDelayMs = 300;
const firstRestartMs = 4_000;
const restartIntervalMs = 1_500;
const leaveAtMs = 8_000;
const replacementDelayMs = 400;
const leavingMs = 3_000;
const cutFromMs = 3_000;
const cutMs = 6_000;
const poisonRunMs = { min: 100, max: 800 } as const;
const otherRunMs = { min: 60, max: 300 } as const;
const othersPerSecondAndEntry = 4;
/** Part of the other requests that ask for one of a few popular objects. */
const popularRatio = 0.3;
const popularCount = 10;
const deadlineMs = 3_000;
const poisonFingerprint = "poison" as Fingerprint;
const service: Service = {
    id: toServiceId("trails"),
    healthCheckPath: "/health",
    maxConnections: 330,
    coldMs: 0,
    maxColdRequestsPerSecond: undefined,
};
const route: Route = {
    name: "status",
    host: "a.example",
    prefix: "/status/",
    isIdempotent: true,
    timeoutMs: deadlineMs,
    objectiveMs: 1_500,
    priority: 1,
    maxAttempts: 2,
    isSticky: false,
    homeRegions: [],
    weightedServices: [{ service: service.id, weight: 1 }],
    isPublic: false,
};
const table = createRouteTable({
    version: 1,
    routes: [route],
    services: [service],
    limits: { maxHeaderBytes: 0, maxBodyBytes: 0, headerTimeoutMs: 0, idleTimeoutMs: 0 },
    unreadableRoutes: [],
    workspaces: [],
    hasUnreadableKeys: false,
    faults: [],
});

const between = (random: Random, { min, max }: { readonly min: number; readonly max: number; }): number =>
    min + random.next() * (max - min);

export async function playPoison(options: PoisonFleetOptions): Promise<PoisonFleetOutcome> {
    const { entryCount, dataCentreCount, seed } = options;
    const durationMs = options.durationMs ?? 30_000;
    const timer = createVirtualTimer();
    const random = createRandom(seed);
    const topology = createTopology(dataCentreCount);
    const regions = new Map(
        Array.from({ length: dataCentreCount }, (_, dataCentre) => [
            toDataCentreId(`dc-${dataCentre}`),
            toRegionId(`r-${topology.regionOf(dataCentre)}`),
        ]),
    );
    const cutEntries = new Set<number>();
    const network = createDeploymentNetwork({
        timer,
        random,
        topology,
        datagramLoss: options.datagramLoss ?? 0,
        isHanging: () => false,
        isCut: (from, to) => cutEntries.has(from) !== cutEntries.has(to),
        onDatagramSent: () => {},
        replicationAt: () => undefined,
    });
    const targets = new Map<string, CrashingTarget>();
    const entries = new Map<number, FleetEntry>();
    const records = new Map<number, MemberRecord>();
    const listeners = new Map<number, (record: MemberRecord) => void>();
    const unregistered = new Set<(id: MemberRecord["id"]) => void>();
    let incarnations = 0;
    let requests = 0;
    let deaths = 0;
    let thirdDeathAt = Infinity;
    let lateArrivals = 0;
    let others = 0;
    let othersRefused = 0;
    let othersServed = 0;

    const delayTo = (entry: number, { dataCentre }: TargetRecord): number =>
        topology.delayMs(entry, Number(dataCentre.slice("dc-".length)));
    const putTarget = (record: TargetRecord): void => entries.forEach(({ steering }) => steering.registry.put(record));
    const createTargetAt = (dataCentre: number, number: number): void => {
        const id = toTargetId(`t-${dataCentre}-${number}`);
        targets.set(
            id,
            createCrashingTarget({
                timer,
                record: {
                    id,
                    service: service.id,
                    address: `${id}:1`,
                    dataCentre: toDataCentreId(`dc-${dataCentre}`),
                    region: toRegionId(`r-${topology.regionOf(dataCentre)}`),
                    slots: slotsPerTarget,
                    isDraining: false,
                    coldMs: 0,
                    startedAt: 1,
                },
                onCrashed: cause => {
                    deaths += cause === undefined ? 0 : 1;
                    if (deaths === 3 && thirdDeathAt === Infinity) {
                        thirdDeathAt = timer.now();
                    }
                },
                onExpired: () => entries.forEach(({ steering }) => steering.registry.remove(id)),
                onStarted: record => timer.after(registrationDelayMs, () => putTarget(record)),
            }),
        );
    };
    const sendAttempt = (index: number, entry: FleetEntry, attempt: Attempt<string>): void => {
        const target = targets.get(attempt.target.record.id)!;
        const delayMs = delayTo(index, attempt.target.record);
        const isPoison = attempt.job.request.fingerprint() === poisonFingerprint;
        const { dispatcher } = entry.steering;
        timer.after(delayMs, () => {
            if (attempt.job.attempt !== attempt || entries.get(index) !== entry) {
                return;
            }
            if (isPoison && attempt.sentAt > thirdDeathAt + settleMs) {
                lateArrivals++;
            }
            target.accept({
                attempt,
                runMs: between(random, isPoison ? poisonRunMs : otherRunMs),
                isPoison,
                respond: head => {
                    dispatcher.recordWritten(attempt);
                    timer.after(delayMs, () => dispatcher.handleResponse(attempt, head, ""));
                },
                fail: reason => {
                    if (reason === "other side closed") {
                        dispatcher.recordWritten(attempt);
                    }
                    timer.after(delayMs, () => dispatcher.handleConnectionFailure(attempt, reason));
                },
            });
        });
    };
    const startEntry = (index: number): void => {
        const self: MemberRecord = {
            id: toInstanceId(`entry-${String(index).padStart(4, "0")}/${++incarnations}`),
            callers: topology.addressOf(index),
            mesh: topology.addressOf(index),
            control: topology.addressOf(index),
            dataCentre: toDataCentreId(`dc-${topology.dataCentreOf(index)}`),
            region: toRegionId(`r-${topology.regionOf(index)}`),
        };
        let isRunning = true;
        const ownTimer: Timer = {
            ...timer,
            after: (waitMs, listener) => timer.after(waitMs, () => void (isRunning && listener())),
            subscribe: (intervalMs, listener) => timer.subscribe(intervalMs, () => void (isRunning && listener())),
        };
        const members = createMembers(ownTimer, self, member => mesh.sendReportsTo(member));
        const poisonList = createPoisonList({ timer: ownTimer, isTrialEntry: members.hasLowestId });
        const poisonReporting = createPoisonReporting({
            timer: ownTimer,
            poisonList,
            log: silentLog,
            recordEvidence: () => {},
            broadcast: reports => mesh.broadcastPoison(reports),
            onRefusable: () => steering.dispatcher.stopPoisonRequests(),
        });
        const steering = createSteering<string>({
            timer: ownTimer,
            random: createRandom(seed + 1_000 * index + incarnations),
            self,
            entryName: `entry-${index}`,
            members,
            poisonList,
            bounds: () => ({
                regions,
                regionShift: 1,
                repeats: { ratio: 0.2, slack: 56, windowMs: 10_000 },
                cold: { overshoot: 1.5, slack: 5 },
                prices: { dataCentre: 0.02, region: 0.01 },
            }),
            routeTable: () => table,
            workspaces: () => emptyWorkspaceDirectory,
            areKeysStale: () => false,
            findService: () => service,
            isEvacuated: () => false,
            onTargetChanged: () => {},
            onTargetHealthChanged: () => {},
            onTargetDeath: poisonReporting.onTargetDeath,
            onCausesDropped: poisonReporting.onCausesDropped,
            startHealthCheck: target => {
                const delayMs = delayTo(index, target.record);
                ownTimer.after(delayMs, () => {
                    const result = targets.get(target.record.id)!.check();
                    ownTimer.after(delayMs, () => steering.targetHealth.recordHealthCheck(target, result));
                });
            },
            send: attempt => sendAttempt(index, entry, attempt),
            cancel: attempt =>
                void timer.after(
                    delayTo(index, attempt.target.record),
                    () => targets.get(attempt.target.record.id)!.drop(attempt),
                ),
            events: {
                onAttemptStarted: () => {},
                onQueued: () => {},
                onRetry: () => {},
                onWorkCompleted: () => {},
                onPoisonCleared: (job, cleared) => poisonReporting.onCleared(job.request, cleared),
                onPoisonRefused: poisonReporting.onRefused,
                onWorkspaceRefused: () => {},
                onEnded: () => {},
            },
        });
        const mesh = createMesh({
            timer: ownTimer,
            log: silentLog,
            socket: network.socketAt(index),
            self,
            members,
            ownLoads: () => ({ dataCentre: self.dataCentre, entry: self.id, loads: [] }),
            revision: () => 1,
            leavingTargets: () => [],
            poisonReports: poisonList.reports,
            isWatching: () => true,
            onHeartbeat: (heartbeat, member) => {
                members.recordDataCentreAlive(member.record.dataCentre);
                heartbeat.loads.forEach(({ dataCentre }) => members.recordDataCentreAlive(dataCentre));
                poisonReporting.receive(heartbeat.poison);
            },
            onUnknownHeartbeat: heartbeat => poisonReporting.receiveUnconfirmed(heartbeat.poison),
            takeDigest: () => undefined,
            onDigest: () => {},
        });
        members.replaceAll([...records.values()]);
        const previous = records.get(index);
        const entry: FleetEntry = {
            steering,
            id: self.id,
            isAccepting: true,
            leave: () => {
                entry.isAccepting = false;
                mesh.announceLeaving();
                records.delete(index);
                timer.after(registrationDelayMs, () => unregistered.forEach(listener => listener(self.id)));
            },
            kill: () => {
                isRunning = false;
                mesh.close();
                entries.delete(index);
            },
        };
        entries.set(index, entry);
        records.set(index, self);
        listeners.set(index, record => members.addRegistered(record));
        unregistered.add(members.markUnregistered);
        targets.forEach(target => steering.registry.put(target.record()));
        void mesh.start();
        // The others learn of it from the store.
        timer.after(
            previous === undefined ? 0 : registrationDelayMs,
            () => listeners.forEach((listener, other) => void (other !== index && listener(self))),
        );
    };
    const submit = (fingerprint: Fingerprint, onResponse: (response: FinalResponse<string>) => void): void => {
        const running = [...entries.values()].filter(({ isAccepting }) => isAccepting);
        if (running.length === 0) {
            return;
        }
        const entry = running[random.below(running.length)]!;
        const request: SteeringRequest = {
            id: toRequestId(`r${++requests}`),
            host: route.host,
            path: `${route.prefix}1`,
            objectId: undefined,
            callerAddress: "",
            arrivedAt: timer.now(),
            deadlineAt: timer.now() + deadlineMs,
            bodyBytes: 0,
            place: firstPlace,
            fingerprint: () => fingerprint,
            describeFingerprint: () => "",
            keyDigest: undefined,
        };
        entry.steering.dispatcher.submit(request, onResponse);
    };
    const submitOther = (): void => {
        others++;
        const name = random.next() < popularRatio ? `popular-${random.below(popularCount)}` : `own-${others}`;
        submit(name as Fingerprint, response => {
            othersServed += response.kind === "answer" ? 1 : 0;
            othersRefused += response.kind === "refusal" && response.result === results.poisonRequest ? 1 : 0;
        });
    };
    /** Calls `action` at random times. */
    const repeatRandomly = (perSecond: number, action: () => void): void => {
        const next = (): void => {
            timer.after(-Math.log(1 - random.next()) * 1_000 / perSecond, () => {
                if (timer.now() < durationMs) {
                    action();
                    next();
                }
            });
        };
        if (perSecond > 0) {
            next();
        }
    };
    const scheduleRestarts = (): void => {
        for (let index = 0; index < (options.restartedCount ?? 0); index++) {
            timer.after(firstRestartMs + index * restartIntervalMs, () => {
                entries.get(index)?.kill();
                timer.after(restartDelayMs, () => startEntry(index));
            });
        }
    };
    const scheduleReplacement = (): void => {
        timer.after(leaveAtMs, () => entries.forEach(entry => entry.leave()));
        for (let index = 0; index < entryCount; index++) {
            timer.after(leaveAtMs + replacementDelayMs, () => startEntry(entryCount + index));
            timer.after(leaveAtMs + leavingMs, () => entries.get(index)!.kill());
        }
    };
    const scheduleCut = (): void => {
        const cut = Array.from({ length: options.cutCount ?? 0 }, (_, index) => entryCount - 1 - index);
        timer.after(cutFromMs, () => cut.forEach(index => cutEntries.add(index)));
        timer.after(cutFromMs + cutMs, () => cutEntries.clear());
    };

    for (let dataCentre = 0; dataCentre < dataCentreCount; dataCentre++) {
        for (let number = 0; number < targetsPerDataCentre; number++) {
            createTargetAt(dataCentre, number);
        }
    }
    for (let index = 0; index < entryCount; index++) {
        startEntry(index);
    }
    timer.after(startMs, () => {
        repeatRandomly(options.copiesPerSecond, () => submit(poisonFingerprint, () => {}));
        repeatRandomly(othersPerSecondAndEntry * entryCount, submitOther);
        repeatRandomly(options.otherCrashesPerSecond ?? 0, () => {
            [...targets.values()][random.below(targets.size)]!.crash();
        });
        scheduleRestarts();
        if (options.isReplaced === true) {
            scheduleReplacement();
        }
        scheduleCut();
    });
    for (let passedMs = 0; passedMs < durationMs + 2 * deadlineMs; passedMs += stepMs) {
        timer.advance(stepMs);
        await new Promise(resolve => setImmediate(resolve));
    }
    return { deaths, lateArrivals, others, othersRefused, othersServed };
}
