/**
 * Slots of other data centres that an entry may use. Every entry broadcasts the load that its callers offer; from these
 * loads and the known slots each entry computes the same plan: all data centres serve the same fraction of their load,
 * and those with spare slots lend them to those with too few, in proportion to need. This handles load that peaks where
 * slots are scarce, and a data centre that permanently has too few slots for its callers.
 */
import type { DataCentreId, RegionId, ServiceId } from "../ids.js";
import type { Timer } from "../time/timer.js";
import type { FractionsByRegion } from "./regionFractions.js";

/** Load that an entry's callers offer for a service. */
export interface ServiceLoad {
    readonly service: ServiceId;
    /** Slots that serving all of the load would keep busy. */
    readonly slots: number;
    /** Fractions of the load that the entry's region serves in other regions; absent in older versions. */
    readonly remoteFractions?: FractionsByRegion;
}

export interface Spillover {
    recordPeerLoads(dataCentre: DataCentreId, entry: string, loads: readonly ServiceLoad[]): void;
    /**
     * Slots that this entry may fill in another data centre; `undefined` if no load of that data centre was received
     * recently.
     */
    slotAllowance(service: ServiceId, dataCentre: DataCentreId): number | undefined;
    /** Fractions of the load of this entry's region that the plan serves in other regions. All entries of a region plan the same. */
    plannedFractions(service: ServiceId): FractionsByRegion;
    /** Part of this entry's load that the slots of all data centres suffice for, in slots. */
    servedLoadSlots(service: ServiceId): number;
    /** Whether the plan rests on reported loads; otherwise on the assumption that all data centres have the same load. */
    areLoadsKnown(service: ServiceId): boolean;
    /** Summary of a service's slot allowances, for logs. */
    describe(service: ServiceId): string;
}

export interface SpilloverOptions {
    readonly timer: Timer;
    readonly self: { readonly entry: string; readonly dataCentre: DataCentreId; };
    /** Load that this entry's callers offer, in slots. */
    readonly ownLoadSlots: (service: ServiceId) => number;
    /** Time since its callers began to offer load for the service, in milliseconds. */
    readonly loadAgeMs: (service: ServiceId) => number;
    /** Slot pressure at this entry, from 0 to 1. */
    readonly pressure: (service: ServiceId) => number;
    /** Usable slots of the service's targets in a data centre. */
    readonly availableSlots: (service: ServiceId, dataCentre: DataCentreId) => number;
    readonly dataCentres: (service: ServiceId) => Iterable<DataCentreId>;
    /** Entries in the local data centre, including this one. */
    readonly ownEntryCount: () => number;
    /** Region of a data centre, if it is known. */
    readonly regionOf: (dataCentre: DataCentreId) => RegionId | undefined;
}

const loadRetentionMs = 3_000;
const planCacheMs = 200;
/**
 * Loads are broadcast once a second: until the local load is this old, loads of other entries are not known reliably.
 */
const minOwnLoadAgeMs = 2_000;
/**
 * Extra slots wanted in other data centres at full slot pressure, for times when local targets are full although their
 * slots suffice on average.
 */
const extraSlotsAtFullPressure = 2;

/** Load that an entry reported, and its data centre. */
export interface EntryLoad {
    readonly entry: string;
    readonly dataCentre: DataCentreId;
    readonly slots: number;
    /** Slots wanted in other data centres in addition to the load. */
    readonly extraSlots: number;
}

interface Plan {
    readonly createdAt: number;
    readonly allowances: ReadonlyMap<DataCentreId, number>;
    readonly fractions: FractionsByRegion;
    /** Fraction of the total load that the slots can serve. */
    readonly servedFraction: number;
}

