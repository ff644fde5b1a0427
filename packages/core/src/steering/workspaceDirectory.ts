/** Finds the workspace of a request by the digest of its key. */
import type { KeyDigest } from "../ids.js";
import type { SteeringDocument, Workspace } from "./steeringDocument.js";

/** What a key tells of its request's workspace. */
export type KeyOwner =
    | { readonly kind: "workspace"; readonly workspace: Workspace; }
    /** No workspace has the key. */
    | { readonly kind: "unknown"; }
    /** Several workspaces claim the key, or it may be one that could not be decoded. */
    | { readonly kind: "undecided"; };

export interface WorkspaceDirectory {
    readonly workspaces: readonly Workspace[];
    /** Whether requests need keys, since the document has workspaces. */
    readonly needsKeys: boolean;
    ownerOf(key: KeyDigest | undefined): KeyOwner;
}

const unknownOwner: KeyOwner = { kind: "unknown" };
const undecidedOwner: KeyOwner = { kind: "undecided" };

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
    const unlistedOwner = document.hasUnreadableKeys ? undecidedOwner : unknownOwner;
    return {
        workspaces,
        needsKeys: workspaces.length > 0,
        ownerOf: key => key === undefined ? unknownOwner : owners.get(key) ?? unlistedOwner,
    };
}

/** Directory of a document without workspaces. */
export const emptyWorkspaceDirectory: WorkspaceDirectory = createWorkspaceDirectory({ workspaces: [], hasUnreadableKeys: false });
