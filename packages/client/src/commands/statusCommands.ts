/** Commands that ask the entries: status and explain. */
import type { EntryStatus } from "@pimentospring/core/entryStatus";
import { results } from "@pimentospring/core/results/resultCode";
import { readCurrentDocument } from "@pimentospring/runtime/platform/changes";
import type { Store } from "@pimentospring/runtime/platform/store";
import { exitCodes, printError } from "@pimentospring/runtime/program/program";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { formatTable, print } from "../output/output.js";
import { askEntries, type EntryAnswer } from "./entries.js";

export interface StatusOptions {
    readonly store: Store;
    readonly entries: readonly string[];
    readonly asJson: boolean;
    /** Waits until this revision (or, with 0, the one in the store) is in force everywhere. */
    readonly wait: number | undefined;
    readonly timeoutMs: number;
}

const askAgainMs = 200;

export async function status(options: StatusOptions): Promise<number> {
    const answers = options.wait === undefined ? await askEntries(options.entries) : await waitFor(options, options.wait);
    if (answers === undefined) {
        return exitCodes.unreachable;
    }
    print(options.asJson, answers, formatStatus(answers));
    if (answers.every(answer => answer.status === undefined)) {
        printError(results.storeUnreachable, "no entry answers");
        return exitCodes.unreachable;
    }
    const wanted = options.wait;
    return wanted !== undefined && !isInForce(answers, wanted) ? notInForce(answers, wanted) : exitCodes.ok;
}

async function waitFor(options: StatusOptions, wanted: number): Promise<EntryAnswer[] | undefined> {
    let revision = wanted;
    if (wanted === 0) {
        const current = await readCurrentDocument(options.store);
        if (current.isErr) {
            printError(results.storeUnreachable, current.error.reason);
            return undefined;
        }
        revision = current.value.accepted?.revision ?? 0;
    }
    const endAt = performance.now() + options.timeoutMs;
    let answers = await askEntries(options.entries);
    while (!isInForce(answers, revision) && performance.now() < endAt) {
        await sleep(askAgainMs);
        answers = await askEntries(options.entries);
    }
    return answers;
}

const isInForce = (answers: readonly EntryAnswer[], revision: number): boolean =>
    answers.every(answer => (answer.status?.revision ?? -1) >= revision);

function notInForce(answers: readonly EntryAnswer[], revision: number): number {
    const behind = answers.filter(answer => (answer.status?.revision ?? -1) < revision)
        .map(answer => `${answer.url} has ${answer.status?.revision ?? "no answer"}`);
    printError(results.notInForce, behind.join("; "));
    return exitCodes.failed;
}

function formatStatus(answers: readonly EntryAnswer[]): string {
    const entries = answers.map(({ url, status: found }) =>
        found === undefined
            ? ["?", url, "-", "no answer", "-", "-"]
            : [
                found.dataCentre,
                url,
                String(found.revision),
                found.isLeaving ? "leaving" : found.configuration,
                String(found.inFlight),
                found.peers.filter(peer => peer.state === "alive").length + "/" +
                found.peers.filter(peer => peer.state !== "gone").length,
            ]
    ).sort((a, b) => a.join().localeCompare(b.join()));
    const targets = answers.flatMap(({ status: found }) => found === undefined ? [] : targetRows(found))
        .sort((a, b) => a.join().localeCompare(b.join()));
    return [
        formatTable({ headings: ["data centre", "entry", "revision", "state", "in flight", "peers alive"], rows: entries }),
        formatTable({
            headings: ["target", "service", "data centre", "state", "in flight", "slots", "median ms", "drained in ms"],
            rows: targets,
        }),
    ].join("\n\n");
}

/** Rows of the targets that the entry owns; the other rows are its neighbours'. */
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

/** Says why a caller would get the answer it gets. */
export async function explain(
    entries: readonly string[],
    caller: string,
    service: string | undefined,
    asJson: boolean,
): Promise<number> {
    const query = new URLSearchParams({ caller, ...(service === undefined ? {} : { service }) });
    for (const url of entries) {
        try {
            const answer = await request(`${url}/v1/explain?${query}`);
            const found = await answer.body.json() as Explanation;
            if (answer.statusCode !== 200) {
                printError(results.badCaller, found.text ?? "");
                return exitCodes.failed;
            }
            print(asJson, found, formatExplanation(url, found));
            return exitCodes.ok;
        }
        catch {
            continue;
        }
    }
    printError(results.storeUnreachable, "no entry of the settings answers");
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

function formatExplanation(url: string, found: Explanation): string {
    const services = found.services.map(service =>
        `  ${service.service}: ${service.capacity} slots here, ${service.inFlight} in use, ${service.queued} waiting; targets `
        + service.targets.map(target => `${target.target} ${target.state}`).join(", ")
    );
    return [
        `caller ${found.caller} (asked ${url}, revision ${found.answer.revision})`,
        `  data centre ${found.answer.dataCentre}: ${found.reason}`,
        `  entries in order: ${found.answer.entries.join(", ")}`,
        `  peers: ${found.peers.map(peer => `${peer.url} ${peer.state}`).join(", ") || "none"}`,
        ...services,
    ].join("\n");
}