export function createSpillover(options: SpilloverOptions): Spillover {
    const { timer, self } = options;
    const peerLoads = new Map<string, { readonly load: EntryLoad; readonly service: ServiceId; readonly receivedAt: number; }>();
    const plans = new Map<ServiceId, Plan>();
    const ownRegion = (): RegionId | undefined => options.regionOf(self.dataCentre);
    const isOwnRegion = (dataCentre: DataCentreId): boolean =>
        dataCentre === self.dataCentre || options.regionOf(dataCentre) === ownRegion();

    const currentLoads = (service: ServiceId): EntryLoad[] => {
        const loads: EntryLoad[] = [{
            ...self,
            slots: options.ownLoadSlots(service),
            extraSlots: extraSlotsAtFullPressure * options.pressure(service),
        }];
        for (const peerLoad of peerLoads.values()) {
            if (peerLoad.service === service && timer.now() - peerLoad.receivedAt < loadRetentionMs) {
                loads.push(peerLoad.load);
            }
        }
        return loads;
    };
    const areLoadsKnown = (service: ServiceId): boolean => options.loadAgeMs(service) >= minOwnLoadAgeMs;
    const computePlan = (service: ServiceId): Plan => {
        // The local data centre counts even if it has no targets of the service.
        const slots = new Map<DataCentreId, number>([[self.dataCentre, 0]]);
        for (const dataCentre of options.dataCentres(service)) {
            slots.set(dataCentre, options.availableSlots(service, dataCentre));
        }
        const loads = currentLoads(service);
        const isLoadKnown = areLoadsKnown(service);
        const allowances = isLoadKnown
            ? computeAllowances(self.entry, loads, slots)
            : initialAllowances(self.dataCentre, options.ownEntryCount(), slots);
        return {
            createdAt: timer.now(),
            allowances,
            fractions: divideByRegion(
                isLoadKnown ? shortfallFractionOf(isOwnRegion, loads, slots) : initialShortfallFraction(isOwnRegion, slots),
                isLoadKnown ? spareSlots(loads, slots) : initialSpareSlots(slots),
                slots,
            ),
            servedFraction: servedFraction(loads, slots),
        };
    };
    /** Divides a fraction of the load over the other regions that have slots to spare, in proportion to all of their slots. */
    const divideByRegion = (
        fraction: number,
        spare: ReadonlyMap<DataCentreId, number>,
        slots: ReadonlyMap<DataCentreId, number>,
    ): FractionsByRegion => {
        const slotsByRegion = new Map<RegionId, number>();
        let sum = 0;
        for (const [dataCentre, count] of slots) {
            const region = options.regionOf(dataCentre);
            if (region !== undefined && region !== ownRegion() && (spare.get(dataCentre) ?? 0) > 0) {
                slotsByRegion.set(region, (slotsByRegion.get(region) ?? 0) + count);
                sum += count;
            }
        }
        return new Map([...slotsByRegion].map(([region, count]) => [region, sum === 0 ? 0 : (fraction * count) / sum]));
    };
    const planOf = (service: ServiceId): Plan => {
        const known = plans.get(service);
        if (known !== undefined && timer.now() - known.createdAt < planCacheMs) {
            return known;
        }
        const plan = computePlan(service);
        plans.set(service, plan);
        return plan;
    };
    return {
        recordPeerLoads: (dataCentre, entry, loads) => {
            for (const { service, slots } of loads) {
                peerLoads.set(`${service} ${entry}`, {
                    service,
                    load: { entry, dataCentre, slots, extraSlots: 0 },
                    receivedAt: timer.now(),
                });
            }
        },
        slotAllowance: (service, dataCentre) => planOf(service).allowances.get(dataCentre),
        plannedFractions: service => planOf(service).fractions,
        servedLoadSlots: service => planOf(service).servedFraction * options.ownLoadSlots(service),
        areLoadsKnown,
        describe: service =>
            [...planOf(service).allowances]
                .filter(([, slots]) => slots >= 1)
                .map(([dataCentre, slots]) => `${dataCentre} ${slots.toFixed(1)}`)
                .join(", "),
    };
}

/** Fraction of the total load that the slots can serve. */
function servedFraction(loads: readonly EntryLoad[], slots: ReadonlyMap<DataCentreId, number>): number {
    const load = loads.reduce((sum, entry) => sum + entry.slots, 0);
    const totalSlots = [...slots.values()].reduce((sum, count) => sum + count, 0);
    return load === 0 ? 1 : Math.min(1, totalSlots / load);
}

type DataCentreTest = (dataCentre: DataCentreId) => boolean;

/** Fraction of the load that a region should serve and has no slots for, on average. */
function shortfallFractionOf(
    isOwnRegion: DataCentreTest,
    loads: readonly EntryLoad[],
    slots: ReadonlyMap<DataCentreId, number>,
): number {
    const offered = loads.filter(load => isOwnRegion(load.dataCentre)).reduce((sum, load) => sum + load.slots, 0);
    const servedLoad = servedFraction(loads, slots) * offered;
    return servedLoad === 0 ? 0 : Math.max(0, 1 - slotSum(slots, isOwnRegion) / servedLoad);
}

