/** Counts of what became of a service's requests, by route, over the span between two readings. */
import type { ServiceId } from "@pimentospring/core/ids";
import type { Attempt, FinalResponse, Job } from "@pimentospring/core/steering/job";
import type { Timer } from "@pimentospring/core/time/timer";
import type { TargetResponse } from "../targets/targetResponse.js";

/** Work at targets: what was expected of their memory of the object, and how it went. */
export interface RunCounts {
    /** Runs that were expected to be quick because the target knows the object, and how many were. */
    known: number;
    knownQuick: number;
    /** The other runs, and how many were quick all the same. */
    fresh: number;
    freshQuick: number;
}

/** How requests of one route ended. */
export interface RouteCounts extends RunCounts {
    inTime: number;
    late: number;
    refused: number;
    failed: number;
}

export interface RouteStatistics {
    /** A target's work on the attempt ended well. */
    recordRun(attempt: Attempt<TargetResponse>, wasQuick: boolean): void;
    recordEnding(job: Job<TargetResponse>, ending: FinalResponse<TargetResponse>): void;
    /** Counts of each route of the service since they were last taken; they begin anew. */
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
        recordEnding: (job, ending) => {
            const counts = countsOf(job);
            if (ending.kind === "refusal") {
                counts[ending.result.outcome === "notRun" ? "refused" : "failed"]++;
            }
            else if (ending.answer.status >= 300) {
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

/** Names of the routes with the most requests, `most` at the most. */
export function busiestRoutes(counts: ReadonlyMap<string, RouteCounts>, most: number): readonly string[] {
    const byRequests = [...counts].sort(([, a], [, b]) => endedRequests(b) - endedRequests(a));
    return byRequests.slice(0, most).map(([name]) => name);
}
