/** The targets that exist, from discovery or from the document. A new run of a target is a new target. */
import type { DataCentreId, ServiceId, TargetId } from "../ids.js";
import type { Timer } from "../time/timer.js";
import { createTarget, type Target } from "./target.js";
import type { TargetRecord } from "./targetRecord.js";

export interface TargetRegistry {
    /** A record was written or changed. */
    put(record: TargetRecord): void;
    remove(id: TargetId): void;
    /** All records that exist now; others are removed. */
    replaceAll(records: readonly TargetRecord[]): void;
    /** Takes a target out of use until its record changes: it no longer lives at its address. */
    retire(target: Target): void;
    find(id: TargetId): Target | undefined;
    /** Targets of a service in a data centre that are not leaving. */
    targetsIn(service: ServiceId, dataCentre: DataCentreId): readonly Target[];
    dataCentresOf(service: ServiceId): Iterable<DataCentreId>;
    all(): Iterable<Target>;
}

export interface TargetRegistryOptions {
    readonly timer: Timer;
    /** A target appeared, changed or went. */
    readonly onChanged: (target: Target, change: "added" | "draining" | "changed" | "removed") => void;
}

/** Targets that are announced within this time of the first were there before. */
const startupWindowMs = 3_000;

export function createTargetRegistry(options: TargetRegistryOptions): TargetRegistry {
    const { timer, onChanged: changed } = options;
    const targets = new Map<TargetId, Target>();
    /** Targets that appear later than this joined; those before it were there when the entry started. */
    let settledAt: number | undefined;
    const services = new Map<ServiceId, Map<DataCentreId, Target[]>>();

    const index = (): void => {
        services.clear();
        for (const target of targets.values()) {
            if (!target.record.isDraining && !target.isRemoved) {
                const { service, dataCentre } = target.record;
                let centres = services.get(service);
                if (centres === undefined) {
                    centres = new Map();
                    services.set(service, centres);
                }
                const list = centres.get(dataCentre);
                if (list === undefined) {
                    centres.set(dataCentre, [target]);
                }
                else {
                    list.push(target);
                }
            }
        }
    };
    const drop = (id: TargetId): void => {
        const target = targets.get(id);
        if (target !== undefined) {
            target.isRemoved = true;
            targets.delete(id);
            changed(target, "removed");
        }
    };
    const putOne = (record: TargetRecord): void => {
        const known = targets.get(record.id);
        if (known !== undefined && record.startedAt < known.record.startedAt) {
            return;
        }
        if (known === undefined || known.record.startedAt !== record.startedAt || known.record.address !== record.address) {
            drop(record.id);
            const target = createTarget(record, timer, settledAt !== undefined && timer.now() > settledAt);
            targets.set(record.id, target);
            settledAt ??= timer.now() + startupWindowMs;
            changed(target, "added");
            return;
        }
        const change = record.isDraining && !known.record.isDraining ? "draining" : "changed";
        const target = Object.assign(known, { record, isGone: false });
        target.coldUntil = Math.max(timer.now() + record.coldMs, record.coldMs > 0 ? target.coldUntil : 0);
        changed(target, change);
    };
    return {
        put: record => {
            putOne(record);
            index();
        },
        remove: id => {
            drop(id);
            index();
        },
        replaceAll: records => {
            const ids = new Set(records.map(record => record.id));
            [...targets.keys()].filter(id => !ids.has(id)).forEach(drop);
            records.forEach(putOne);
            index();
        },
        retire: target => {
            target.isRemoved = true;
            index();
        },
        find: id => targets.get(id),
        targetsIn: (service, dataCentre) => services.get(service)?.get(dataCentre) ?? [],
        dataCentresOf: service => services.get(service)?.keys() ?? [],
        all: () => targets.values(),
    };
}
