/**
 * Turns an arriving request into a job, or refuses it because of its route, its workspace, because it crashes targets, or
 * because of its workspace's quota, in this order.
 */
import type { WorkspaceId } from "../ids.js";
import type { Admission, SharedLimit } from "../limits/sharedLimit.js";
import type { PoisonList } from "../poison/poisonList.js";
import { type Result, results } from "../results/resultCode.js";
import type { CallerRetryTracker } from "./callerRetries.js";
import { createJob, type Job, type SteeringRequest } from "./job.js";
import type { ObjectAffinity } from "./objectAffinity.js";
import type { OfferedLoad } from "./offeredLoad.js";
import type { RetryBudget } from "./retryBudget.js";
import type { RouteTable } from "./routeTable.js";
import type { SteeringEvents, WorkspaceRefusal } from "./steeringEvents.js";
import { objectKey } from "./target.js";
import type { WeightedRoundRobin } from "./weightedRoundRobin.js";
import type { WorkspaceDirectory } from "./workspaceDirectory.js";
import { decideWorkspace, type RequestTerms } from "./workspaceTerms.js";
import type { WorkTimes } from "./workTimes.js";

export interface JobIntakeOptions<Answer> {
    readonly routeTable: () => RouteTable | undefined;
    readonly workspaces: () => WorkspaceDirectory;
    /** Whether requests that need a key are refused, since this entry may not know that it was removed. */
    readonly areKeysStale: () => boolean;
    readonly quotaLimit: SharedLimit<WorkspaceId>;
    readonly roundRobin: WeightedRoundRobin;
    readonly poisonList: PoisonList;
    readonly retryBudget: RetryBudget;
    readonly callerRetries: CallerRetryTracker;
    readonly objectAffinity: ObjectAffinity;
    readonly offeredLoad: OfferedLoad;
    readonly workTimes: WorkTimes;
    readonly events: Pick<SteeringEvents<Answer>, "onPoisonRefused" | "onWorkspaceRefused">;
}

export type Intake<Answer> =
    | { readonly kind: "accepted"; readonly job: Job<Answer>; }
    | { readonly kind: "refused"; readonly result: Result; readonly retryAfterMs: number | undefined; };

/** Callers return this long after they were refused for lack of a configuration. */
const notReadyRetryAfterMs = 200;
/** A request that crashes targets is not tried again sooner. */
export const poisonRetryAfterMs = 30_000;

export function createJobIntake<Answer>(options: JobIntakeOptions<Answer>): (request: SteeringRequest) => Intake<Answer> {
    const { poisonList, objectAffinity, offeredLoad } = options;
    const refuse = (result: Result, retryAfterMs?: number): Intake<Answer> => ({ kind: "refused", result, retryAfterMs });
    const refuseWorkspace = (refusal: WorkspaceRefusal, retryAfterMs?: number): Intake<Answer> => {
        options.events.onWorkspaceRefused(refusal);
        return refuse(refusal.result, retryAfterMs);
    };
    return request => {
        const table = options.routeTable();
        if (table === undefined) {
            return refuse(results.noConfiguration, notReadyRetryAfterMs);
        }
        const route = table.find(request.host, request.path);
        if (route === undefined) {
            return table.isUnreadable(request.host, request.path)
                ? refuse(results.unreadableRoute, notReadyRetryAfterMs)
                : refuse(results.unknownRoute);
        }
        const decision = decideWorkspace({
            directory: options.workspaces(),
            route,
            key: request.keyDigest,
            areKeysStale: options.areKeysStale(),
        });
        if (decision.kind === "refused") {
            const { result, workspace } = decision;
            return refuseWorkspace(
                { request, route, result, workspace },
                result === results.unauthorised ? undefined : notReadyRetryAfterMs,
            );
        }
        const { terms } = decision;
        if (poisonList.isRefused(request.fingerprint)) {
            options.events.onPoisonRefused(request, terms.workspace?.id);
            return refuse(results.poisonRequest, poisonRetryAfterMs);
        }
        const admission = takeQuota(options.quotaLimit, terms);
        if (admission.kind === "refused") {
            const refusal = { request, route, result: results.overQuota, workspace: terms.workspace?.id };
            return refuseWorkspace(refusal, admission.retryAfterMs);
        }
        const service = options.roundRobin.nextService(route);
        options.retryBudget.deposit(service);
        const isCallerRetry = options.callerRetries.consumeRefusal({ request, terms });
        const job = createJob<Answer>({ request, route, service, terms, giveBackQuota: admission.giveBack, isCallerRetry });
        if (route.isSticky && request.objectId !== undefined) {
            objectAffinity.recordUse(service, objectKey(route, request.objectId));
        }
        if (!job.isCallerRetry) {
            offeredLoad.recordArrival(service, options.workTimes.coldObjectMs(route));
        }
        return { kind: "accepted", job };
    };
}

const withoutQuota: Admission = { kind: "admitted", giveBack: () => {} };

const takeQuota = (limit: SharedLimit<WorkspaceId>, { workspace }: RequestTerms): Admission =>
    workspace?.quota === undefined ? withoutQuota : limit.tryTake(workspace.id, workspace.quota);
