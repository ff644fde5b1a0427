/** Routes, targets and a request dispatcher on virtual time, for tests of steering decisions. */
import {
    type Fingerprint,
    toDataCentreId,
    toInstanceId,
    toRegionId,
    toRequestId,
    toServiceId,
    toTargetId,
    type WorkspaceId,
} from "../../ids.js";
import type { SharedLimit } from "../../limits/sharedLimit.js";
import { createPoisonList } from "../../poison/poisonList.js";
import { createRandom } from "../../random/random.js";
import { createVirtualTimer, type VirtualTimer } from "../../time/virtualTimer.js";
import { createOwnAttempts } from "../attemptDigest.js";
import { firstPlace } from "../connectionPlace.js";
import type { Attempt, FinalResponse, ResponseHead, SteeringRequest } from "../job.js";
import { createMembers } from "../members.js";
import { createObjectAffinity } from "../objectAffinity.js";
import { createOfferedLoad } from "../offeredLoad.js";
import { createRegionShiftLimiter } from "../regionShiftLimiter.js";
import { createRemoteObjects } from "../remoteObjects.js";
import { createRequestDispatcher, type RequestDispatcher } from "../requestDispatcher.js";
import { createRetryBudget } from "../retryBudget.js";
import { createRouteTable } from "../routeTable.js";
import { createSlotPressure } from "../slotPressure.js";
import { createSpillover } from "../spillover.js";
import type { Route, SteeringDocument, Workspace } from "../steeringDocument.js";
import type { SteeringEvents } from "../steeringEvents.js";
import type { Target } from "../target.js";
import { createTargetHealth, type HealthCheckResult, type TargetHealth } from "../targetHealth.js";
import { noNotice, targetIncarnationOf, type TargetRecord } from "../targetRecord.js";
import { createTargetRegistry, type TargetRegistry } from "../targetRegistry.js";
import { createTargetSelector } from "../targetSelector.js";
import { createWeightedRoundRobin } from "../weightedRoundRobin.js";
import { emptyWorkspaceDirectory, type WorkspaceDirectory } from "../workspaceDirectory.js";
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
        maxAttempts: 2,
        isSticky: false,
        homeRegions: [],
        weightedServices: [{ service, weight: 1 }],
        isPublic: false,
        ...fields,
    };
}

export function documentOf(
    routes: readonly Route[],
    version = 1,
    workspaces: readonly Workspace[] = [],
): SteeringDocument {
    const limits = { maxHeaderBytes: 16_384, maxBodyBytes: 1_000_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 };
    const services = [{
        id: service,
        healthCheckPath: "/health",
        maxConnections: 100,
        coldMs: 3_000,
        maxColdRequestsPerSecond: 5.8,
    }];
    return { version, routes, unreadableRoutes: [], services, workspaces, hasUnreadableKeys: false, limits, faults: [] };
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
        startedAt: 1,
        ...fields,
    };
}

export const head = (fields: Partial<ResponseHead> = {}): ResponseHead => ({
    status: 200,
    isNotRun: false,
    isMisdirected: false,
    isSigned: true,
    load: undefined,
    coldMs: undefined,
    notice: noNotice,
    bodyBytes: 100,
    ...fields,
});

export const noHealthResponse: HealthCheckResult = {
    isReached: false,
    isExpectedTarget: false,
    isHealthy: false,
    coldMs: undefined,
    load: undefined,
    notice: noNotice,
};

export const healthyResponse: HealthCheckResult = {
    ...noHealthResponse,
    isReached: true,
    isExpectedTarget: true,
    isHealthy: true,
};

/** A dispatcher whose attempts are recorded, so that a test chooses the response to each. */
export interface TestBench {
    readonly timer: VirtualTimer;
    readonly dispatcher: RequestDispatcher<string>;
    readonly registry: TargetRegistry;
    readonly targetHealth: TargetHealth;
    /** Sent attempts, in order. */
    readonly sent: Attempt<string>[];
    readonly checks: Target[];
    readonly cancelled: Attempt<string>[];
    readonly finalResponses: Map<string, FinalResponse<string>>;
    submit(id: string, fields?: Partial<SteeringRequest>): () => void;
    /** Marks the attempt's request as written and responds to it. */
    respond(attempt: Attempt<string>, fields?: Partial<ResponseHead>): void;
}

export interface TestBenchOptions {
    readonly routes?: readonly Route[];
    readonly targets?: readonly TargetRecord[];
    readonly retrySlack?: number;
    readonly maxAttempts?: number;
    readonly coldRateLimit?: number;
    readonly roundTripMs?: number;
    readonly workspaces?: () => WorkspaceDirectory;
    readonly areKeysStale?: () => boolean;
    readonly quotaLimit?: SharedLimit<WorkspaceId>;
    readonly events?: Partial<SteeringEvents<string>>;
}

