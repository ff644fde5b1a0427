/** Checks accepted requests again under a newer document, which may have removed their key, and while keys may be stale. */
import type { Result } from "../results/resultCode.js";
import type { Job } from "./job.js";
import type { WorkspaceDirectory } from "./workspaceDirectory.js";
import { decideWorkspace } from "./workspaceTerms.js";

export interface WorkspaceReviewOptions<Answer> {
    readonly workspaces: () => WorkspaceDirectory;
    readonly areKeysStale: () => boolean;
    readonly openJobs: () => Iterable<Job<Answer>>;
    readonly reject: (job: Job<Answer>, result: Result, why: string) => void;
}

export interface WorkspaceReview<Answer> {
    /** Rejects a job that is no longer admitted, otherwise updates its terms. Returns whether it rejected the job. */
    rejectIfNotAdmitted(job: Job<Answer>): boolean;
    /** Does so for all queued jobs if there is a newer document, so that they need not wait for a slot to be refused. */
    reviewQueuedJobs(): void;
}

export function createWorkspaceReview<Answer>(options: WorkspaceReviewOptions<Answer>): WorkspaceReview<Answer> {
    let reviewedDirectory = options.workspaces();
    const rejectIfNotAdmitted = (job: Job<Answer>): boolean => {
        const directory = options.workspaces();
        const areKeysStale = options.areKeysStale();
        if (job.terms.directory === directory && !areKeysStale) {
            return false;
        }
        const { route, request } = job;
        const decision = decideWorkspace({ directory, route, key: request.keyDigest, areKeysStale });
        if (decision.kind === "refused") {
            options.reject(job, decision.result, "the workspace's configuration no longer admits the request");
            return true;
        }
        job.terms = decision.terms;
        return false;
    };
    return {
        rejectIfNotAdmitted,
        reviewQueuedJobs: () => {
            const directory = options.workspaces();
            if (reviewedDirectory !== directory) {
                reviewedDirectory = directory;
                [...options.openJobs()].filter(({ state }) => state === "waiting").forEach(rejectIfNotAdmitted);
            }
        },
    };
}
