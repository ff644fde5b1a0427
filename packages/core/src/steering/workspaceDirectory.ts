/** Finds the workspace of a request by the digest of its key. */
import type { KeyDigest } from "../ids.js";
import type { SteeringDocument, Workspace } from "./steeringDocument.js";

/** The workspace that a key belongs to, as far as it is known. */
export type KeyOwner =
    | { readonly kind: "workspace"; readonly workspace: Workspace; }
    /** No workspace has the key. */
    | { readonly kind: "unknown"; }
    /** Several workspaces claim the key, or it may be one that could not be decoded. */
    | { readonly kind: "undecided"; };

/** The workspaces of a document, by their keys. */
export interface WorkspaceDirectory {
    readonly workspaces: readonly Workspace[];
    /** Whether requests need keys, since the document has workspaces. */
    readonly needsKeys: boolean;
    ownerOf(key: KeyDigest | undefined): KeyOwner;
    /** Weight of a workspace's requests among those of others, 1 on average. Requests without a workspace share one weight. */
    weightOf(workspace: Workspace | undefined): number;
}

/** Smallest weight. A workspace whose quota is far below the average still gets slots for a few requests at a time. */
const minWeight = 0.1;

const unknownOwner: KeyOwner = { kind: "unknown" };
const undecidedOwner: KeyOwner = { kind: "undecided" };

/** Creates the directory of a document's workspaces. */
export function createWorkspaceDirectory(
    document: Pick<SteeringDocument, "workspaces" | "hasUnreadableKeys">,
): WorkspaceDirectory {
    const { workspaces } = document;
    const owners = new Map<KeyDigest, KeyOwner>();
    for (const workspace of workspaces) {
        for (const key of new Set(workspace.keys)) {
            owners.set(key, owners.has(key) ? undecidedOwner : { kind: "workspace", workspace });
        }
    }
    const rates = workspaces.flatMap(({ quota }) => quota === undefined ? [] : [quota.ratePerSecond]);
    const meanRate = rates.reduce((sum, rate) => sum + rate, 0) / rates.length;
    const unlistedOwner = document.hasUnreadableKeys ? undecidedOwner : unknownOwner;
    return {
        workspaces,
        needsKeys: workspaces.length > 0,
        ownerOf: key => key === undefined ? unknownOwner : owners.get(key) ?? unlistedOwner,
        weightOf: workspace => workspace?.quota === undefined ? 1 : Math.max(minWeight, workspace.quota.ratePerSecond / meanRate),
    };
}

/** Directory of a document without workspaces. */
export const emptyWorkspaceDirectory: WorkspaceDirectory = createWorkspaceDirectory({ workspaces: [], hasUnreadableKeys: false });
