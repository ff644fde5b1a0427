/**
 * Operators' changes: read, edit, validate, compare-and-swap. The change id inside the document shows whether a write
 * took effect when its response was lost.
 */
import { type AcceptedDocument, formatAccepted, parseAccepted } from "@pimentospring/core/document/accepted";
import { diffDocuments, type Difference } from "@pimentospring/core/document/diff";
import type { Document } from "@pimentospring/core/document/schema";
import { type Fault, validateDocument } from "@pimentospring/core/document/validate";
import { type ChangeId, toChangeId, toRevision } from "@pimentospring/core/ids";
import { type Result as ResultCode, results } from "@pimentospring/core/results/resultCode";
import { randomUUID } from "node:crypto";
import { err, ok, type Result } from "true-myth/result";
import * as v from "valibot";
import type { CompareAndSwap, Store, StoreFailure } from "./store.js";

export const documentKey = "pimentospring/document";
const changesPrefix = "pimentospring/changes/";
/** Change records kept in the store for `history`. */
const maxHistoryRecords = 200;
/** Attempts to write and read back a change before its outcome is reported as unknown. */
const maxWriteAttempts = 5;

/** The document in the store and the store revision that a compare-and-swap must name. */
export interface CurrentDocument {
    readonly accepted: AcceptedDocument | undefined;
    readonly modRevision: number;
}

/** Record of a change, kept for `history`. */
export interface ChangeRecord {
    readonly revision: number;
    readonly changeId: string;
    readonly by: string;
    /** Unix time in milliseconds. */
    readonly at: number;
    /** Such as `changed targets.tokens-1`. */
    readonly items: readonly string[];
}

/** Outcome of a submitted change. */
export interface ChangeOutcome {
    readonly code: ResultCode;
    /** Revision created by the change, or the current one when there was nothing to change. */
    readonly revision: number | undefined;
    readonly differences: readonly Difference[];
    readonly faults: readonly Fault[];
    /** Document found in the store after a conflict. */
    readonly inStore: AcceptedDocument | undefined;
}

export interface ChangeSubmission {
    readonly by: string;
    /** Unix time in milliseconds. */
    readonly at: number;
    /** Revision that the operator's edit started from; another one in the store is a conflict. */
    readonly basedOn: number | undefined;
    /** Returns the new document, not yet validated, from the one in the store. */
    readonly edit: (current: Document | undefined) => unknown;
}

export async function readCurrentDocument(store: Store): Promise<Result<CurrentDocument, StoreFailure>> {
    const value = await store.get(documentKey);
    return value.andThen(found => {
        if (found === undefined) {
            return ok({ accepted: undefined, modRevision: 0 });
        }
        const accepted = parseAccepted(found.text);
        return accepted === undefined
            ? err({ reason: `the value of ${documentKey} is not a valid document` })
            : ok({ accepted, modRevision: found.modRevision });
    });
}

export async function submitChange(store: Store, submission: ChangeSubmission): Promise<ChangeOutcome> {
    const read = await readCurrentDocument(store);
    if (read.isErr) {
        return emptyOutcome(results.storeUnreachable);
    }
    const { accepted, modRevision } = read.value;
    const valid = validateDocument(submission.edit(accepted?.document));
    if (valid.isErr) {
        return { ...emptyOutcome(results.invalidDocument), faults: valid.error };
    }
    const differences = diffDocuments(accepted?.document, valid.value);
    if (submission.basedOn !== undefined && submission.basedOn !== (accepted?.revision ?? 0)) {
        return { ...emptyOutcome(results.conflict), differences, inStore: accepted };
    }
    if (differences.length === 0 && accepted !== undefined) {
        return { ...emptyOutcome(results.noChange), revision: accepted.revision };
    }
    const next: AcceptedDocument = {
        revision: toRevision((accepted?.revision ?? 0) + 1),
        changeId: toChangeId(randomUUID()),
        by: submission.by,
        at: submission.at,
        document: valid.value,
    };
    return commitDocument(store, next, modRevision, differences);
}

async function commitDocument(
    store: Store,
    next: AcceptedDocument,
    modRevision: number,
    differences: readonly Difference[],
): Promise<ChangeOutcome> {
    const swap = createSwap(next, modRevision, differences);
    const applied = { ...emptyOutcome(results.applied), revision: next.revision, differences };
    for (let attempt = 0; attempt < maxWriteAttempts; attempt++) {
        // The same compare-and-swap may be sent again: it takes effect only once, since it changes the revision it names.
        const answer = await store.compareAndSwap(swap);
        if (answer.isOk && answer.value) {
            return applied;
        }
        const found = await findChange(store, next.changeId);
        if (found.isOk && found.value.isApplied) {
            return applied;
        }
        if (answer.isOk && found.isOk) {
            return { ...emptyOutcome(results.conflict), differences, inStore: found.value.inStore };
        }
    }
    return { ...emptyOutcome(results.changeUnknown), differences };
}

interface ChangeLookup {
    readonly isApplied: boolean;
    readonly inStore: AcceptedDocument | undefined;
}

/** Looks for a change in the document and, in case a later one replaced it there, among the change records. */
async function findChange(store: Store, changeId: ChangeId): Promise<Result<ChangeLookup, StoreFailure>> {
    const current = await readCurrentDocument(store);
    if (current.isErr) {
        return err(current.error);
    }
    const inStore = current.value.accepted;
    if (inStore?.changeId === changeId) {
        return ok({ isApplied: true, inStore });
    }
    const records = await readHistory(store);
    return records.map(list => ({ isApplied: list.some(record => record.changeId === changeId), inStore }));
}

function createSwap(next: AcceptedDocument, modRevision: number, differences: readonly Difference[]): CompareAndSwap {
    const record: ChangeRecord = {
        revision: next.revision,
        changeId: next.changeId,
        by: next.by,
        at: next.at,
        items: differences.map(difference => `${difference.kind} ${difference.path}`),
    };
    const expiredRevision = next.revision - maxHistoryRecords;
    return {
        key: documentKey,
        modRevision,
        puts: [
            { key: documentKey, text: formatAccepted(next) },
            { key: recordKey(next.revision), text: JSON.stringify(record) },
        ],
        deletes: expiredRevision > 0 ? [recordKey(expiredRevision)] : [],
    };
}

const recordKey = (revision: number): string => `${changesPrefix}${String(revision).padStart(10, "0")}`;

const recordSchema = v.object({
    revision: v.number(),
    changeId: v.string(),
    by: v.string(),
    at: v.number(),
    items: v.array(v.string()),
});

/** Returns the latest changes, oldest first. */
export async function readHistory(store: Store): Promise<Result<ChangeRecord[], StoreFailure>> {
    const values = await store.list(changesPrefix);
    return values.map(list => list.map(value => v.parse(recordSchema, JSON.parse(value.text))));
}

function emptyOutcome(code: ResultCode): ChangeOutcome {
    return { code, revision: undefined, differences: [], faults: [], inStore: undefined };
}
