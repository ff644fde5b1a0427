/** Sums, at the relay of a data centre, the reported use of its instances and that of the other data centres. */
import type { DataCentreId } from "../ids.js";
import type { Timer } from "../time/timer.js";
import type { DataCentreReport, InstanceReport, KeyUse, TotalReport, TotalUse } from "./quotaReport.js";

export interface QuotaAggregatorOptions {
    readonly timer: Timer;
    /** Hash of this instance's id. */
    readonly self: number;
    readonly dataCentre: DataCentreId;
    readonly windowMs: () => number;
    /** Instances that may admit requests, this one included. */
    readonly instanceCount: () => number;
    /** What may be admitted in a window under the key; `undefined` if this instance doesn't know it. */
    readonly allowanceOf: (key: number) => number | undefined;
}

export interface QuotaAggregator {
    /** Records the report of an instance of this data centre, given by the hash of its id. */
    applyInstance(instance: number, report: InstanceReport): void;
    /** Records the report of another data centre, sent by the instance with this hash of its id. */
    applyDataCentre(relay: number, report: DataCentreReport): void;
    /** Whether other instances have recently sent their reports here. */
    hasReporters(): boolean;
    /** Returns the use of all data centres, for the instances of this one. */
    total(): TotalReport;
    /** Returns the report that is due to the other data centres; `undefined` if none is. */
    takeDataCentreReport(): DataCentreReport | undefined;
}

/** An instance whose last report is older than this is not in contact. */
export const contactTimeoutMs = 700;
/** The same for a data centre; shorter, as it may admit much before the others notice that it is cut off. */
const dataCentreTimeoutMs = 480;
/** Reports of instances and of data centres that are older than this are overdue. */
const maxInstanceReportAgeMs = 200;
const maxDataCentreReportAgeMs = 300;
/** A data centre may change its relay when its former relay was silent for this long. */
const relayChangeMs = 550;
/** Interval of reports to other data centres while no use changes that has to be passed on at once. */
const idleReportIntervalMs = 240;
/** Use that is far below the limit is passed on to other data centres this often. */
const slowReportIntervalMs = 1_000;
/** All counts are repeated to other data centres this often. */
const completeReportIntervalMs = 2_000;
/** Part of the allowance above which changes are passed on to other data centres at once. */
const fastReportFraction = 0.5;
/** Change, as part of the allowance, that is passed on to other data centres at once. */
const fastChangeFraction = 0.04;

/** An instance or another data centre, as of its last report. */
interface Source {
    readonly relay: number;
    readonly uses: Map<number, number>;
    /** Growth of `uses` per millisecond, as far as it grows. */
    readonly growth: ReadonlyMap<number, number>;
    readonly sequence: number;
    /** Instances in contact behind the source. */
    readonly instanceCount: number;
    readonly knownCount: number;
    readonly heardRelays: readonly number[];
    readonly receivedAt: number;
    /** Age at which the source counts as silent. */
    readonly contactTimeoutMs: number;
}

interface SentUse {
    readonly count: number;
    readonly sentAt: number;
}

const toMap = (uses: readonly KeyUse[]): Map<number, number> => new Map(uses.map(({ key, count }) => [key, count]));

