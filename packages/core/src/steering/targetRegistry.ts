/** The known targets, from discovery or from the document. A restarted target counts as a new target. */
import type { DataCentreId, ServiceId, TargetId, TargetIncarnationId } from "../ids.js";
import type { Timer } from "../time/timer.js";
import { type CacheCapacity, createCacheCapacity } from "./cacheCapacity.js";
import { createLeavingTargets } from "./leavingTargets.js";
import { createObjectHolders } from "./objectHolders.js";
import { createTarget, type Target } from "./target.js";
import { targetIncarnationOf, targetOfIncarnation, type TargetRecord } from "./targetRecord.js";

export interface TargetRegistry {
    /** Adds or updates a target. */
    put(record: TargetRecord): void;
    remove(id: TargetId): void;
    /** Makes these records the complete set; other targets are removed. */
    replaceAll(records: readonly TargetRecord[]): void;
    /** Records that the incarnation has said that it leaves. It gets nothing more, whatever its record says. */
    markLeaving(incarnation: TargetIncarnationId): void;
    /** The same if a sender that is no known member said so. */
    markLeavingUnconfirmed(incarnation: TargetIncarnationId): void;
    /** Whether the service has targets and all of them have said that they leave. */
    isServiceLeaving(service: ServiceId): boolean;
    /** Incarnations that this entry has recently learned to be leaving, for the other entries. */
    recentlyLeaving(): TargetIncarnationId[];
    /** Takes a target out of use until its record changes, because it no longer has its address. */
    retire(target: Target): void;
    find(id: TargetId): Target | undefined;
    /** Finds a target by the hash of its id. */
    findByHash(hashSeed: number): Target | undefined;
    /** Targets that this entry or its peers sent the object to recently; they may have evicted it since. */
    holdersOf(object: number): Iterable<Target>;
    /** Targets of a service in a data centre that are not draining. */
    targetsIn(service: ServiceId, dataCentre: DataCentreId): readonly Target[];
    dataCentresOf(service: ServiceId): Iterable<DataCentreId>;
    all(): Iterable<Target>;
    count(): number;
}

export interface TargetRegistryOptions {
    readonly timer: Timer;
    /** Called when a target is added, changed or removed. */
    readonly onChanged: (target: Target, change: "added" | "draining" | "changed" | "removed") => void;
}

/** Targets announced within this time of the first one count as present at startup. */
const startupWindowMs = 3_000;

export function createTargetRegistry(options: TargetRegistryOptions): TargetRegistry {
    const { timer, onChanged } = options;
    const targets = new Map<TargetId, Target>();
    const targetsByHash = new Map<number, Target>();
    const leavingTargets = createLeavingTargets(timer);
    /** Ends of the pauses that removed targets asked for; their records may come back. */
    const keptPauses = new Map<TargetIncarnationId, number>();
    const capacities = new Map<ServiceId, CacheCapacity>();
    /** End of the startup window: targets that appear later have newly joined. */
    let settledAt: number | undefined;
    const holders = createObjectHolders();
    const services = new Map<ServiceId, Map<DataCentreId, Target[]>>();
    /** Rebuilt when it is next read, since records often change many at a time. */
    let isIndexStale = false;

    const capacityOf = (service: ServiceId): CacheCapacity => {
        const known = capacities.get(service) ?? createCacheCapacity();
        capacities.set(service, known);
        return known;
    };
    const index = (): ReadonlyMap<ServiceId, ReadonlyMap<DataCentreId, readonly Target[]>> => {
        if (isIndexStale) {
            isIndexStale = false;
            rebuildIndex();
        }
        return services;
    };
    const rebuildIndex = (): void => {
        services.clear();
        for (const target of targets.values()) {
            if (!target.record.isDraining && !target.isLeaving && !target.isRemoved) {
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
    const keepPause = ({ record, pausedUntil }: Target): void => {
        keptPauses.forEach((until, incarnation) => until <= timer.now() && keptPauses.delete(incarnation));
        if (pausedUntil > timer.now()) {
            keptPauses.set(targetIncarnationOf(record), pausedUntil);
        }
    };
    const removeTarget = (id: TargetId): void => {
        const target = targets.get(id);
        if (target !== undefined) {
            target.isRemoved = true;
            keepPause(target);
            targets.delete(id);
            targetsByHash.delete(target.hashSeed);
            target.cache.clear();
            isIndexStale = true;
            onChanged(target, "removed");
        }
    };
    const upsert = (record: TargetRecord): void => {
        const known = targets.get(record.id);
        if (known !== undefined && record.startedAt < known.record.startedAt) {
            return;
        }
        isIndexStale = true;
        if (known === undefined || known.record.startedAt !== record.startedAt || known.record.address !== record.address) {
            removeTarget(record.id);
            const target = createTarget(
                record,
                timer,
                settledAt !== undefined && timer.now() > settledAt,
                capacityOf(record.service),
                holders,
            );
            target.isLeaving = leavingTargets.has(targetIncarnationOf(record));
            target.pausedUntil = keptPauses.get(targetIncarnationOf(record)) ?? -Infinity;
            targets.set(record.id, target);
            targetsByHash.set(target.hashSeed, target);
            settledAt ??= timer.now() + startupWindowMs;
            onChanged(target, "added");
            return;
        }
        const change = record.isDraining && !known.record.isDraining ? "draining" : "changed";
        const target = Object.assign(known, { record, isRemoved: false });
        target.coldUntil = Math.max(timer.now() + record.coldMs, record.coldMs > 0 ? target.coldUntil : 0);
        onChanged(target, change);
    };
    const applyLeaving = (incarnation: TargetIncarnationId): void => {
        const target = targets.get(targetOfIncarnation(incarnation));
        if (target !== undefined && targetIncarnationOf(target.record) === incarnation) {
            target.isLeaving = true;
            isIndexStale = true;
            onChanged(target, "draining");
        }
    };
    return {
        put: upsert,
        remove: removeTarget,
        replaceAll: records => {
            const ids = new Set(records.map(record => record.id));
            [...targets.keys()].filter(id => !ids.has(id)).forEach(removeTarget);
            records.forEach(upsert);
        },
        markLeaving: incarnation => {
            if (leavingTargets.add(incarnation)) {
                applyLeaving(incarnation);
            }
        },
        markLeavingUnconfirmed: incarnation => {
            if (leavingTargets.addUnconfirmed(incarnation)) {
                applyLeaving(incarnation);
            }
        },
        isServiceLeaving: service => {
            const known = [...targets.values()].filter(({ record, isRemoved }) => record.service === service && !isRemoved);
            return known.length > 0 && known.every(({ isLeaving }) => isLeaving);
        },
        recentlyLeaving: leavingTargets.recent,
        retire: target => {
            target.isRemoved = true;
            isIndexStale = true;
        },
        find: id => targets.get(id),
        findByHash: hashSeed => targetsByHash.get(hashSeed),
        holdersOf: holders.holdersOf,
        targetsIn: (service, dataCentre) => index().get(service)?.get(dataCentre) ?? [],
        dataCentresOf: service => index().get(service)?.keys() ?? [],
        all: () => targets.values(),
        count: () => targets.size,
    };
}
