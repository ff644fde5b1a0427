/** Commands that read or change the document: check, diff, apply, show, history, drain, stop and serve. */
import { diffDocuments } from "@pimentospring/core/document/diff";
import type { Document, Target } from "@pimentospring/core/document/schema";
import { validateDocument } from "@pimentospring/core/document/validate";
import { results } from "@pimentospring/core/results/resultCode";
import { type ChangeOutcome, readCurrentDocument, readHistory, submitChange } from "@pimentospring/runtime/platform/changes";
import type { Store } from "@pimentospring/runtime/platform/store";
import { exitCodes, printError } from "@pimentospring/runtime/program/program";
import { formatDifferences, formatTable, print } from "../output/output.js";
import { readDocumentFile } from "../settings/documentFile.js";

/** Dependencies and options shared by the commands. */
export interface CommandContext {
    readonly store: Store;
    readonly operator: string;
    /** Unix time in milliseconds. */
    readonly wallTime: () => number;
    readonly asJson: boolean;
}

/** Validates a document file and lists every fault, without access to the store. */
export function checkDocument(file: string, asJson: boolean): number {
    const parsed = readDocumentFile(file);
    if (parsed.isErr) {
        printError(results.invalidDocument, parsed.error);
        return exitCodes.failed;
    }
    const validated = validateDocument(parsed.value);
    if (validated.isOk) {
        print(asJson, { valid: true, faults: [] }, `${file}: the document is valid`);
        return exitCodes.ok;
    }
    const text = validated.error.map(fault => `${file}: ${fault.path} ${fault.text}`).join("\n");
    print(asJson, { valid: false, faults: validated.error }, `${text}\n${validated.error.length} faults`);
    return exitCodes.failed;
}

/** Shows the differences between the document in the store and a file. */
export async function showDifferences(context: CommandContext, file: string): Promise<number> {
    const parsed = readDocumentFile(file);
    const validated = parsed.isOk ? validateDocument(parsed.value) : undefined;
    if (validated === undefined || validated.isErr) {
        return checkDocument(file, context.asJson);
    }
    const current = await readCurrentDocument(context.store);
    if (current.isErr) {
        printError(results.storeUnreachable, current.error.reason);
        return exitCodes.unreachable;
    }
    const differences = diffDocuments(current.value.accepted?.document, validated.value);
    print(context.asJson, { differences }, formatDifferences(differences));
    return exitCodes.ok;
}

export async function applyDocument(context: CommandContext, file: string, basedOn: number | undefined): Promise<number> {
    const parsed = readDocumentFile(file);
    if (parsed.isErr) {
        printError(results.invalidDocument, parsed.error);
        return exitCodes.failed;
    }
    return submit(context, basedOn, () => parsed.value);
}

/** Submits an edit and prints its outcome. */
async function submit(
    context: CommandContext,
    basedOn: number | undefined,
    edit: (current: Document | undefined) => unknown,
): Promise<number> {
    const outcome = await submitChange(context.store, { by: context.operator, at: context.wallTime(), basedOn, edit });
    if (context.asJson) {
        print(true, { ...outcome, code: outcome.code.code, name: outcome.code.name }, "");
    }
    else {
        printOutcome(outcome);
    }
    return exitCodeOf(outcome);
}

function printOutcome(outcome: ChangeOutcome): void {
    if (outcome.code === results.applied) {
        process.stdout.write(`${formatDifferences(outcome.differences)}\napplied as revision ${outcome.revision}\n`);
        return;
    }
    if (outcome.code === results.noChange) {
        process.stdout.write(`no difference from revision ${outcome.revision}; nothing to apply\n`);
        return;
    }
    printError(outcome.code, outcome.code.text);
    outcome.faults.forEach(fault => process.stderr.write(`  ${fault.path} ${fault.text}\n`));
    if (outcome.code === results.conflict) {
        process.stderr.write(
            `  in the store: revision ${outcome.inStore?.revision ?? 0} by ${outcome.inStore?.by ?? "nobody"}\n`,
        );
        process.stderr.write(`${formatDifferences(outcome.differences)}\n`);
    }
}

function exitCodeOf(outcome: ChangeOutcome): number {
    switch (outcome.code) {
        case results.applied:
        case results.noChange:
            return exitCodes.ok;
        case results.conflict:
            return exitCodes.conflict;
        case results.storeUnreachable:
            return exitCodes.unreachable;
        case results.changeUnknown:
            return exitCodes.unknown;
        default:
            return exitCodes.failed;
    }
}

export async function showDocument(context: CommandContext): Promise<number> {
    const current = await readCurrentDocument(context.store);
    if (current.isErr) {
        printError(results.storeUnreachable, current.error.reason);
        return exitCodes.unreachable;
    }
    const { accepted } = current.value;
    if (accepted === undefined) {
        printError(results.notFound, "there is no document yet; apply one");
        return exitCodes.failed;
    }
    const header = `revision ${accepted.revision} by ${accepted.by} at ${new Date(accepted.at).toISOString()}`;
    print(context.asJson, accepted, `${header}\n${JSON.stringify(accepted.document, undefined, 2)}`);
    return exitCodes.ok;
}

export async function showHistory(context: CommandContext): Promise<number> {
    const records = await readHistory(context.store);
    if (records.isErr) {
        printError(results.storeUnreachable, records.error.reason);
        return exitCodes.unreachable;
    }
    const rows = records.value.map(record => [
        String(record.revision),
        new Date(record.at).toISOString(),
        record.by,
        record.items.slice(0, 3).join(", ") + (record.items.length > 3 ? `, and ${record.items.length - 3} more` : ""),
    ]);
    print(context.asJson, records.value, formatTable({ headings: ["revision", "at", "by", "what"], rows }));
    return exitCodes.ok;
}

export async function setTargetState(context: CommandContext, id: string, state: Target["state"]): Promise<number> {
    return submitToExisting(context, `target "${id}"`, current => {
        const isKnown = current.targets.some(target => target.id === id);
        return isKnown
            ? { ...current, targets: current.targets.map(target => target.id === id ? { ...target, state } : target) }
            : undefined;
    });
}

/** Removes an entry from look-up responses, or adds it back. */
export async function setEntryLeaving(context: CommandContext, address: string, isLeaving: boolean): Promise<number> {
    return submitToExisting(context, `entry "${address}"`, current => {
        const others = current.leavingEntries.filter(entry => entry !== address);
        return { ...current, leavingEntries: isLeaving ? [...others, address] : others };
    });
}

async function submitToExisting(
    context: CommandContext,
    subject: string,
    edit: (current: Document) => Document | undefined,
): Promise<number> {
    const current = await readCurrentDocument(context.store);
    if (current.isErr) {
        printError(results.storeUnreachable, current.error.reason);
        return exitCodes.unreachable;
    }
    const { accepted } = current.value;
    if (accepted === undefined || edit(accepted.document) === undefined) {
        printError(results.notFound, `${subject} is not in the document`);
        return exitCodes.failed;
    }
    return submit(context, accepted.revision, document => edit(document!));
}
