/**
 * Wires the decision-making parts of one entry. Communication with callers, targets, other entries and the store is
 * passed in.
 */
import type { DataCentreId, RegionId, ServiceId, WorkspaceId } from "../ids.js";
import type { QuotaBounds } from "../limits/quotaAllowance.js";
import { createSharedLimit, type ReportedLimit } from "../limits/quotaLimit.js";
import type { PoisonList } from "../poison/poisonList.js";
import type { Random } from "../random/random.js";
import type { Timer } from "../time/timer.js";
import { createOwnAttempts, type OwnAttempts } from "./attemptDigest.js";
import { coldRateLimitPerEntry } from "./coldTargetLimit.js";
import type { Attempt } from "./job.js";
import type { MemberRecord, Members } from "./members.js";
import { createObjectAffinity, type ObjectAffinity } from "./objectAffinity.js";
import { createOfferedLoad, type OfferedLoad } from "./offeredLoad.js";
import { createPeerAttempts, type PeerAttempts } from "./peerAttempts.js";
import { createRegionFractions, type RegionFractions } from "./regionFractions.js";
import { createRegionShiftLimiter, type RegionShiftLimiter } from "./regionShiftLimiter.js";
import { createRemoteObjects } from "./remoteObjects.js";
import { createRequestDispatcher, type RequestDispatcher } from "./requestDispatcher.js";
import { createRetryBudget, type RetryLimit } from "./retryBudget.js";
import type { RouteTable } from "./routeTable.js";
import { createSlotPressure, type SlotPressure } from "./slotPressure.js";
import { createSpillover, type ServiceLoad, type Spillover } from "./spillover.js";
import type { Service } from "./steeringDocument.js";
import type { SteeringEvents } from "./steeringEvents.js";
import type { Target } from "./target.js";
import { createTargetHealth, type TargetHealth, type TargetHealthOptions } from "./targetHealth.js";
import { createTargetRegistry, type TargetRegistry, type TargetRegistryOptions } from "./targetRegistry.js";
import { createTargetSelector, type TransferPrices } from "./targetSelector.js";
import { createTopology, roundTripsMs, type Topology } from "./topology.js";
import { createWeightedRoundRobin, type WeightedRoundRobin } from "./weightedRoundRobin.js";
import type { WorkspaceDirectory } from "./workspaceDirectory.js";
import { createWorkTimes, type WorkTimes } from "./workTimes.js";

/** Operator settings; read for each decision, except for the prices and the retry window. */
export interface SteeringBounds {
    readonly regions: ReadonlyMap<DataCentreId, RegionId>;
    /** Maximum change of the fraction of requests that leave a region, between two windows of two seconds. */
    readonly regionShift: number;
    readonly repeats: RetryLimit & { readonly windowMs: number; };
    readonly cold: { readonly overshoot: number; readonly slack: number; };
    /** Window of workspaces' quotas, and what may be admitted beyond them. */
    readonly quota?: QuotaBounds;
    readonly prices: TransferPrices;
}

export interface SteeringOptions<Answer> {
    readonly timer: Timer;
    readonly random: Random;
    readonly self: MemberRecord;
    /** Name under which this entry reports its load. */
    readonly entryName: string;
    readonly members: Members;
    readonly poisonList: PoisonList;
    readonly bounds: () => SteeringBounds;
    readonly routeTable: () => RouteTable | undefined;
    readonly workspaces: () => WorkspaceDirectory;
    /** Whether requests that need a key are refused, since this entry may not know that it was removed. */
    readonly areKeysStale: () => boolean;
    readonly findService: (id: ServiceId) => Service | undefined;
    readonly isEvacuated: (dataCentre: DataCentreId) => boolean;
    /** Whether the document in force has quotas; without any, instances don't report their use. Absent: while quotas are used. */
    readonly hasQuotas?: () => boolean;
    readonly onTargetChanged: TargetRegistryOptions["onChanged"];
    readonly onTargetHealthChanged: TargetHealthOptions["onChanged"];
    /** A target died while it ran the request. */
    readonly onTargetDeath: TargetHealthOptions["onTargetDeath"];
    readonly onCausesDropped: TargetHealthOptions["onCausesDropped"];
    /** Starts a health check; its result goes to `targetHealth.recordHealthCheck`. */
    readonly startHealthCheck: (target: Target) => void;
    /** Requests that may be at targets at the same time, each over a connection of its own. */
    readonly maxAttempts?: number;
    readonly send: (attempt: Attempt<Answer>) => void;
    readonly cancel: (attempt: Attempt<Answer>) => void;
    readonly events: SteeringEvents<Answer>;
}

