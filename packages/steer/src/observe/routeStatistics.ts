/** Counts requests of each service by route and outcome since the previous reading. */
import type { ServiceId } from "@pimentospring/core/ids";
import type { Attempt, FinalResponse, Job } from "@pimentospring/core/steering/job";
import type { Timer } from "@pimentospring/core/time/timer";
import type { TargetResponse } from "../targets/targetResponse.js";

/**
 * Successful runs at targets, by whether the object was expected to be warm there and whether the run was as quick as a
 * warm one.
 */
export interface RunCounts {
    /** Runs that were expected to find the object warm, and how many of them were quick. */
    known: number;
    knownQuick: number;
    /** All other runs, and how many of them were quick. */
    fresh: number;
    freshQuick: number;
}

/** Outcomes of one route's requests. */
export interface RouteCounts extends RunCounts {
    inTime: number;
    late: number;
    refused: number;
    failed: number;
}

export interface RouteStatistics {
    /** Records an attempt that succeeded at its target. */
    recordRun(attempt: Attempt<TargetResponse>, wasQuick: boolean): void;
    recordFinalResponse(job: Job<TargetResponse>, finalResponse: FinalResponse<TargetResponse>): void;
    /** Returns the service's counts by route name and resets them. */
    takeCounts(service: ServiceId): ReadonlyMap<string, RouteCounts>;
}

const createCounts = (): RouteCounts => ({
    known: 0,
    knownQuick: 0,
    fresh: 0,
    freshQuick: 0,
    inTime: 0,
    late: 0,
    refused: 0,
    failed: 0,
});

export function createRouteStatistics(timer: Timer): RouteStatistics {
    const services = new Map<ServiceId, Map<string, RouteCounts>>();
    const countsOf = (job: Job<TargetResponse>): RouteCounts => {
        const routes = services.get(job.service) ?? new Map<string, RouteCounts>();
        services.set(job.service, routes);
        const counts = routes.get(job.route.name) ?? createCounts();
        routes.set(job.route.name, counts);
        return counts;
    };
    return {
        recordRun: ({ job, isWarm }, wasQuick) => {
            const counts = countsOf(job);
            const quick = wasQuick ? 1 : 0;
            if (isWarm) {
                counts.known++;
                counts.knownQuick += quick;
            }
            else {
                counts.fresh++;
                counts.freshQuick += quick;
            }
        },
        recordFinalResponse: (job, finalResponse) => {
            const counts = countsOf(job);
            if (finalResponse.kind === "refusal") {
                counts[finalResponse.result.outcome === "notRun" ? "refused" : "failed"]++;
            }
            else if (finalResponse.answer.status >= 300) {
                counts.failed++;
            }
            else {
                counts[timer.now() <= job.objectiveAt ? "inTime" : "late"]++;
            }
        },
        takeCounts: service => {
            const taken = services.get(service) ?? new Map<string, RouteCounts>();
            services.delete(service);
            return taken;
        },
    };
}

const endedRequests = (counts: RouteCounts): number => counts.inTime + counts.late + counts.refused + counts.failed;

/** Names of at most `limit` routes, those with the most requests. */
export function busiestRoutes(counts: ReadonlyMap<string, RouteCounts>, limit: number): readonly string[] {
    const byRequests = [...counts].sort(([, a], [, b]) => endedRequests(b) - endedRequests(a));
    return byRequests.slice(0, limit).map(([name]) => name);
}