export function createTestBench(options: TestBenchOptions = {}): TestBench {
    const timer = createVirtualTimer();
    const random = createRandom(1);
    const self = { dataCentre, region };
    const members = createMembers(timer, {
        id: toInstanceId("me"),
        callers: "",
        mesh: "me:1",
        control: "",
        ...self,
    });
    const registry = createTargetRegistry({ timer, onChanged: () => {} });
    registry.replaceAll(options.targets ?? [record("one"), record("three")]);
    const sent: Attempt<string>[] = [];
    const cancelled: Attempt<string>[] = [];
    const checks: Target[] = [];
    const responses = new Map<string, FinalResponse<string>>();
    const poisonList = createPoisonList({ timer, isTrialEntry: () => true });
    const createLimiter = () => createRegionShiftLimiter({ timer, maxFractionChange: () => 0.15 });
    const workTimes = createWorkTimes();
    const objectAffinity = createObjectAffinity(timer);
    const pressure = createSlotPressure(timer);
    const offeredLoad = createOfferedLoad(timer);
    const routeTable = createRouteTable(documentOf(options.routes ?? [route()]));
    const targetHealth = createTargetHealth({
        timer,
        random,
        registry,
        startHealthCheck: target => checks.push(target),
        onChanged: () => {},
        onTargetDeath: (requests, target) => {
            poisonList.recordDeath(requests.map(({ fingerprint }) => fingerprint()), targetIncarnationOf(target.record));
            dispatcher.stopPoisonRequests();
        },
        onCausesDropped: () => {},
        onRecovered: () => dispatcher.dispatchQueued(),
    });
    const inFlightCountAt = (...place: Parameters<RequestDispatcher<string>["inFlightCountAt"]>): number =>
        dispatcher.inFlightCountAt(...place);
    const targetSelector = createTargetSelector<string>({
        timer,
        random,
        self,
        registry,
        spillover: createSpillover({
            timer,
            self: { entry: "me", dataCentre },
            ownLoadSlots: offeredLoad.requiredSlots,
            loadAgeMs: offeredLoad.loadAgeMs,
            pressure: pressure.levelOf,
            availableSlots: (wanted, place) => registry.targetsIn(wanted, place).length * 2,
            dataCentres: registry.dataCentresOf,
            ownEntryCount: () => 1,
            regionOf: place => toRegionId(place.split("-")[0]!),
        }),
        leavingRequests: createLimiter(),
        returningRequests: createLimiter(),
        workTimes,
        objectAffinity,
        remoteObjects: createRemoteObjects({ fractions: () => new Map() }),
        remoteLoadSlots: () => 0,
        remoteRoundTripMs: 73,
        regionOf: place => toRegionId(place.split("-")[0]!),
        isEvacuated: () => false,
        coversDataCentre: () => false,
        coldRateLimit: () => options.coldRateLimit ?? Infinity,
        roundTripMs: () => options.roundTripMs ?? 1,
        inFlightCountAt,
        prices: { dataCentre: 0.1, region: 0.05 },
        meanWorkMs: offeredLoad.meanWorkMs,
    });
    const dispatcher: RequestDispatcher<string> = createRequestDispatcher<string>({
        maxAttempts: options.maxAttempts ?? Infinity,
        timer,
        random,
        routeTable: () => routeTable,
        workspaces: options.workspaces ?? (() => emptyWorkspaceDirectory),
        areKeysStale: options.areKeysStale ?? (() => false),
        quotaLimit: options.quotaLimit ?? { tryTake: () => ({ kind: "admitted", giveBack: () => {} }) },
        roundRobin: createWeightedRoundRobin(),
        targetSelector,
        workTimes,
        objectAffinity,
        ownAttempts: createOwnAttempts(),
        offeredLoad,
        pressure,
        retryBudget: createRetryBudget({
            timer,
            limit: () => ({ ratio: 0.2, slack: options.retrySlack ?? 50 }),
            windowMs: 10_000,
            entryCount: members.budgetSharerCount,
        }),
        poisonList,
        targetHealth,
        isOwnRegion: target => target.record.region === region,
        roundTripMs: () => options.roundTripMs ?? 1,
        send: attempt => sent.push(attempt),
        cancel: attempt => cancelled.push(attempt),
        events: {
            onAttemptStarted: () => {},
            onQueued: () => {},
            onRetry: () => {},
            onWorkCompleted: () => {},
            onPoisonCleared: () => {},
            onPoisonRefused: () => {},
            onWorkspaceRefused: () => {},
            onEnded: () => {},
            ...options.events,
        },
    });
    return {
        timer,
        dispatcher,
        registry,
        targetHealth,
        sent,
        checks,
        cancelled,
        finalResponses: responses,
        submit: (id, fields = {}) => {
            const request: SteeringRequest = {
                id: toRequestId(id),
                host: "a.example",
                path: "/look/1",
                objectId: undefined,
                keyDigest: undefined,
                callerAddress: "100.64.0.1",
                arrivedAt: timer.now(),
                deadlineAt: timer.now() + 2_000,
                bodyBytes: 0,
                place: firstPlace,
                fingerprint: () => id as Fingerprint,
                describeFingerprint: () => "",
                ...fields,
            };
            return dispatcher.submit(request, response => responses.set(id, response));
        },
        respond: (attempt, fields) => {
            dispatcher.recordWritten(attempt);
            dispatcher.handleResponse(attempt, head(fields), `answer to ${attempt.job.request.id}`);
        },
    };
}
