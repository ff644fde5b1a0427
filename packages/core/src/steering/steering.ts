/** Wires the decisions of one entry. What speaks to callers, targets, other entries and the store is given to it. */
import type { DataCentreId, Fingerprint, RegionId, ServiceId } from "../ids.js";
import type { PoisonList } from "../poison/poisonList.js";
import type { Random } from "../random/random.js";
import type { Timer } from "../time/timer.js";
import { coldShare } from "./coldArrivals.js";
import { createFarObjects, type FarObjects } from "./farObjects.js";
import type { Attempt } from "./job.js";
import type { MemberRecord, Members } from "./members.js";
import { createObjectHomes, type ObjectHomes } from "./objectHomes.js";
import { createOfferedLoad, type OfferedLoad } from "./offeredLoad.js";
import { type BytePrices, createPlacement } from "./placement.js";
import { createPressure, type Pressure } from "./pressure.js";
import { createReach, type Reach, roundTrips } from "./reach.js";
import { createRegionShift } from "./regionShift.js";
import { createRetryAllowance, type RetryBound } from "./retryAllowance.js";
import type { RouteTable } from "./routeTable.js";
import { createSpillover, type Spillover } from "./spillover.js";
import { createSteerer, type Steerer, type SteeringEvents } from "./steerer.js";
import type { Service } from "./steeringDocument.js";
import type { Target } from "./target.js";
import { createTargetHealth, type TargetHealth, type TargetHealthOptions } from "./targetHealth.js";
import { createTargetRegistry, type TargetRegistry, type TargetRegistryOptions } from "./targetRegistry.js";
import { createWeightedTurns, type WeightedTurns } from "./weightedTurns.js";
import { createWorkTimes, type WorkTimes } from "./workTimes.js";

/** What operators set; read anew at each decision, but for the prices and the window of repeats. */
export interface SteeringBounds {
    readonly regions: ReadonlyMap<DataCentreId, RegionId>;
    /** Largest change of the share of requests that leaves a region, between two windows of two seconds. */
    readonly regionShift: number;
    readonly repeats: RetryBound & { readonly windowMs: number; };
    readonly cold: { readonly overshoot: number; readonly slack: number; };
    readonly prices: BytePrices;
}

export interface SteeringOptions<Answer> {
    readonly timer: Timer;
    readonly random: Random;
    readonly self: MemberRecord;
    /** Name under which this entry tells its load. */
    readonly name: string;
    readonly members: Members;
    readonly poison: PoisonList;
    readonly bounds: () => SteeringBounds;
    readonly routes: () => RouteTable | undefined;
    readonly service: (id: ServiceId) => Service | undefined;
    readonly isEvacuated: (dataCentre: DataCentreId) => boolean;
    readonly targetChanged: TargetRegistryOptions["changed"];
    readonly targetJudged: TargetHealthOptions["changed"];
    /** A target died while it ran the request. */
    readonly diedUnder: (fingerprint: Fingerprint, target: Target) => void;
    /** Asks for a health check; `health.checked` is told the result. */
    readonly check: (target: Target) => void;
    readonly send: (attempt: Attempt<Answer>) => void;
    readonly cancel: (attempt: Attempt<Answer>) => void;
    readonly events: SteeringEvents<Answer>;
}

export interface Steering<Answer> {
    readonly steerer: Steerer<Answer>;
    readonly registry: TargetRegistry;
    readonly health: TargetHealth;
    readonly reach: Reach;
    readonly turns: WeightedTurns;
    readonly works: WorkTimes;
    readonly objectHomes: ObjectHomes;
    readonly farObjects: FarObjects;
    readonly spillover: Spillover;
    readonly offered: OfferedLoad;
    readonly pressure: Pressure;
}

export function createSteering<Answer>(options: SteeringOptions<Answer>): Steering<Answer> {
    const { timer, random, self, members, poison, bounds } = options;
    const turns = createWeightedTurns();
    const works = createWorkTimes();
    const objectHomes = createObjectHomes(timer);
    const pressure = createPressure(timer);
    const offered = createOfferedLoad(timer);
    const mostShift = (): number => bounds().regionShift;
    const shift = createRegionShift({ timer, most: mostShift });
    const registry = createTargetRegistry({ timer, changed: options.targetChanged });
    const reach = createReach({ self, regions: () => bounds().regions, members });
    const { roundTripMs, isUnattended } = reach;
    const spillover = createSpillover({
        timer,
        self: { entry: options.name, dataCentre: self.dataCentre },
        ownLoad: offered.slots,
        loadAgeMs: offered.ageMs,
        pressure: pressure.of,
        capacity: (service, dataCentre) => options.isEvacuated(dataCentre) ? 0 : slotsIn(registry, service, dataCentre),
        dataCentres: registry.dataCentres,
        ownEntries: () => members.countIn(self.dataCentre),
        isOwnRegion: reach.isOwnRegion,
    });
    const farObjects = createFarObjects({ timer, planned: spillover.farShare, most: mostShift });
    const coldShareOf = (target: Target): number => {
        const { dataCentre, service } = target.record;
        const bound = { perSecond: options.service(service)?.coldPerSecond, ...bounds().cold };
        if (dataCentre === self.dataCentre) {
            return coldShare(bound, members.countIn(dataCentre));
        }
        return bound.perSecond === undefined
            ? Infinity
            : isUnattended(dataCentre) && reach.isFirstOfRegion()
            ? coldShare(bound, 2)
            : 0;
    };
    const health = createTargetHealth({
        timer,
        random,
        registry,
        check: options.check,
        changed: options.targetJudged,
        diedUnder: options.diedUnder,
        recovered: () => steerer.dispatch(),
    });
    const placement = createPlacement<Answer>({
        timer,
        random,
        self,
        registry,
        spillover,
        shift,
        works,
        objectHomes,
        farObjects,
        regionOf: reach.regionOf,
        isEvacuated: options.isEvacuated,
        isUnattended,
        coldShare: coldShareOf,
        roundTripMs,
        farRoundTripMs: roundTrips.far,
        inFlight: (service, dataCentre) => steerer.inFlightAt(service, dataCentre),
        prices: bounds().prices,
        stayMs: offered.workMs,
    });
    const steerer: Steerer<Answer> = createSteerer<Answer>({
        timer,
        random,
        routes: options.routes,
        turns,
        placement,
        shift,
        works,
        objectHomes,
        offered,
        pressure,
        allowance: createRetryAllowance({
            timer,
            bound: () => bounds().repeats,
            windowMs: bounds().repeats.windowMs,
            entries: members.sharing,
        }),
        poison,
        health,
        isOwnRegion: target => target.record.region === self.region,
        roundTripMs,
        send: options.send,
        cancel: options.cancel,
        events: options.events,
    });
    return { steerer, registry, health, reach, turns, works, objectHomes, farObjects, spillover, offered, pressure };
}

/** Slots of a service's targets that are not leaving. */
function slotsIn(registry: TargetRegistry, service: ServiceId, dataCentre: DataCentreId): number {
    return registry.inDataCentre(service, dataCentre).reduce(
        (sum, target) => sum + (target.isSuspect ? 0 : target.record.slots),
        0,
    );
}