export interface Steering<Answer> {
    readonly dispatcher: RequestDispatcher<Answer>;
    readonly registry: TargetRegistry;
    readonly targetHealth: TargetHealth;
    readonly topology: Topology;
    readonly roundRobin: WeightedRoundRobin;
    readonly workTimes: WorkTimes;
    readonly objectAffinity: ObjectAffinity;
    readonly regionFractions: RegionFractions;
    readonly spillover: Spillover;
    readonly offeredLoad: OfferedLoad;
    readonly pressure: SlotPressure;
    readonly ownAttempts: OwnAttempts;
    readonly peerAttempts: PeerAttempts;
    /** Limits the requests of each workspace, over all instances. */
    readonly quotaLimit: ReportedLimit<WorkspaceId>;
    /** What this entry reports to its peers of each service. */
    ownLoads(services: Iterable<ServiceId>): ServiceLoad[];
    recordPeerLoads(dataCentre: DataCentreId, entry: string, loads: readonly ServiceLoad[]): void;
}

/** Smaller parts of a service's load are too small to matter for the limit on region shifts. */
const minGroupFraction = 0.01;

/** Bounds of quotas if the operator sets none. */
const defaultQuotaBounds: QuotaBounds = { windowMs: 5_000, overshoot: 0.1, slack: 20 };

