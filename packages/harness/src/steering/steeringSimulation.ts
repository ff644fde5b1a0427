/**
 * Several entries that steer one load to the same targets, in virtual time: what each decides, and what callers get.
 * Callers follow the advice of a refusal once, as the users' callers do.
 */
import { hashText } from "@pimentospring/core/hash/hash";
import {
    type DataCentreId,
    type Fingerprint,
    toDataCentreId,
    toInstanceId,
    toRegionId,
    toRequestId,
    toServiceId,
    toTargetId,
} from "@pimentospring/core/ids";
import { createPoisonList } from "@pimentospring/core/poison/poisonList";
import { createRandom } from "@pimentospring/core/random/random";
import type { Attempt, FinalResponse } from "@pimentospring/core/steering/job";
import { createMembers, type MemberRecord } from "@pimentospring/core/steering/members";
import { createRouteTable } from "@pimentospring/core/steering/routeTable";
import { createSteering, type Steering, type SteeringBounds } from "@pimentospring/core/steering/steering";
import type { Route, Service } from "@pimentospring/core/steering/steeringDocument";
import type { TargetRecord } from "@pimentospring/core/steering/targetRecord";
import { createVirtualTimer, type VirtualTimer } from "@pimentospring/core/time/virtualTimer";
import { createSharedTarget, type SharedTarget } from "./sharedTarget.js";
import type {
    ClassOutcome,
    ServiceOutcome,
    SimulatedService,
    SteeringSimulationOptions,
    TrafficClass,
} from "./simulationOptions.js";

export interface SteeringSimulation {
    readonly timer: VirtualTimer;
    /** Lets callers ask for this long, and then the rest finish. */
    run(durationMs: number): void;
    /** Targets of the service in the data centre die without a word; entries learn it at once. */
    crashTargets(service: string, dataCentre: string, count: number): void;
    classOutcome(name: string): ClassOutcome;
    /** Worth earned of the worth owed: a late answer earns a fifth. */
    earnedValueRatio(name: string): number;
    serviceOutcome(name: string): ServiceOutcome;
}

interface Entry {
    readonly dataCentre: DataCentreId;
    readonly steering: Steering<string>;
}

interface Caller {
    readonly class: TrafficClass;
    readonly object: string;
    readonly firstAt: number;
    readonly entry: Entry;
    readonly workMs: number;
    readonly id: string;
}

const host = "world.example";
/** Spread of work around the usual, and the few requests that run many times longer. */
const workSpread = 0.15;
const straggler = { share: 0.03, factor: 7 };
const lateShare = 0.2;
/** Part of the time left within which callers follow the advice of a refusal. */
const followedShare = 1 / 3;
const newsMs = 1_000;
const sampleMs = 20;
/** One way, in milliseconds. */
const ways = { within: 0.2, region: 0.9, far: 35 };
const bounds: Omit<SteeringBounds, "regions"> = {
    regionShift: 0.15,
    repeats: { ratio: 0.2, slack: 56, windowMs: 10_000 },
    cold: { overshoot: 1.5, slack: 5 },
    prices: { dataCentre: 0.02, region: 0.01 },
};

const regionOf = (dataCentre: string) => toRegionId(dataCentre.split("-")[0]!);

