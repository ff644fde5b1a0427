/** The stored form of a document: its content with the revision and the change that created it. */
import * as v from "valibot";
import { type ChangeId, type Revision, toChangeId, toRevision } from "../ids.js";
import { type Document, documentSchema } from "./schema.js";

export interface AcceptedDocument {
    readonly revision: Revision;
    readonly changeId: ChangeId;
    /** Operator who made the change. */
    readonly by: string;
    /** Wall-clock time of the change in milliseconds since 1970; for display only, never compared. */
    readonly at: number;
    readonly document: Document;
}

const acceptedSchema = v.strictObject({
    revision: v.pipe(v.number(), v.integer(), v.minValue(1)),
    changeId: v.string(),
    by: v.string(),
    at: v.number(),
    document: documentSchema,
});

/** Parses a stored document; returns undefined if the text is invalid. */
export function parseAccepted(text: string): AcceptedDocument | undefined {
    let raw: unknown;
    try {
        raw = JSON.parse(text);
    }
    catch {
        return undefined;
    }
    const parsed = v.safeParse(acceptedSchema, raw);
    if (!parsed.success) {
        return undefined;
    }
    const { revision, changeId, by, at, document } = parsed.output;
    return { revision: toRevision(revision), changeId: toChangeId(changeId), by, at, document };
}

export function formatAccepted(accepted: AcceptedDocument): string {
    return JSON.stringify(accepted);
}
