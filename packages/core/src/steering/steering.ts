/** Wires the decisions of one entry. What speaks to callers, targets, other entries and the store is given to it. */
import type { DataCentreId, Fingerprint, RegionId, ServiceId } from "../ids.js";
import type { PoisonList } from "../poison/poisonList.js";
import type { Random } from "../random/random.js";
import type { Timer } from "../time/timer.js";
import { coldRateLimitPerEntry } from "./coldTargetLimit.js";
import type { Attempt } from "./job.js";
import type { MemberRecord, Members } from "./members.js";
import { createObjectAffinity, type ObjectAffinity } from "./objectAffinity.js";
import { createOfferedLoad, type OfferedLoad } from "./offeredLoad.js";
import { createRegionShiftLimiter } from "./regionShiftLimiter.js";
import { createRemoteObjects, type RemoteObjects } from "./remoteObjects.js";
import { createRequestDispatcher, type RequestDispatcher, type SteeringEvents } from "./requestDispatcher.js";
import { createRetryBudget, type RetryLimit } from "./retryBudget.js";
import type { RouteTable } from "./routeTable.js";
import { createSlotPressure, type SlotPressure } from "./slotPressure.js";
import { createSpillover, type Spillover } from "./spillover.js";
import type { Service } from "./steeringDocument.js";
import type { Target } from "./target.js";
import { createTargetHealth, type TargetHealth, type TargetHealthOptions } from "./targetHealth.js";
import { createTargetRegistry, type TargetRegistry, type TargetRegistryOptions } from "./targetRegistry.js";
import { createTargetSelector, type TransferPrices } from "./targetSelector.js";
import { createTopology, roundTripsMs, type Topology } from "./topology.js";
import { createWeightedRoundRobin, type WeightedRoundRobin } from "./weightedRoundRobin.js";
import { createWorkTimes, type WorkTimes } from "./workTimes.js";

/** What operators set; read anew at each decision, but for the prices and the window of repeats. */
export interface SteeringBounds {
    readonly regions: ReadonlyMap<DataCentreId, RegionId>;
    /** Largest change of the share of requests that leaves a region, between two windows of two seconds. */
    readonly regionShift: number;
    readonly repeats: RetryLimit & { readonly windowMs: number; };
    readonly cold: { readonly overshoot: number; readonly slack: number; };
    readonly prices: TransferPrices;
}

export interface SteeringOptions<Answer> {
    readonly timer: Timer;
    readonly random: Random;
    readonly self: MemberRecord;
    /** Name under which this entry tells its load. */
    readonly entryName: string;
    readonly members: Members;
    readonly poisonList: PoisonList;
    readonly bounds: () => SteeringBounds;
    readonly routeTable: () => RouteTable | undefined;
    readonly findService: (id: ServiceId) => Service | undefined;
    readonly isEvacuated: (dataCentre: DataCentreId) => boolean;
    readonly onTargetChanged: TargetRegistryOptions["onChanged"];
    readonly onTargetHealthChanged: TargetHealthOptions["onChanged"];
    /** A target died while it ran the request. */
    readonly onTargetDeath: (fingerprint: Fingerprint, target: Target) => void;
    /** Asks for a health check; `health.checked` is told the result. */
    readonly startHealthCheck: (target: Target) => void;
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
    readonly remoteObjects: RemoteObjects;
    readonly spillover: Spillover;
    readonly offeredLoad: OfferedLoad;
    readonly pressure: SlotPressure;
}