export function createSteering<Answer>(options: SteeringOptions<Answer>): Steering<Answer> {
    const { timer, random, self, members, poisonList, bounds } = options;
    const roundRobin = createWeightedRoundRobin();
    const workTimes = createWorkTimes();
    const objectAffinity = createObjectAffinity(timer);
    const ownAttempts = createOwnAttempts();
    const pressure = createSlotPressure(timer);
    const offeredLoad = createOfferedLoad(timer);
    const maxRegionShift = (): number => bounds().regionShift;
    const registry = createTargetRegistry({ timer, onChanged: options.onTargetChanged });
    const peerAttempts = createPeerAttempts({ timer, registry, objectAffinity });
    const quotaLimit = createSharedLimit<WorkspaceId>({
        timer,
        random,
        self: self.id,
        dataCentre: self.dataCentre,
        bounds: () => bounds().quota ?? defaultQuotaBounds,
        isEnabled: options.hasQuotas,
        instances: members.limitSharers,
    });
    const topology = createTopology({ self, regions: () => bounds().regions, members });
    const { roundTripMs, coversDataCentre } = topology;
    const spillover = createSpillover({
        timer,
        self: { entry: options.entryName, dataCentre: self.dataCentre },
        ownLoadSlots: offeredLoad.requiredSlots,
        loadAgeMs: offeredLoad.loadAgeMs,
        pressure: pressure.levelOf,
        availableSlots: (service, dataCentre) => options.isEvacuated(dataCentre) ? 0 : slotsIn(registry, service, dataCentre),
        dataCentres: registry.dataCentresOf,
        ownEntryCount: () => members.liveCountIn(self.dataCentre),
        regionOf: topology.regionOf,
    });
    const hasTargets = (service: ServiceId, dataCentre: DataCentreId): boolean =>
        !options.isEvacuated(dataCentre) && registry.targetsIn(service, dataCentre).some(target => !target.isSuspect);
    const regionFractions = createRegionFractions({
        timer,
        plannedFractions: spillover.plannedFractions,
        isServed: (service, region) =>
            [...registry.dataCentresOf(service)].some(dataCentre =>
                topology.regionOf(dataCentre) === region && hasTargets(service, dataCentre)
            ),
        maxFractionChange: maxRegionShift,
    });
    /** Limits requests that leave a group, which is the given part of the service's load; the planned moves go first. */
    const createLimiter = (partOf: (service: ServiceId) => number): RegionShiftLimiter =>
        createRegionShiftLimiter({
            timer,
            maxFractionChange: service => regionFractions.unusedChange(service) / Math.max(minGroupFraction, partOf(service)),
        });
    const leavingRequests = createLimiter(service => 1 - regionFractions.total(service));
    const returningRequests = createLimiter(regionFractions.total);
    /** Slots that keep busy what has to run in other regions. */
    const remoteLoadSlots = (service: ServiceId): number => {
        const planned = regionFractions.total(service);
        const remote = planned + (1 - planned) * leavingRequests.minMovedFraction(service);
        return remote * spillover.servedLoadSlots(service);
    };
    const remoteObjects = createRemoteObjects({ fractions: regionFractions.current });
    const coldRateLimit = (target: Target): number => {
        const { dataCentre, service } = target.record;
        const limit = { requestsPerSecond: options.findService(service)?.maxColdRequestsPerSecond, ...bounds().cold };
        if (dataCentre === self.dataCentre) {
            return coldRateLimitPerEntry(limit, members.liveCountIn(dataCentre), topology.rankInDataCentre(target.hashSeed));
        }
        return limit.requestsPerSecond === undefined
            ? Infinity
            : coversDataCentre(dataCentre) && topology.hasLowestIdInRegion()
            ? coldRateLimitPerEntry(limit, 2, 0)
            : 0;
    };
    const targetHealth = createTargetHealth({
        timer,
        random,
        registry,
        startHealthCheck: options.startHealthCheck,
        onChanged: options.onTargetHealthChanged,
        onTargetDeath: options.onTargetDeath,
        onCausesDropped: options.onCausesDropped,
        onRecovered: () => dispatcher.dispatchQueued(),
    });
    const targetSelector = createTargetSelector<Answer>({
        timer,
        random,
        self,
        registry,
        spillover,
        leavingRequests,
        returningRequests,
        workTimes,
        objectAffinity,
        remoteObjects,
        remoteLoadSlots,
        regionOf: topology.regionOf,
        isEvacuated: options.isEvacuated,
        coversDataCentre,
        coldRateLimit,
        roundTripMs,
        remoteRoundTripMs: roundTripsMs.remote,
        inFlightCountAt: (service, dataCentre) => dispatcher.inFlightCountAt(service, dataCentre),
        prices: bounds().prices,
        meanWorkMs: offeredLoad.meanWorkMs,
    });
    const dispatcher: RequestDispatcher<Answer> = createRequestDispatcher<Answer>({
        timer,
        random,
        routeTable: options.routeTable,
        workspaces: options.workspaces,
        areKeysStale: options.areKeysStale,
        quotaLimit,
        roundRobin,
        maxAttempts: options.maxAttempts ?? Infinity,
        targetSelector,
        workTimes,
        objectAffinity,
        ownAttempts,
        offeredLoad,
        pressure,
        retryBudget: createRetryBudget({
            timer,
            limit: () => bounds().repeats,
            windowMs: bounds().repeats.windowMs,
            entryCount: members.budgetSharerCount,
        }),
        poisonList,
        targetHealth,
        isOwnRegion: target => target.record.region === self.region,
        roundTripMs,
        send: options.send,
        cancel: options.cancel,
        events: options.events,
    });
    return {
        dispatcher,
        registry,
        targetHealth,
        topology,
        roundRobin,
        workTimes,
        objectAffinity,
        regionFractions,
        spillover,
        offeredLoad,
        pressure,
        ownAttempts,
        peerAttempts,
        quotaLimit,
        ownLoads: services =>
            [...services].map(service => ({
                service,
                slots: offeredLoad.requiredSlots(service),
                remoteFractions: regionFractions.known(service),
            })),
        recordPeerLoads: (dataCentre, entry, loads) => {
            spillover.recordPeerLoads(dataCentre, entry, loads);
            if (topology.isOwnRegion(dataCentre)) {
                regionFractions.recordPeerLoads(loads);
            }
        },
    };
}

/** Slots of a service's targets that are neither draining nor suspect. */
function slotsIn(registry: TargetRegistry, service: ServiceId, dataCentre: DataCentreId): number {
    return registry.targetsIn(service, dataCentre).reduce(
        (sum, target) => sum + (target.isSuspect ? 0 : target.record.slots),
        0,
    );
}
