/** Operators' routes: the entry's status, and the route that a request would take. */
import type { DataCentreId, ServiceId, WorkspaceId } from "@pimentospring/core/ids";
import type { ReportedLimit } from "@pimentospring/core/limits/quotaLimit";
import type { Members } from "@pimentospring/core/steering/members";
import type { OfferedLoad } from "@pimentospring/core/steering/offeredLoad";
import type { RegionFractions } from "@pimentospring/core/steering/regionFractions";
import type { RequestDispatcher } from "@pimentospring/core/steering/requestDispatcher";
import type { RouteTable } from "@pimentospring/core/steering/routeTable";
import type { Spillover } from "@pimentospring/core/steering/spillover";
import type { Workspace } from "@pimentospring/core/steering/steeringDocument";
import type {
    RouteExplanation,
    ServiceStatus,
    SteeringStatus,
    TargetStatus,
    WorkspaceStatus,
} from "@pimentospring/core/steering/steeringStatus";
import { freeSlots, isCold, type Target } from "@pimentospring/core/steering/target";
import type { TargetRegistry } from "@pimentospring/core/steering/targetRegistry";
import type { Timer } from "@pimentospring/core/time/timer";
import { type Routes, sendJson } from "@pimentospring/runtime/http/jsonServer";
import type { TargetResponse } from "../targets/targetResponse.js";
import { quotaStatuses } from "./quotaLog.js";
import { refusalCount, type WorkspaceStatistics } from "./workspaceStatistics.js";

export interface StatusRoutesOptions {
    readonly timer: Timer;
    readonly members: Members;
    readonly registry: TargetRegistry;
    readonly spillover: Spillover;
    readonly regionFractions: RegionFractions;
    readonly offeredLoad: OfferedLoad;
    readonly dispatcher: RequestDispatcher<TargetResponse>;
    readonly quotaLimit: Pick<ReportedLimit<WorkspaceId>, "status">;
    readonly services: () => Iterable<ServiceId>;
    readonly routes: () => RouteTable | undefined;
    /** Identity, configuration and store state of this entry. */
    readonly self: () => Omit<SteeringStatus, "entries" | "services" | "workspaces" | "inFlight">;
    readonly workspaces: () => readonly Workspace[];
    readonly workspaceStatistics: WorkspaceStatistics;
}

/** Returns the routes, which are served on the control address. */
export function createStatusRoutes(options: StatusRoutesOptions): Routes {
    const { timer, registry, dispatcher } = options;
    const stateOf = (target: Target): TargetStatus["state"] => {
        if (target.isSuspect) {
            return "suspect";
        }
        if (target.ejectedUntil > timer.now()) {
            return "ejected";
        }
        if (target.pausedUntil > timer.now()) {
            return "paused";
        }
        return isCold(target, timer.now()) ? "cold" : "serving";
    };
    const targetsIn = (service: ServiceId, dataCentre: DataCentreId): TargetStatus[] =>
        registry.targetsIn(service, dataCentre).map(target => ({
            id: target.record.id,
            dataCentre,
            state: stateOf(target),
            slots: target.record.slots,
            inFlight: target.inFlight,
            free: Number(freeSlots(target, timer.now(), options.offeredLoad.meanWorkMs(service)).toFixed(1)),
        }));
    const targetsOf = (service: ServiceId): TargetStatus[] =>
        [...registry.dataCentresOf(service)].flatMap(dataCentre => targetsIn(service, dataCentre));
    const serviceStatus = (service: ServiceId): ServiceStatus => ({
        service,
        waiting: dispatcher.queuedCount(service),
        load: Number(options.offeredLoad.requiredSlots(service).toFixed(1)),
        farShare: Number(options.regionFractions.total(service).toFixed(2)),
        agreedElsewhere: options.spillover.describe(service),
        targets: targetsOf(service),
    });
    /** Names each field, since a workspace also has keys. */
    const workspaceStatus = ({ id, quota, priority, homeRegions }: Workspace): WorkspaceStatus => {
        const counts = options.workspaceStatistics.countsOf(id);
        const { requests } = counts;
        return { workspace: id, quota, priority, homes: homeRegions, requests, refused: refusalCount(counts) };
    };
    const status = (): SteeringStatus => ({
        ...options.self(),
        inFlight: dispatcher.inFlightCount(),
        entries: options.members.liveMembers().map(({ record }) => ({ instance: record.id, control: record.control })),
        services: [...options.services()].map(serviceStatus),
        workspaces: options.workspaces().map(workspaceStatus),
        quotas: quotaStatuses(options.quotaLimit),
    });
    const explain = (host: string, path: string): RouteExplanation => {
        const route = options.routes()?.find(host, path);
        return {
            version: options.self().version,
            route: route?.name,
            isUnreadable: options.routes()?.isUnreadable(host, path) ?? false,
            prefix: route?.prefix,
            isIdempotent: route?.isIdempotent,
            timeoutMs: route?.timeoutMs,
            objectiveMs: route?.objectiveMs,
            attempts: route?.maxAttempts,
            homes: route?.homeRegions ?? [],
            parts: (route?.weightedServices ?? []).map(part => ({ ...part, targets: targetsOf(part.service).length })),
        };
    };
    return {
        "GET /status": (_request, response) => sendJson(response, 200, status()),
        "GET /explain": (_request, response, url) =>
            sendJson(response, 200, explain(url.searchParams.get("host") ?? "", url.searchParams.get("path") ?? "/")),
    };
}