/** The same before the loads are known: as if all data centres had the same load. */
function initialShortfallFraction(isOwnRegion: DataCentreTest, slots: ReadonlyMap<DataCentreId, number>): number {
    const mean = meanSlots(slots);
    const ownCount = [...slots.keys()].filter(isOwnRegion).length;
    return mean === 0 ? 0 : Math.max(0, 1 - slotSum(slots, isOwnRegion) / (ownCount * mean));
}

const slotSum = (slots: ReadonlyMap<DataCentreId, number>, isIncluded: DataCentreTest): number =>
    [...slots].reduce((sum, [dataCentre, count]) => sum + (isIncluded(dataCentre) ? count : 0), 0);

const meanSlots = (slots: ReadonlyMap<DataCentreId, number>): number =>
    [...slots.values()].reduce((sum, count) => sum + count, 0) / Math.max(1, slots.size);

/**
 * Slots that an entry may fill in each other data centre that has an entry, such that all data centres serve the same
 * fraction of their load.
 */
export function computeAllowances(
    entry: string,
    loads: readonly EntryLoad[],
    slots: ReadonlyMap<DataCentreId, number>,
): ReadonlyMap<DataCentreId, number> {
    const loadIn = sumByDataCentre(loads);
    const served = servedFraction(loads, slots);
    const shortfallOf = (load: EntryLoad): number => {
        const offered = loadIn.get(load.dataCentre)!;
        const ownSlots = offered === 0 ? 0 : (slots.get(load.dataCentre) ?? 0) * (load.slots / offered);
        return Math.max(0, served * load.slots - ownSlots) + load.extraSlots;
    };
    const self = loads.find(load => load.entry === entry)!;
    const totalShortfall = loads.reduce((sum, load) => sum + shortfallOf(load), 0);
    const ownPart = totalShortfall === 0 ? 0 : shortfallOf(self) / totalShortfall;
    const others = [...spareSlots(loads, slots)].filter(([dataCentre]) => dataCentre !== self.dataCentre);
    return new Map(others.map(([dataCentre, spare]) => [dataCentre, ownPart * spare]));
}

function sumByDataCentre(loads: readonly EntryLoad[]): ReadonlyMap<DataCentreId, number> {
    const sums = new Map<DataCentreId, number>();
    for (const load of loads) {
        sums.set(load.dataCentre, (sums.get(load.dataCentre) ?? 0) + load.slots);
    }
    return sums;
}

/** Slots that each data centre with an entry does not need for its own load. */
function spareSlots(loads: readonly EntryLoad[], slots: ReadonlyMap<DataCentreId, number>): ReadonlyMap<DataCentreId, number> {
    const served = servedFraction(loads, slots);
    return new Map(
        [...sumByDataCentre(loads)].map(([dataCentre, offered]) =>
            [dataCentre, Math.max(0, (slots.get(dataCentre) ?? 0) - served * offered)] as const
        ),
    );
}

/** The same before the loads are known. */
function initialSpareSlots(slots: ReadonlyMap<DataCentreId, number>): ReadonlyMap<DataCentreId, number> {
    const mean = meanSlots(slots);
    return new Map([...slots].map(([dataCentre, count]) => [dataCentre, Math.max(0, count - mean)]));
}

/**
 * Slots that an entry may fill in other data centres before their loads are known: as if all data centres had the same
 * load.
 */
export function initialAllowances(
    own: DataCentreId,
    ownEntries: number,
    slots: ReadonlyMap<DataCentreId, number>,
): ReadonlyMap<DataCentreId, number> {
    const counts = [...slots.values()];
    const mean = meanSlots(slots);
    const totalShortfall = counts.reduce((sum, count) => sum + Math.max(0, mean - count), 0);
    const shortfall = Math.max(0, mean - (slots.get(own) ?? 0));
    const ownPart = totalShortfall === 0 ? 0 : shortfall / totalShortfall / Math.max(1, ownEntries);
    const others = [...initialSpareSlots(slots)].filter(([dataCentre]) => dataCentre !== own);
    return new Map(others.map(([dataCentre, spare]) => [dataCentre, ownPart * spare]));
}