function wayMs(from: string, to: string): number {
    if (from === to) {
        return ways.within;
    }
    return regionOf(from) === regionOf(to) ? ways.region : ways.far;
}

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
        routes: options.classes.map(routeOf),
        services,
        limits: { maxHeaderBytes: 0, maxBodyBytes: 0, headerTimeoutMs: 0, idleTimeoutMs: 0 },
    });
    const targets = new Map<string, SharedTarget>();
    const cancels = new Map<Attempt<string>, () => void>();
    const works = new Map<string, number>();
    const outcomes = new Map(
        options.classes.map(({ name }) => [name, { requests: 0, inTime: 0, late: 0, refused: 0, failed: 0 }]),
    );
    const counts = new Map(options.services.map(({ name }) => [name, { sent: 0, sentToFull: 0, waiting: 0, running: 0 }]));
    let samples = 0;
    let requests = 0;
    let isAsking = true;

    const deliver = (entry: Entry, attempt: Attempt<string>): void => {
        const { record } = attempt.target;
        const target = targets.get(record.id);
        const way = wayMs(entry.dataCentre, record.dataCentre);
        entry.steering.dispatcher.recordWritten(attempt);
        timer.after(way, () => {
            if (target === undefined || attempt.job.attempt !== attempt) {
                return;
            }
            const count = counts.get(record.service)!;
            count.sent++;
            count.sentToFull += target.running() >= record.slots ? 1 : 0;
            const { request, route } = attempt.job;
            const giveUp = target.accept({
                object: `${route.prefix}${request.objectId}`,
                workMs: works.get(request.id)!,
                deadlineAt: request.deadlineAt,
                answer: head =>
                    timer.after(way, () => {
                        cancels.delete(attempt);
                        entry.steering.dispatcher.handleResponse(attempt, head, "");
                    }),
            });
            cancels.set(attempt, giveUp);
        });
    };
    const cancel = (entry: Entry, attempt: Attempt<string>): void => {
        const giveUp = cancels.get(attempt);
        cancels.delete(attempt);
        if (giveUp !== undefined) {
            timer.after(wayMs(entry.dataCentre, attempt.target.record.dataCentre), giveUp);
        }
    };
    const memberOf = (dataCentre: string, index: number): MemberRecord => ({
        id: toInstanceId(`${dataCentre}-${index}`),
        callers: "",
        mesh: "",
        control: "",
        dataCentre: toDataCentreId(dataCentre),
        region: regionOf(dataCentre),
    });
    const records = dataCentres.flatMap(name =>
        Array.from({ length: options.entryCounts[name]! }, (_, index) => memberOf(name, index + 1))
    );
    const createEntry = (self: MemberRecord): Entry => {
        const members = createMembers(timer, self);
        const others = records.filter(record => record !== self);
        members.replaceAll(others);
        timer.subscribe(newsMs, () => others.forEach(other => members.recordHeartbeat(other.id, false)));
        const entry: Entry = {
            dataCentre: self.dataCentre,
            steering: createSteering<string>({
                timer,
                random: createRandom(hashText(self.id, options.seed)),
                self,
                entryName: self.id,
                members,
                poisonList: createPoisonList(timer),
                bounds: () => ({ ...bounds, regions }),
                routeTable: () => table,
                findService: id => services.find(service => service.id === id),
                isEvacuated: () => false,
                onTargetChanged: () => {},
                onTargetHealthChanged: () => {},
                onTargetDeath: () => {},
                startHealthCheck: () => {},
                send: attempt => deliver(entry, attempt),
                cancel: attempt => cancel(entry, attempt),
                events: {
                    onAttemptStarted: () => {},
                    onQueued: () => {},
                    onRetry: () => {},
                    onWorkCompleted: () => {},
                    onPoisonCleared: () => {},
                    onEnded: () => {},
                },
            }),
        };
        return entry;
    };
    const entries = records.map(createEntry);
    const announce = (record: TargetRecord): void => entries.forEach(({ steering }) => steering.registry.put(record));
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
        targets.set(record.id, createSharedTarget({ timer, random, record, traits: service.targetModel }));
        announce(record);
    };
    const tellLoads = (): void => {
        for (const entry of entries) {
            const loads = services.map(({ id }) => ({ service: id, slots: entry.steering.offeredLoad.requiredSlots(id) }));
            const name = records[entries.indexOf(entry)]!.id;
            for (const other of entries.filter(peer => peer !== entry)) {
                timer.after(
                    wayMs(entry.dataCentre, other.dataCentre),
                    () => other.steering.spillover.recordPeerLoads(entry.dataCentre, name, loads),
                );
            }
        }
    };
    const sample = (): void => {
        samples++;
        for (const target of targets.values()) {
            const count = counts.get(target.record.service)!;
            count.waiting += target.queued();
            count.running += target.running();
        }
    };

    const ask = (caller: Caller, isReturn: boolean): void => {
        const outcome = outcomes.get(caller.class.name)!;
        const deadlineAt = caller.firstAt + caller.class.deadlineMs;
        const id = toRequestId(`r${++requests}`);
        works.set(id, caller.workMs);
        const finish = (ending: FinalResponse<string>): void => {
            works.delete(id);
            if (ending.kind === "answer") {
                outcome[timer.now() - caller.firstAt <= caller.class.objectiveMs ? "inTime" : "late"]++;
                return;
            }
            const advice = ending.retryAfterMs;
            if (isReturn || advice === undefined) {
                outcome[ending.result.outcome === "notRun" ? "refused" : "failed"]++;
                return;
            }
            const wait = Math.min(advice, followedShare * (deadlineAt - timer.now()));
            timer.after(wait, () => ask(caller, true));
        };
        caller.entry.steering.dispatcher.submit({
            id,
            host,
            path: `/${caller.class.name}/${caller.object}`,
            objectId: caller.object,
            arrivedAt: timer.now(),
            deadlineAt,
            bodyBytes: 0,
            fingerprint: () => caller.id as Fingerprint,
        }, finish);
    };
    const workOf = (kind: TrafficClass): number => {
        const spread = 1 + workSpread * (2 * random.next() - 1) * Math.sqrt(3);
        return kind.workMs * spread * (random.next() < straggler.share ? straggler.factor : 1);
    };
    const begin = (kind: TrafficClass, dataCentre: string): void => {
        const own = entries.filter(entry => entry.dataCentre === dataCentre);
        outcomes.get(kind.name)!.requests++;
        const caller: Caller = {
            class: kind,
            object: `${regionOf(dataCentre)}${random.below(kind.objectCount)}`,
            firstAt: timer.now(),
            entry: own[random.below(own.length)]!,
            workMs: workOf(kind),
            id: `c${requests}`,
        };
        ask(caller, false);
    };
    const keepAsking = (kind: TrafficClass, dataCentre: string): void => {
        timer.after(random.exponential(1_000 / kind.arrivalsPerSecond), () => {
            if (isAsking) {
                begin(kind, dataCentre);
                keepAsking(kind, dataCentre);
            }
        });
    };

    for (const service of options.services) {
        for (const [dataCentre, count] of Object.entries(service.targetCounts)) {
            for (let number = 0; number < count; number++) {
                createTarget(service, dataCentre, number);
            }
        }
    }
    timer.subscribe(newsMs, tellLoads);
    timer.subscribe(sampleMs, sample);
    dataCentres.forEach(dataCentre => options.classes.forEach(kind => keepAsking(kind, dataCentre)));
    const longestMs = Math.max(...options.classes.map(kind => kind.deadlineMs));
    return {
        timer,
        run: durationMs => {
            timer.advance(durationMs);
            isAsking = false;
            timer.advance(2 * longestMs);
        },
        crashTargets: (service, dataCentre, count) => {
            const removed = [...targets.values()]
                .filter(({ record }) => record.service === service && record.dataCentre === dataCentre)
                .slice(0, count);
            for (const target of removed) {
                target.crash();
                targets.delete(target.record.id);
                entries.forEach(({ steering }) => steering.registry.remove(target.record.id));
            }
        },
        classOutcome: name => outcomes.get(name)!,
        earnedValueRatio: name => {
            const { requests: asked, inTime, late } = outcomes.get(name)!;
            return (inTime + lateShare * late) / asked;
        },
        serviceOutcome: name => {
            const { sent, sentToFull, waiting, running } = counts.get(name)!;
            return { sent, sentToFullTargets: sentToFull, meanQueued: waiting / samples, meanRunning: running / samples };
        },
    };
}

function routeOf(kind: TrafficClass): Route {
    return {
        name: kind.name,
        host,
        prefix: `/${kind.name}/`,
        isIdempotent: kind.isIdempotent,
        timeoutMs: kind.timeoutMs,
        objectiveMs: kind.objectiveMs,
        priority: kind.priority,
        maxAttempts: 2,
        isSticky: true,
        homeRegions: [],
        weightedServices: [{ service: toServiceId(kind.service), weight: 1 }],
    };
}
