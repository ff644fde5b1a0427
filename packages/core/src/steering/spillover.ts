/**
 * How many slots of other data centres an entry may use. Every entry tells the load that its callers offer; from that
 * and the slots that all know of, each works out the same plan: all data centres serve the same part of their load, and
 * those with slots to spare give them to those that lack some, by need. Answers load whose peak is elsewhere than the
 * slots, and a data centre that has too few slots for its callers at all times.
 */
import type { DataCentreId, ServiceId } from "../ids.js";
import type { Timer } from "../time/timer.js";

/** Load that an entry's callers offer for a service. */
export interface ServiceLoad {
    readonly service: ServiceId;
    /** Slots that serving all of it would keep busy. */
    readonly slots: number;
}

export interface Spillover {
    recordPeerLoads(dataCentre: DataCentreId, entry: string, loads: readonly ServiceLoad[]): void;
    /** Slots that this entry may fill in another data centre; `undefined` when nothing was heard of it lately. */
    slotAllowance(service: ServiceId, dataCentre: DataCentreId): number | undefined;
    /** Share of this entry's load that the plan serves in other regions. */
    remoteFraction(service: ServiceId): number;
    /** The allowances of a service in short, for logs. */
    describe(service: ServiceId): string;
}

export interface SpilloverOptions {
    readonly timer: Timer;
    readonly self: { readonly entry: string; readonly dataCentre: DataCentreId; };
    /** Load that this entry's callers offer, in slots. */
    readonly ownLoadSlots: (service: ServiceId) => number;
    /** How long its callers have been offering load for the service, in milliseconds. */
    readonly loadAgeMs: (service: ServiceId) => number;
    /** How hard this entry's targets are pressed, from 0 to 1. */
    readonly pressure: (service: ServiceId) => number;
    /** Slots of the service's targets that may be used there. */
    readonly availableSlots: (service: ServiceId, dataCentre: DataCentreId) => number;
    readonly dataCentres: (service: ServiceId) => Iterable<DataCentreId>;
    /** Entries of the own data centre, this one included. */
    readonly ownEntryCount: () => number;
    readonly isOwnRegion: (dataCentre: DataCentreId) => boolean;
}

const loadRetentionMs = 3_000;
const planLifetimeMs = 200;
/** Loads are told once a second: before this age of the own load, those of others say nothing yet. */
const minOwnLoadAgeMs = 2_000;
/** Slots wanted elsewhere for moments at which the own targets are full though they are enough on average. */
const extraSlotsAtFullPressure = 2;

/** What one entry told, and where it stands. */
export interface EntryLoad {
    readonly entry: string;
    readonly dataCentre: DataCentreId;
    readonly slots: number;
    /** Slots that it would like elsewhere besides. */
    readonly extraSlots: number;
}

interface Plan {
    readonly madeAt: number;
    readonly allowances: ReadonlyMap<DataCentreId, number>;
    /** Share of this entry's load that its own data centre has no slots for. */
    readonly lackShare: number;
}

export function createSpillover(options: SpilloverOptions): Spillover {
    const { timer, self } = options;
    const heardLoads = new Map<string, { readonly load: EntryLoad; readonly service: ServiceId; readonly heardAt: number; }>();
    const plans = new Map<ServiceId, Plan>();

    const loadsOf = (service: ServiceId): EntryLoad[] => {
        const loads: EntryLoad[] = [{
            ...self,
            slots: options.ownLoadSlots(service),
            extraSlots: extraSlotsAtFullPressure * options.pressure(service),
        }];
        for (const heard of heardLoads.values()) {
            if (heard.service === service && timer.now() - heard.heardAt < loadRetentionMs) {
                loads.push(heard.load);
            }
        }
        return loads;
    };
    const makePlan = (service: ServiceId): Plan => {
        // The own data centre counts, though it may have no targets of the service.
        const slots = new Map<DataCentreId, number>([[self.dataCentre, 0]]);
        for (const dataCentre of options.dataCentres(service)) {
            slots.set(dataCentre, options.availableSlots(service, dataCentre));
        }
        const loads = loadsOf(service);
        if (options.loadAgeMs(service) < minOwnLoadAgeMs) {
            const allowances = initialAllowances(self.dataCentre, options.ownEntryCount(), slots);
            return { madeAt: timer.now(), allowances, lackShare: firstLackShare(self.dataCentre, slots) };
        }
        const allowances = computeAllowances(self.entry, loads, slots);
        return { madeAt: timer.now(), allowances, lackShare: lackShareOf(self.dataCentre, loads, slots) };
    };
    const planOf = (service: ServiceId): Plan => {
        const known = plans.get(service);
        if (known !== undefined && timer.now() - known.madeAt < planLifetimeMs) {
            return known;
        }
        const plan = makePlan(service);
        plans.set(service, plan);
        return plan;
    };
    return {
        recordPeerLoads: (dataCentre, entry, loads) => {
            for (const { service, slots } of loads) {
                heardLoads.set(`${service} ${entry}`, {
                    service,
                    load: { entry, dataCentre, slots, extraSlots: 0 },
                    heardAt: timer.now(),
                });
            }
        },
        slotAllowance: (service, dataCentre) => planOf(service).allowances.get(dataCentre),
        remoteFraction: service => {
            let far = 0;
            let all = 0;
            const { allowances, lackShare } = planOf(service);
            for (const [dataCentre, slots] of allowances) {
                all += slots;
                far += options.isOwnRegion(dataCentre) ? 0 : slots;
            }
            return all === 0 ? 0 : lackShare * (far / all);
        },
        describe: service =>
            [...planOf(service).allowances]
                .filter(([, slots]) => slots >= 1)
                .map(([dataCentre, slots]) => `${dataCentre} ${slots.toFixed(1)}`)
                .join(", "),
    };
}