export function createQuotaAggregator(options: QuotaAggregatorOptions): QuotaAggregator {
    const { timer, self } = options;
    const instances = new Map<number, Source>();
    const dataCentres = new Map<DataCentreId, Source>();
    /** Use that the successors of data centres' relays don't report, by relay. */
    const formerSources = new Map<number, Source>();
    const sent = new Map<number, SentUse>();
    let completeAt = -Infinity;
    let reportedAt = -Infinity;

    const ageMs = (source: Source): number => timer.now() - source.receivedAt;
    const isFresh = (source: Source): boolean => ageMs(source) < source.contactTimeoutMs;
    const removeExpired = <Id>(sources: Map<Id, Source>): void => {
        // Counts of a silent source stay until all that it may have admitted before has left the window.
        sources.forEach((source, id) => ageMs(source) > options.windowMs() && sources.delete(id));
    };
    const heardRelays = (): number[] => [...dataCentres.values()].filter(isFresh).map(({ relay }) => relay);
    /** Data centres that are all in contact with each other: links may fail in one direction, or between some of them only. */
    const connectedDataCentres = (): Set<Source> => {
        const fresh = [...dataCentres.values()].filter(isFresh);
        const relays = new Set([self, ...fresh.map(({ relay }) => relay)]);
        const isComplete = fresh.every(({ heardRelays: heard }) =>
            heard.length === relays.size - 1 && heard.every(relay => relays.has(relay))
        );
        return new Set(isComplete ? fresh : []);
    };
    /** While a report is overdue, its counts are assumed to grow as before, until the source counts as silent. */
    const addUses = (sums: Map<number, number>, source: Source, maxAgeMs: number): void => {
        const overdueMs = ageMs(source) < maxAgeMs ? 0 : Math.min(ageMs(source), source.contactTimeoutMs);
        source.uses.forEach((count, key) => {
            const growth = (source.growth.get(key) ?? 0) * overdueMs;
            sums.set(key, (sums.get(key) ?? 0) + Math.round(count + growth));
        });
    };
    /** A relay that has just started doesn't know what instances of its data centre admitted before they restarted too. */
    const keepFormerUse = (former: Source, uses: ReadonlyMap<number, number>): void => {
        const unknown = [...former.uses].map(([key, count]) => [key, Math.max(0, count - (uses.get(key) ?? 0))] as const);
        formerSources.set(former.relay, { ...former, uses: new Map(unknown), growth: new Map() });
    };
    const growthSince = (known: Source | undefined, uses: ReadonlyMap<number, number>): Map<number, number> => {
        const growth = new Map<number, number>();
        if (known !== undefined && isFresh(known) && ageMs(known) > 0) {
            uses.forEach((count, key) => {
                const change = count - (known.uses.get(key) ?? 0);
                if (change > 0) {
                    growth.set(key, change / ageMs(known));
                }
            });
        }
        return growth;
    };
    const liveInstanceCount = (): number =>
        [...instances.values()].reduce((sum, source) => sum + (isFresh(source) ? source.instanceCount : 0), 0);
    const isDue = ({ key, count }: KeyUse): boolean => {
        const previous = sent.get(key);
        if (previous?.count === count) {
            return false;
        }
        const allowance = options.allowanceOf(key) ?? 0;
        return count >= fastReportFraction * allowance
            || Math.abs(count - (previous?.count ?? 0)) >= fastChangeFraction * allowance
            || timer.now() - (previous?.sentAt ?? -Infinity) >= slowReportIntervalMs;
    };
    return {
        applyInstance: (instance, report) => {
            const known = instances.get(instance);
            if (known !== undefined && isFresh(known) && known.sequence >= report.sequence) {
                return;
            }
            const uses = toMap(report.uses);
            instances.set(instance, {
                relay: instance,
                uses,
                growth: growthSince(known, uses),
                sequence: report.sequence,
                instanceCount: report.hasContact ? 1 : 0,
                knownCount: 0,
                heardRelays: [],
                receivedAt: timer.now(),
                contactTimeoutMs,
            });
        },
        applyDataCentre: (relay, report) => {
            const { dataCentre, instanceCount } = report;
            const known = dataCentres.get(dataCentre);
            if (known !== undefined && known.relay !== relay && ageMs(known) < relayChangeMs) {
                return;
            }
            const isContinued = known?.relay === relay && isFresh(known);
            if (!isContinued) {
                // What the other relay has missed has to be repeated to it.
                completeAt = -Infinity;
            }
            // A report of changes can't be applied without the reports before it.
            if (!report.isComplete && !isContinued) {
                return;
            }
            const uses = report.isComplete ? new Map<number, number>() : new Map(known!.uses);
            report.uses.forEach(({ key, count }) => uses.set(key, count));
            if (known !== undefined && known.relay !== relay) {
                keepFormerUse(known, uses);
            }
            dataCentres.set(dataCentre, {
                relay,
                uses,
                growth: growthSince(known, uses),
                sequence: 0,
                instanceCount,
                knownCount: report.knownCount,
                heardRelays: report.heardRelays,
                receivedAt: timer.now(),
                contactTimeoutMs: dataCentreTimeoutMs,
            });
        },
        hasReporters: () => [...instances].some(([instance, source]) => instance !== self && isFresh(source)),
        total: () => {
            removeExpired(instances);
            removeExpired(dataCentres);
            removeExpired(formerSources);
            const live = new Map<number, number>();
            const silent = new Map<number, number>();
            const connected = connectedDataCentres();
            instances.forEach(source => addUses(isFresh(source) ? live : silent, source, maxInstanceReportAgeMs));
            dataCentres.forEach(source => addUses(connected.has(source) ? live : silent, source, maxDataCentreReportAgeMs));
            formerSources.forEach(source => addUses(silent, source, Infinity));
            const keys = new Set([...live.keys(), ...silent.keys()]);
            const uses = [...keys].map((key): TotalUse => ({
                key,
                count: live.get(key) ?? 0,
                silentCount: silent.get(key) ?? 0,
            }));
            return {
                kind: "total",
                instanceCount: [...connected].reduce((sum, source) => sum + source.instanceCount, liveInstanceCount()),
                knownCount: Math.max(options.instanceCount(), ...[...dataCentres.values()].map(({ knownCount }) => knownCount)),
                included: [...instances].filter(([, source]) => isFresh(source)).map(([instance, { sequence }]) => ({
                    instance,
                    sequence,
                })),
                uses: uses.filter(({ count, silentCount }) => count > 0 || silentCount > 0),
            };
        },
        takeDataCentreReport: () => {
            const now = timer.now();
            removeExpired(instances);
            const sums = new Map<number, number>();
            sent.forEach((_, key) => sums.set(key, 0));
            instances.forEach(source => addUses(sums, source, maxInstanceReportAgeMs));
            const all = [...sums].map(([key, count]): KeyUse => ({ key, count }));
            const isComplete = now - completeAt >= completeReportIntervalMs;
            const uses = isComplete ? all.filter(({ count }) => count > 0) : all.filter(isDue);
            if (!isComplete && uses.length === 0 && now - reportedAt < idleReportIntervalMs) {
                return undefined;
            }
            reportedAt = now;
            if (isComplete) {
                completeAt = now;
                sent.clear();
            }
            uses.forEach(({ key, count }) => sent.set(key, { count, sentAt: now }));
            return {
                kind: "dataCentre",
                dataCentre: options.dataCentre,
                instanceCount: liveInstanceCount(),
                knownCount: options.instanceCount(),
                heardRelays: heardRelays(),
                isComplete,
                uses,
            };
        },
    };
}
