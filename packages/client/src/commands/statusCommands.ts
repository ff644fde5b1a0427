/** Commands that query the entries: status and explain. */
import type { EntryStatus } from "@pimentospring/core/entryStatus";
import { results } from "@pimentospring/core/results/resultCode";
import { readCurrentDocument } from "@pimentospring/runtime/platform/changes";
import type { Store } from "@pimentospring/runtime/platform/store";
import { exitCodes, printError } from "@pimentospring/runtime/program/program";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { formatTable, print } from "../output/output.js";
import { type EntryResponse, fetchAllEntryStatuses } from "./entries.js";

export interface StatusOptions {
    readonly store: Store;
    readonly entries: readonly string[];
    readonly asJson: boolean;
    /** Revision to wait for until every entry has it in force; 0 stands for the one in the store. Undefined: don't wait. */
    readonly awaitedRevision: number | undefined;
    readonly timeoutMs: number;
}

const pollIntervalMs = 200;

export async function showStatus(options: StatusOptions): Promise<number> {
    const responses = options.awaitedRevision === undefined
        ? await fetchAllEntryStatuses(options.entries)
        : await pollUntilInForce(options, options.awaitedRevision);
    if (responses === undefined) {
        return exitCodes.unreachable;
    }
    print(options.asJson, responses, formatStatus(responses));
    if (responses.every(response => response.status === undefined)) {
        printError(results.storeUnreachable, "no entry responded");
        return exitCodes.unreachable;
    }
    const awaitedRevision = options.awaitedRevision;
    return awaitedRevision !== undefined && !isInForce(responses, awaitedRevision)
        ? reportNotInForce(responses, awaitedRevision)
        : exitCodes.ok;
}

async function pollUntilInForce(options: StatusOptions, awaitedRevision: number): Promise<EntryResponse[] | undefined> {
    let revision = awaitedRevision;
    if (awaitedRevision === 0) {
        const current = await readCurrentDocument(options.store);
        if (current.isErr) {
            printError(results.storeUnreachable, current.error.reason);
            return undefined;
        }
        revision = current.value.accepted?.revision ?? 0;
    }
    const deadlineAt = performance.now() + options.timeoutMs;
    let responses = await fetchAllEntryStatuses(options.entries);
    while (!isInForce(responses, revision) && performance.now() < deadlineAt) {
        await sleep(pollIntervalMs);
        responses = await fetchAllEntryStatuses(options.entries);
    }
    return responses;
}

const isInForce = (responses: readonly EntryResponse[], revision: number): boolean =>
    responses.every(response => (response.status?.revision ?? -1) >= revision);

function reportNotInForce(responses: readonly EntryResponse[], revision: number): number {
    const behind = responses.filter(response => (response.status?.revision ?? -1) < revision)
        .map(response => `${response.url} has ${response.status?.revision ?? "no response"}`);
    printError(results.notInForce, behind.join("; "));
    return exitCodes.failed;
}

function formatStatus(responses: readonly EntryResponse[]): string {
    const entries = responses.map(({ url, status: entryStatus }) =>
        entryStatus === undefined
            ? ["?", url, "-", "no response", "-", "-"]
            : [
                entryStatus.dataCentre,
                url,
                String(entryStatus.revision),
                entryStatus.isLeaving ? "leaving" : entryStatus.configuration,
                String(entryStatus.inFlight),
                entryStatus.peers.filter(peer => peer.state === "alive").length + "/" +
                entryStatus.peers.filter(peer => peer.state !== "gone").length,
            ]
    ).sort((a, b) => a.join().localeCompare(b.join()));
    const targets = responses.flatMap(({ status: entryStatus }) => entryStatus === undefined ? [] : targetRows(entryStatus))
        .sort((a, b) => a.join().localeCompare(b.join()));
    return [
        formatTable({ headings: ["data centre", "entry", "revision", "state", "in flight", "peers alive"], rows: entries }),
        formatTable({
            headings: ["target", "service", "data centre", "state", "in flight", "slots", "median ms", "drained in ms"],
            rows: targets,
        }),
    ].join("\n\n");
}

/** Rows of the targets on which the entry holds slots or has requests in flight; its peers report the others. */
function targetRows(status: EntryStatus): string[][] {
    return status.services.flatMap(service =>
        service.targets
            .filter(target => target.allowance > 0 || target.inFlight > 0)
            .map(target => [
                target.target,
                service.service,
                status.dataCentre,
                target.state,
                String(target.inFlight),
                `${target.allowance}/${target.slots}`,
                target.medianMs?.toFixed(1) ?? "-",
                target.drainMs?.toFixed(0) ?? "-",
            ])
    );
}

/** Explains the look-up response that a caller gets, as computed by the first entry that responds. */
export async function explain(
    entries: readonly string[],
    caller: string,
    service: string | undefined,
    asJson: boolean,
): Promise<number> {
    const query = new URLSearchParams({ caller, ...(service === undefined ? {} : { service }) });
    for (const url of entries) {
        try {
            const response = await request(`${url}/v1/explain?${query}`);
            const explanation = await response.body.json() as Explanation;
            if (response.statusCode !== 200) {
                printError(results.badCaller, explanation.text ?? "");
                return exitCodes.failed;
            }
            print(asJson, explanation, formatExplanation(url, explanation));
            return exitCodes.ok;
        }
        catch {
            continue;
        }
    }
    printError(results.storeUnreachable, "none of the entries in the settings responded");
    return exitCodes.unreachable;
}

interface Explanation {
    readonly text?: string;
    readonly caller: string;
    readonly reason: string;
    readonly answer: { readonly dataCentre: string; readonly entries: readonly string[]; readonly revision: number; };
    readonly peers: EntryStatus["peers"];
    readonly services: EntryStatus["services"];
}

function formatExplanation(url: string, explanation: Explanation): string {
    const services = explanation.services.map(service =>
        `  ${service.service}: ${service.capacity} slots here, ${service.inFlight} in use, ${service.queued} waiting; targets `
        + service.targets.map(target => `${target.target} ${target.state}`).join(", ")
    );
    return [
        `caller ${explanation.caller} (reported by ${url}, revision ${explanation.answer.revision})`,
        `  data centre ${explanation.answer.dataCentre}: ${explanation.reason}`,
        `  entries in order of preference: ${explanation.answer.entries.join(", ")}`,
        `  peers: ${explanation.peers.map(peer => `${peer.url} ${peer.state}`).join(", ") || "none"}`,
        ...services,
    ].join("\n");
}