/** Part of all load that the slots can serve. */
function servedShare(loads: readonly EntryLoad[], slots: ReadonlyMap<DataCentreId, number>): number {
    const load = loads.reduce((sum, entry) => sum + entry.slots, 0);
    const all = [...slots.values()].reduce((sum, count) => sum + count, 0);
    return load === 0 ? 1 : Math.min(1, all / load);
}

/** Share of the load that a data centre is to serve and has no slots for, on average. */
function lackShareOf(own: DataCentreId, loads: readonly EntryLoad[], slots: ReadonlyMap<DataCentreId, number>): number {
    const offered = loads.filter(load => load.dataCentre === own).reduce((sum, load) => sum + load.slots, 0);
    const wanted = servedShare(loads, slots) * offered;
    return wanted === 0 ? 0 : Math.max(0, 1 - (slots.get(own) ?? 0) / wanted);
}

function firstLackShare(own: DataCentreId, slots: ReadonlyMap<DataCentreId, number>): number {
    const mean = meanOf(slots);
    return mean === 0 ? 0 : Math.max(0, 1 - (slots.get(own) ?? 0) / mean);
}

const meanOf = (slots: ReadonlyMap<DataCentreId, number>): number =>
    [...slots.values()].reduce((sum, count) => sum + count, 0) / Math.max(1, slots.size);

/** Slots that an entry may fill in each other data centre that an entry stands in, all serving the same part of their load. */
export function computeAllowances(
    entry: string,
    loads: readonly EntryLoad[],
    slots: ReadonlyMap<DataCentreId, number>,
): ReadonlyMap<DataCentreId, number> {
    const loadIn = new Map<DataCentreId, number>();
    for (const load of loads) {
        loadIn.set(load.dataCentre, (loadIn.get(load.dataCentre) ?? 0) + load.slots);
    }
    const served = servedShare(loads, slots);
    const lackOf = (load: EntryLoad): number => {
        const offered = loadIn.get(load.dataCentre)!;
        const ownSlots = offered === 0 ? 0 : (slots.get(load.dataCentre) ?? 0) * (load.slots / offered);
        return Math.max(0, served * load.slots - ownSlots) + load.extraSlots;
    };
    const self = loads.find(load => load.entry === entry)!;
    const allLack = loads.reduce((sum, load) => sum + lackOf(load), 0);
    const part = allLack === 0 ? 0 : lackOf(self) / allLack;
    const allowances = new Map<DataCentreId, number>();
    for (const [dataCentre, offered] of loadIn) {
        if (dataCentre !== self.dataCentre) {
            allowances.set(dataCentre, part * Math.max(0, (slots.get(dataCentre) ?? 0) - served * offered));
        }
    }
    return allowances;
}

/** Slots that an entry may fill elsewhere before the others told theirs: as if all data centres offered the same. */
export function initialAllowances(
    own: DataCentreId,
    ownEntries: number,
    slots: ReadonlyMap<DataCentreId, number>,
): ReadonlyMap<DataCentreId, number> {
    const counts = [...slots.values()];
    const mean = meanOf(slots);
    const allLack = counts.reduce((sum, count) => sum + Math.max(0, mean - count), 0);
    const lack = Math.max(0, mean - (slots.get(own) ?? 0));
    const part = allLack === 0 ? 0 : lack / allLack / Math.max(1, ownEntries);
    const others = [...slots].filter(([dataCentre]) => dataCentre !== own);
    return new Map(others.map(([dataCentre, count]) => [dataCentre, part * Math.max(0, count - mean)]));
}
