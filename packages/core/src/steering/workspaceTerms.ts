/** Decides for which workspace a request runs, with which priority and in which regions, or why it is refused. */
import type { KeyDigest, RegionId, WorkspaceId } from "../ids.js";
import { type Result, results } from "../results/resultCode.js";
import type { Route, Workspace } from "./steeringDocument.js";
import type { WorkspaceDirectory } from "./workspaceDirectory.js";

/** What route and workspace together determine for a request. */
export interface RequestTerms {
    /** Directory that the terms were decided by. */
    readonly directory: WorkspaceDirectory;
    /** `undefined` if the document has no workspaces, or if a public route's request names none. */
    readonly workspace: Workspace | undefined;
    /** Priority among the requests of a service; 0 is the most urgent. */
    readonly priority: number;
    /** Regions in which the request may run; empty means all. */
    readonly homeRegions: readonly RegionId[];
    /** Slots that the workspace gets while requests wait, relative to other workspaces. */
    readonly weight: number;
}

/** Whether a request is accepted for a workspace, or for none; the result says why it is refused. */
export type WorkspaceDecision =
    | { readonly kind: "accepted"; readonly terms: RequestTerms; }
    | { readonly kind: "refused"; readonly result: Result; readonly workspace: WorkspaceId | undefined; };

/** What the decision about a request depends on. */
export interface WorkspaceQuestion {
    readonly directory: WorkspaceDirectory;
    readonly route: Route;
    readonly key: KeyDigest | undefined;
    /** Whether this entry may not know that a key was removed, and has to refuse requests that need one. */
    readonly areKeysStale: boolean;
}

/** Decides about a request by its key. On a public route, a key that is not listed counts as none. */
export function decideWorkspace({ directory, route, key, areKeysStale }: WorkspaceQuestion): WorkspaceDecision {
    const refuse = (result: Result, workspace?: Workspace): WorkspaceDecision => ({
        kind: "refused",
        result,
        workspace: workspace?.id,
    });
    if (!directory.needsKeys) {
        return { kind: "accepted", terms: termsOf(directory, route, undefined) };
    }
    const owner = directory.ownerOf(key);
    if (!route.isPublic && areKeysStale && key !== undefined) {
        // A known key may have been removed, and an unknown one added.
        return refuse(results.staleKeys, owner.kind === "workspace" ? owner.workspace : undefined);
    }
    if (owner.kind === "workspace") {
        const { workspace } = owner;
        const terms = termsOf(directory, route, workspace);
        if (workspace.isUnreadable) {
            return refuse(results.unreadableWorkspace, workspace);
        }
        return isWithoutCommonRegion(route, workspace)
            ? refuse(results.noCommonRegion, workspace)
            : { kind: "accepted", terms };
    }
    if (route.isPublic) {
        return { kind: "accepted", terms: termsOf(directory, route, undefined) };
    }
    return refuse(owner.kind === "undecided" ? results.unreadableWorkspace : results.unauthorised);
}

function termsOf(directory: WorkspaceDirectory, route: Route, workspace: Workspace | undefined): RequestTerms {
    return {
        directory,
        workspace,
        priority: workspace?.priority ?? route.priority,
        homeRegions: commonRegions(route.homeRegions, workspace?.homeRegions ?? []),
        weight: directory.weightOf(workspace),
    };
}

/** An empty list means all regions. */
function commonRegions(first: readonly RegionId[], second: readonly RegionId[]): readonly RegionId[] {
    if (first.length === 0 || second.length === 0) {
        return first.length === 0 ? second : first;
    }
    return first.filter(region => second.includes(region));
}

/** Has to be checked before the regions in common are used, where none of them would mean all. */
const isWithoutCommonRegion = (route: Route, { homeRegions }: Workspace): boolean =>
    route.homeRegions.length > 0 && homeRegions.length > 0 && commonRegions(route.homeRegions, homeRegions).length === 0;
