/** Notifications of the request dispatcher, for logs and metrics. */
import type { WorkspaceId } from "../ids.js";
import type { PoisonReport } from "../poison/poisonList.js";
import type { Result } from "../results/resultCode.js";
import type { Attempt, FinalResponse, Job, SteeringRequest } from "./job.js";
import type { Route } from "./steeringDocument.js";
import type { Target } from "./target.js";
import type { ScoredTarget } from "./targetSelector.js";

/** A request that was refused on arrival because of its key, or of its workspace's regions or quota. */
export interface WorkspaceRefusal {
    readonly request: SteeringRequest;
    readonly route: Route;
    readonly result: Result;
    /** `undefined` if the key belongs to no known workspace. */
    readonly workspace: WorkspaceId | undefined;
}

export interface SteeringEvents<Answer> {
    onAttemptStarted(attempt: Attempt<Answer>, choice: ScoredTarget): void;
    onQueued(job: Job<Answer>, pressure: number): void;
    onRetry(job: Job<Answer>, reason: string, target: Target): void;
    /** A target completed a request successfully; `wasQuick` if it was as fast as with a cached object. */
    onWorkCompleted(attempt: Attempt<Answer>, wasQuick: boolean): void;
    /** The request succeeded although targets had died while running it, so it is no longer suspected as poison. */
    onPoisonCleared(job: Job<Answer>, cleared: readonly PoisonReport[]): void;
    /** A request was refused on arrival, because targets died while they ran it. */
    onPoisonRefused(request: SteeringRequest, workspace: WorkspaceId | undefined): void;
    onWorkspaceRefused(refusal: WorkspaceRefusal): void;
    onEnded(job: Job<Answer>, response: FinalResponse<Answer>, why: string): void;
}
