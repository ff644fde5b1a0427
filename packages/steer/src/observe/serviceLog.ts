/**
 * Periodic log lines per service and per route: offered load, available slots and warm objects. They distinguish a lack
 * of slots, idle slots, a route that crowds out another, and work that is slow because targets evict its objects.
 */
import type { DataCentreId, ServiceId } from "@pimentospring/core/ids";
import type { ObjectAffinity } from "@pimentospring/core/steering/objectAffinity";
import type { OfferedLoad } from "@pimentospring/core/steering/offeredLoad";
import type { RegionFractions } from "@pimentospring/core/steering/regionFractions";
import type { RequestDispatcher } from "@pimentospring/core/steering/requestDispatcher";
import type { SlotPressure } from "@pimentospring/core/steering/slotPressure";
import type { Spillover } from "@pimentospring/core/steering/spillover";
import type { Route } from "@pimentospring/core/steering/steeringDocument";
import { freeSlots, type Target } from "@pimentospring/core/steering/target";
import type { TargetRegistry } from "@pimentospring/core/steering/targetRegistry";
import type { WorkTimes } from "@pimentospring/core/steering/workTimes";
import type { Timer } from "@pimentospring/core/time/timer";
import type { Log } from "@pimentospring/runtime/logs/log";
import { logEvents } from "@pimentospring/runtime/logs/logEvents";
import type { TargetResponse } from "../targets/targetResponse.js";
import { busiestRoutes, type RouteCounts, type RouteStatistics } from "./routeStatistics.js";
import type { WarmStatistics } from "./warmStatistics.js";

export interface ServiceLogOptions {
    readonly timer: Timer;
    readonly log: Log;
    readonly routeStatistics: RouteStatistics;
    readonly warmStatistics: WarmStatistics;
    readonly registry: TargetRegistry;
    readonly workTimes: WorkTimes;
    readonly objectAffinity: ObjectAffinity;
    readonly regionFractions: RegionFractions;
    readonly spillover: Spillover;
    readonly offeredLoad: OfferedLoad;
    readonly pressure: SlotPressure;
    readonly dispatcher: RequestDispatcher<TargetResponse>;
    readonly services: () => Iterable<ServiceId>;
    readonly routes: () => readonly Route[];
    readonly isOwnRegion: (dataCentre: DataCentreId) => boolean;
}

const logIntervalMs = 2_000;
/** Per service, only this many routes with the most requests are logged. */
const maxLoggedRoutes = 12;

/** Starts periodic logging. Services without requests are left out. */
export function startServiceLog(options: ServiceLogOptions): void {
    const { timer, log, routeStatistics, registry, dispatcher } = options;
    const writeRoute = (service: ServiceId, route: Route, counts: RouteCounts): void =>
        log.write(logEvents.routeState, {
            service,
            route: route.name,
            ...counts,
            warmMs: Math.round(options.workTimes.warmMs(route)),
            coldMs: Math.round(options.workTimes.coldObjectMs(route)),
        });
    const writeWarmState = (service: ServiceId): void => {
        const { warmShares, attemptShares, hottestObject, hottestTarget, copiesAdded } = options.warmStatistics.takeCounts(
            service,
        );
        log.write(logEvents.warmState, {
            service,
            warmShares: describeShares(warmShares),
            attemptShares: describeShares(attemptShares),
            hottestObject: hottestObject?.name,
            hottestObjectShare: hottestObject?.share,
            hottestTarget: hottestTarget?.name,
            hottestTargetShare: hottestTarget?.share,
            copiesAdded,
        });
    };
    const writeService = (service: ServiceId): void => {
        const counts = routeStatistics.takeCounts(service);
        if (counts.size === 0) {
            return;
        }
        const targets = usableTargets(registry, service, options.isOwnRegion);
        const meanWorkMs = options.offeredLoad.meanWorkMs(service);
        log.write(logEvents.serviceState, {
            service,
            routes: counts.size,
            load: rounded(options.offeredLoad.requiredSlots(service)),
            slots: sum(targets, target => target.record.slots),
            free: rounded(sum(targets, target => Math.max(0, freeSlots(target, timer.now(), meanWorkMs)))),
            own: sum(targets, target => target.inFlight),
            queued: sum(targets, target => target.report?.load.waiting ?? 0),
            reportAgeMs: meanReportAgeMs(targets, timer.now()),
            waiting: dispatcher.queuedCount(service),
            pressure: rounded(options.pressure.levelOf(service)),
            farShare: rounded(options.regionFractions.total(service)),
            lent: options.spillover.describe(service),
            areLoadsKnown: options.spillover.areLoadsKnown(service),
            objects: options.objectAffinity.activeObjectCount(service),
            memory: sum(targets, target => target.cache.capacity()),
        });
        writeWarmState(service);
        const busiest = busiestRoutes(counts, maxLoggedRoutes);
        options.routes()
            .filter(route => busiest.includes(route.name))
            .forEach(route => writeRoute(service, route, counts.get(route.name)!));
    };
    timer.subscribe(logIntervalMs, () => {
        for (const service of options.services()) {
            writeService(service);
        }
    });
}

/** Targets of this region that are not suspect. */
function usableTargets(
    registry: TargetRegistry,
    service: ServiceId,
    isOwnRegion: (dataCentre: DataCentreId) => boolean,
): Target[] {
    return [...registry.dataCentresOf(service)]
        .filter(isOwnRegion)
        .flatMap(dataCentre => registry.targetsIn(service, dataCentre))
        .filter(target => !target.isSuspect);
}

const sum = (targets: readonly Target[], valueOf: (target: Target) => number): number =>
    targets.reduce((total, target) => total + valueOf(target), 0);

/** Mean age of the targets' latest load reports in milliseconds; `undefined` without reports. */
function meanReportAgeMs(targets: readonly Target[], now: number): number | undefined {
    const ages = targets.flatMap(({ report }) => report === undefined ? [] : [now - report.receivedAt]);
    return ages.length === 0 ? undefined : Math.round(ages.reduce((total, age) => total + age, 0) / ages.length);
}

const describeShares = (shares: Readonly<Record<string, number>>): string[] =>
    Object.entries(shares).map(([region, share]) => `${region} ${share}`);

const rounded = (value: number): number => Number(value.toFixed(2));
