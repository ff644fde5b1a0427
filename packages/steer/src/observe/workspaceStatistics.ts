/** Counts the requests of each workspace since the start of the process, and what they were refused for. */
import type { WorkspaceId } from "@pimentospring/core/ids";
import type { Result } from "@pimentospring/core/results/resultCode";

export interface WorkspaceCounts {
    /** `undefined` for requests that named no workspace. */
    readonly workspace: WorkspaceId | undefined;
    readonly requests: number;
    /** Refused requests by result code. */
    readonly refusals: ReadonlyMap<number, number>;
}

export interface WorkspaceStatistics {
    /** Records a request that ended; `refusal` is `undefined` if a target's response was passed on. */
    record(workspace: WorkspaceId | undefined, refusal: Result | undefined): void;
    countsOf(workspace: WorkspaceId): WorkspaceCounts;
    /** The workspaces with the most requests, with those first; a bounded number. */
    busiest(): readonly WorkspaceCounts[];
    /** Drops the counts of workspaces that the configuration no longer contains. */
    retain(workspaces: Iterable<WorkspaceId>): void;
}

/** Workspaces shown in metrics. */
const maxShownWorkspaces = 20;

interface MutableCounts extends WorkspaceCounts {
    requests: number;
    readonly refusals: Map<number, number>;
}

export function createWorkspaceStatistics(): WorkspaceStatistics {
    const counts = new Map<WorkspaceId | undefined, MutableCounts>();
    const find = (workspace: WorkspaceId | undefined): MutableCounts =>
        counts.get(workspace) ?? { workspace, requests: 0, refusals: new Map() };
    return {
        record: (workspace, refusal) => {
            const entry = find(workspace);
            counts.set(workspace, entry);
            entry.requests++;
            if (refusal !== undefined) {
                entry.refusals.set(refusal.code, (entry.refusals.get(refusal.code) ?? 0) + 1);
            }
        },
        countsOf: find,
        busiest: () => [...counts.values()].sort((a, b) => b.requests - a.requests).slice(0, maxShownWorkspaces),
        retain: workspaces => {
            const kept = new Set<WorkspaceId | undefined>(workspaces).add(undefined);
            [...counts.keys()].filter(workspace => !kept.has(workspace)).forEach(workspace => counts.delete(workspace));
        },
    };
}

/** Number of refused requests, whatever the reason. */
export const refusalCount = ({ refusals }: WorkspaceCounts): number =>
    [...refusals.values()].reduce((sum, count) => sum + count, 0);
