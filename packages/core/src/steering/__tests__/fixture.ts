/** Routes, targets and a steerer on virtual time, for tests of decisions. */
import { type Fingerprint, toDataCentreId, toInstanceId, toRegionId, toRequestId, toServiceId, toTargetId } from "../../ids.js";
import { createPoisonList } from "../../poison/poisonList.js";
import { createRandom } from "../../random/random.js";
import { createVirtualTimer, type VirtualTimer } from "../../time/virtualTimer.js";
import { createFarObjects } from "../farObjects.js";
import type { AnswerHead, Attempt, Ending, SteeringRequest } from "../job.js";
import { createMembers } from "../members.js";
import { createObjectHomes } from "../objectHomes.js";
import { createOfferedLoad } from "../offeredLoad.js";
import { createPlacement } from "../placement.js";
import { createPressure } from "../pressure.js";
import { createRegionShift } from "../regionShift.js";
import { createRetryAllowance } from "../retryAllowance.js";
import { createRouteTable } from "../routeTable.js";
import { createSpillover } from "../spillover.js";
import { createSteerer, type Steerer } from "../steerer.js";
import type { Route, SteeringDocument } from "../steeringDocument.js";
import type { Target } from "../target.js";
import { createTargetHealth, type TargetHealth } from "../targetHealth.js";
import { runOf, type TargetRecord } from "../targetRecord.js";
import { createTargetRegistry, type TargetRegistry } from "../targetRegistry.js";
import { createWeightedTurns } from "../weightedTurns.js";
import { createWorkTimes } from "../workTimes.js";

export const service = toServiceId("tokens");
export const dataCentre = toDataCentreId("cpt-a");
export const region = toRegionId("cpt");

export function route(fields: Partial<Route> = {}): Route {
    return {
        name: "look-up",
        host: "a.example",
        prefix: "/look/",
        isIdempotent: true,
        timeoutMs: 1_200,
        objectiveMs: 300,
        priority: 2,
        attempts: 2,
        isSticky: false,
        homes: [],
        parts: [{ service, weight: 1 }],
        ...fields,
    };
}

export function documentOf(routes: readonly Route[], version = 1): SteeringDocument {
    const limits = { headerBytes: 16_384, bodyBytes: 1_000_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 };
    const services = [{ id: service, healthPath: "/health", connectionLimit: 100, coldMs: 3_000, coldPerSecond: 5.8 }];
    return { version, routes, services, limits };
}

export function record(id: string, fields: Partial<TargetRecord> = {}): TargetRecord {
    return {
        id: toTargetId(id),
        service,
        address: `10.0.0.1:${8_000 + id.length}`,
        dataCentre,
        region,
        slots: 2,
        isDraining: false,
        coldMs: 0,
        born: 1,
        ...fields,
    };
}

export const head = (fields: Partial<AnswerHead> = {}): AnswerHead => ({
    status: 200,
    isNotRun: false,
    isMisdirected: false,
    isSigned: true,
    load: undefined,
    coldMs: undefined,
    bodyBytes: 100,
    ...fields,
});

/** A steerer whose sends are collected, so that a test answers them as it likes. */
export interface Bench {
    readonly timer: VirtualTimer;
    readonly steerer: Steerer<string>;
    readonly registry: TargetRegistry;
    readonly health: TargetHealth;
    /** Attempts that were sent and not cancelled, in order. */
    readonly sent: Attempt<string>[];
    readonly checks: Target[];
    readonly cancelled: Attempt<string>[];
    readonly endings: Map<string, Ending<string>>;
    arrive(id: string, fields?: Partial<SteeringRequest>): () => void;
    /** Lets the last attempt's request be written and answered. */
    answer(attempt: Attempt<string>, fields?: Partial<AnswerHead>): void;
}

export interface BenchOptions {
    readonly routes?: readonly Route[];
    readonly targets?: readonly TargetRecord[];
    readonly retrySlack?: number;
    readonly coldShare?: number;
    readonly farShare?: number;
}

