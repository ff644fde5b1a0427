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
    heard(dataCentre: DataCentreId, entry: string, loads: readonly ServiceLoad[]): void;
    /** Slots that this entry may fill in another data centre; `undefined` when nothing was heard of it lately. */
    allowance(service: ServiceId, dataCentre: DataCentreId): number | undefined;
    /** The allowances of a service in short, for logs. */
    describe(service: ServiceId): string;
}

export interface SpilloverOptions {
    readonly timer: Timer;
    readonly self: { readonly entry: string; readonly dataCentre: DataCentreId; };
    /** Load that this entry's callers offer, in slots. */
    readonly ownLoad: (service: ServiceId) => number;
    /** How hard this entry's targets are pressed, from 0 to 1. */
    readonly pressure: (service: ServiceId) => number;
    /** Slots of the service's targets that may be used there. */
    readonly capacity: (service: ServiceId, dataCentre: DataCentreId) => number;
    readonly dataCentres: (service: ServiceId) => Iterable<DataCentreId>;
}

const newsLifetimeMs = 3_000;
const planLifetimeMs = 200;
/** Slots wanted elsewhere for moments at which the own targets are full though they are enough on average. */
const pressedNeed = 2;

/** What one entry told, and where it stands. */
export interface EntryLoad {
    readonly entry: string;
    readonly dataCentre: DataCentreId;
    readonly slots: number;
    /** Slots that it would like elsewhere besides. */
    readonly extra: number;
}

interface Plan {
    readonly madeAt: number;
    readonly allowances: ReadonlyMap<DataCentreId, number>;
}

export function createSpillover(options: SpilloverOptions): Spillover {
    const { timer, self } = options;
    const heardLoads = new Map<string, { readonly load: EntryLoad; readonly service: ServiceId; readonly heardAt: number; }>();
    const plans = new Map<ServiceId, Plan>();

    const loadsOf = (service: ServiceId): EntryLoad[] => {
        const loads: EntryLoad[] = [{
            ...self,
            slots: options.ownLoad(service),
            extra: pressedNeed * options.pressure(service),
        }];
        for (const heard of heardLoads.values()) {
            if (heard.service === service && timer.now() - heard.heardAt < newsLifetimeMs) {
                loads.push(heard.load);
            }
        }
        return loads;
    };
    const makePlan = (service: ServiceId): Plan => {
        const slots = new Map<DataCentreId, number>();
        for (const dataCentre of options.dataCentres(service)) {
            slots.set(dataCentre, options.capacity(service, dataCentre));
        }
        return { madeAt: timer.now(), allowances: allowancesOf(self.entry, loadsOf(service), slots) };
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
        heard: (dataCentre, entry, loads) => {
            for (const { service, slots } of loads) {
                heardLoads.set(`${service} ${entry}`, {
                    service,
                    load: { entry, dataCentre, slots, extra: 0 },
                    heardAt: timer.now(),
                });
            }
        },
        allowance: (service, dataCentre) => planOf(service).allowances.get(dataCentre),
        describe: service =>
            [...planOf(service).allowances]
                .filter(([, slots]) => slots >= 1)
                .map(([dataCentre, slots]) => `${dataCentre} ${slots.toFixed(1)}`)
                .join(", "),
    };
}

/** Slots that an entry may fill in each other data centre that an entry stands in, all serving the same part of their load. */
export function allowancesOf(
    entry: string,
    loads: readonly EntryLoad[],
    slots: ReadonlyMap<DataCentreId, number>,
): ReadonlyMap<DataCentreId, number> {
    const loadIn = new Map<DataCentreId, number>();
    let allLoad = 0;
    for (const load of loads) {
        loadIn.set(load.dataCentre, (loadIn.get(load.dataCentre) ?? 0) + load.slots);
        allLoad += load.slots;
    }
    const allSlots = [...slots.values()].reduce((sum, count) => sum + count, 0);
    const served = allLoad === 0 ? 1 : Math.min(1, allSlots / allLoad);
    const lackOf = (load: EntryLoad): number => {
        const offered = loadIn.get(load.dataCentre)!;
        const ownSlots = offered === 0 ? 0 : (slots.get(load.dataCentre) ?? 0) * (load.slots / offered);
        return Math.max(0, served * load.slots - ownSlots) + load.extra;
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