export function createSteering<Answer>(options: SteeringOptions<Answer>): Steering<Answer> {
    const { timer, random, self, members, poisonList: poison, bounds } = options;
    const turns = createWeightedRoundRobin();
    const works = createWorkTimes();
    const objectHomes = createObjectAffinity(timer);
    const pressure = createSlotPressure(timer);
    const offered = createOfferedLoad(timer);
    const mostShift = (): number => bounds().regionShift;
    const shift = createRegionShiftLimiter({ timer, maxFractionChange: mostShift });
    const registry = createTargetRegistry({ timer, onChanged: options.onTargetChanged });
    const reach = createTopology({ self, regions: () => bounds().regions, members });
    const { roundTripMs, coversDataCentre: isUnattended } = reach;
    const spillover = createSpillover({
        timer,
        self: { entry: options.entryName, dataCentre: self.dataCentre },
        ownLoadSlots: offered.requiredSlots,
        loadAgeMs: offered.loadAgeMs,
        pressure: pressure.levelOf,
        availableSlots: (service, dataCentre) => options.isEvacuated(dataCentre) ? 0 : slotsIn(registry, service, dataCentre),
        dataCentres: registry.dataCentresOf,
        ownEntryCount: () => members.liveCountIn(self.dataCentre),
        isOwnRegion: reach.isOwnRegion,
    });
    const farObjects = createRemoteObjects({ timer, plannedFraction: spillover.remoteFraction, maxFractionChange: mostShift });
    const coldShareOf = (target: Target): number => {
        const { dataCentre, service } = target.record;
        const bound = { requestsPerSecond: options.findService(service)?.maxColdRequestsPerSecond, ...bounds().cold };
        if (dataCentre === self.dataCentre) {
            return coldRateLimitPerEntry(bound, members.liveCountIn(dataCentre));
        }
        return bound.requestsPerSecond === undefined
            ? Infinity
            : isUnattended(dataCentre) && reach.hasLowestIdInRegion()
            ? coldRateLimitPerEntry(bound, 2)
            : 0;
    };
    const health = createTargetHealth({
        timer,
        random,
        registry,
        startHealthCheck: options.startHealthCheck,
        onChanged: options.onTargetHealthChanged,
        onTargetDeath: options.onTargetDeath,
        onRecovered: () => steerer.dispatchQueued(),
    });
    const placement = createTargetSelector<Answer>({
        timer,
        random,
        self,
        registry,
        spillover,
        regionShift: shift,
        workTimes: works,
        objectAffinity: objectHomes,
        remoteObjects: farObjects,
        regionOf: reach.regionOf,
        isEvacuated: options.isEvacuated,
        coversDataCentre: isUnattended,
        coldRateLimit: coldShareOf,
        roundTripMs,
        remoteRoundTripMs: roundTripsMs.far,
        inFlightCountAt: (service, dataCentre) => steerer.inFlightCountAt(service, dataCentre),
        prices: bounds().prices,
        meanWorkMs: offered.meanWorkMs,
    });
    const steerer: RequestDispatcher<Answer> = createRequestDispatcher<Answer>({
        timer,
        random,
        routeTable: options.routeTable,
        roundRobin: turns,
        targetSelector: placement,
        regionShift: shift,
        workTimes: works,
        objectAffinity: objectHomes,
        offeredLoad: offered,
        pressure,
        retryBudget: createRetryBudget({
            timer,
            limit: () => bounds().repeats,
            windowMs: bounds().repeats.windowMs,
            entryCount: members.budgetSharerCount,
        }),
        poisonList: poison,
        targetHealth: health,
        isOwnRegion: target => target.record.region === self.region,
        roundTripMs,
        send: options.send,
        cancel: options.cancel,
        events: options.events,
    });
    return {
        dispatcher: steerer,
        registry,
        targetHealth: health,
        topology: reach,
        roundRobin: turns,
        workTimes: works,
        objectAffinity: objectHomes,
        remoteObjects: farObjects,
        spillover,
        offeredLoad: offered,
        pressure,
    };
}

/** Slots of a service's targets that are not leaving. */
function slotsIn(registry: TargetRegistry, service: ServiceId, dataCentre: DataCentreId): number {
    return registry.targetsIn(service, dataCentre).reduce(
        (sum, target) => sum + (target.isSuspect ? 0 : target.record.slots),
        0,
    );
}