export function createBench(options: BenchOptions = {}): Bench {
    const timer = createVirtualTimer();
    const random = createRandom(1);
    const self = { dataCentre, region };
    const members = createMembers(timer, {
        id: toInstanceId("me"),
        callers: "",
        mesh: "",
        control: "",
        ...self,
    });
    const registry = createTargetRegistry({ timer, changed: () => {} });
    registry.replaceAll(options.targets ?? [record("one"), record("three")]);
    const sent: Attempt<string>[] = [];
    const cancelled: Attempt<string>[] = [];
    const checks: Target[] = [];
    const endings = new Map<string, Ending<string>>();
    const poison = createPoisonList(timer);
    const shift = createRegionShift({ timer, most: () => 0.15 });
    const works = createWorkTimes();
    const objectHomes = createObjectHomes(timer);
    const pressure = createPressure(timer);
    const offered = createOfferedLoad(timer);
    const table = createRouteTable(documentOf(options.routes ?? [route()]));
    const health = createTargetHealth({
        timer,
        random,
        registry,
        check: target => checks.push(target),
        changed: () => {},
        diedUnder: (fingerprint, target) => void poison.targetDied(fingerprint, runOf(target.record)),
        recovered: () => steerer.dispatch(),
    });
    const inFlight = (...place: Parameters<Steerer<string>["inFlightAt"]>): number => steerer.inFlightAt(...place);
    const placement = createPlacement<string>({
        timer,
        random,
        self,
        registry,
        spillover: createSpillover({
            timer,
            self: { entry: "me", dataCentre },
            ownLoad: offered.slots,
            loadAgeMs: offered.ageMs,
            pressure: pressure.of,
            capacity: (wanted, place) => registry.inDataCentre(wanted, place).length * 2,
            dataCentres: registry.dataCentres,
            ownEntries: () => 1,
            isOwnRegion: place => place === dataCentre,
        }),
        shift,
        works,
        objectHomes,
        farObjects: createFarObjects({ timer, planned: () => options.farShare ?? 0, most: () => 0.15 }),
        farRoundTripMs: 73,
        regionOf: place => toRegionId(place.split("-")[0]!),
        isEvacuated: () => false,
        isUnattended: () => false,
        coldShare: () => options.coldShare ?? Infinity,
        roundTripMs: () => 1,
        inFlight,
        prices: { dataCentre: 0.1, region: 0.05 },
        stayMs: offered.workMs,
    });
    const steerer: Steerer<string> = createSteerer<string>({
        timer,
        random,
        routes: () => table,
        turns: createWeightedTurns(),
        placement,
        shift,
        works,
        objectHomes,
        offered,
        pressure,
        allowance: createRetryAllowance({
            timer,
            bound: () => ({ ratio: 0.2, slack: options.retrySlack ?? 50 }),
            windowMs: 10_000,
            entries: members.sharing,
        }),
        poison,
        health,
        isOwnRegion: target => target.record.region === region,
        roundTripMs: () => 1,
        send: attempt => sent.push(attempt),
        cancel: attempt => cancelled.push(attempt),
        events: { placed: () => {}, queued: () => {}, repeated: () => {}, worked: () => {}, absolved: () => {}, ended: () => {} },
    });
    return {
        timer,
        steerer,
        registry,
        health,
        sent,
        checks,
        cancelled,
        endings,
        arrive: (id, fields = {}) => {
            const request: SteeringRequest = {
                id: toRequestId(id),
                host: "a.example",
                path: "/look/1",
                object: undefined,
                arrivedAt: timer.now(),
                deadlineAt: timer.now() + 2_000,
                bodyBytes: 0,
                fingerprint: () => id as Fingerprint,
                ...fields,
            };
            return steerer.arrive(request, ending => endings.set(id, ending));
        },
        answer: (attempt, fields) => {
            steerer.written(attempt);
            steerer.answered(attempt, head(fields), `answer to ${attempt.job.request.id}`);
        },
    };
}
