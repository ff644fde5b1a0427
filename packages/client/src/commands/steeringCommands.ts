/** Commands that ask steering entries on the users' platform, over their control addresses. */
import { results } from "@pimentospring/core/results/resultCode";
import type { RouteExplanation, ServiceStatus, SteeringStatus } from "@pimentospring/core/steering/steeringStatus";
import { exitCodes, printError } from "@pimentospring/runtime/program/program";
import { request } from "undici";
import { formatTable, print } from "../output/output.js";

const askMs = 2_000;

async function ask<Body>(control: string, path: string): Promise<Body | undefined> {
    try {
        const answer = await request(`http://${control}${path}`, { signal: AbortSignal.timeout(askMs) });
        return await answer.body.json() as Body;
    }
    catch (error) {
        printError(results.entryUnreachable, `${control}: ${(error as Error).message}`);
        return undefined;
    }
}

/** Prints the status of the entry at a control address and of all that it takes to live. */
export async function steeringStatus(control: string, asJson: boolean): Promise<number> {
    const first = await ask<SteeringStatus>(control, "/status");
    if (first === undefined) {
        return exitCodes.unreachable;
    }
    const others = await Promise.all(first.entries.map(entry => ask<SteeringStatus>(entry.control, "/status")));
    const all = [first, ...others.filter(status => status !== undefined)];
    all.sort((a, b) => a.instance.localeCompare(b.instance));
    print(asJson, all, formatStatus(all));
    return others.includes(undefined) ? exitCodes.unreachable : exitCodes.ok;
}

/** Prints how the entry at a control address would treat a request. */
export async function explainRoute(control: string, host: string, path: string, asJson: boolean): Promise<number> {
    const query = new URLSearchParams({ host, path });
    const found = await ask<RouteExplanation>(control, `/explain?${query}`);
    if (found === undefined) {
        return exitCodes.unreachable;
    }
    print(asJson, found, formatExplanation(found, host, path));
    return found.route === undefined ? exitCodes.failed : exitCodes.ok;
}

function formatStatus(all: readonly SteeringStatus[]): string {
    const entries = all.map(status => [
        status.instance,
        status.dataCentre,
        String(status.version),
        String(status.revision),
        status.isLeaving ? "leaving" : status.isWatching ? "watches" : "told by others",
        String(status.inFlight),
        String(status.entries.length),
    ]);
    const services = all.flatMap(status => status.services.map(service => serviceRow(status, service)));
    return [
        formatTable({ headings: ["entry", "data centre", "version", "revision", "store", "in flight", "others"], rows: entries }),
        "",
        formatTable({
            headings: ["entry", "service", "waiting", "load", "served far", "targets", "not serving", "agreed elsewhere"],
            rows: services,
        }),
    ].join("\n");
}

function serviceRow(status: SteeringStatus, service: ServiceStatus): string[] {
    const out = service.targets.filter(target => target.state !== "serving").map(target => `${target.id} ${target.state}`);
    return [
        status.instance,
        service.service,
        String(service.waiting),
        String(service.load),
        `${Math.round(100 * service.farShare)}%`,
        String(service.targets.length),
        out.join(", ") || "-",
        service.agreedElsewhere || "-",
    ];
}

function formatExplanation(found: RouteExplanation, host: string, path: string): string {
    if (found.route === undefined) {
        return `${host}${path}: no route in version ${found.version}`;
    }
    const parts = found.parts.map(part => `${part.service} (weight ${part.weight}, ${part.targets} targets)`).join(", ");
    return [
        `${host}${path}: route ${found.route} (${found.prefix}) of version ${found.version}`,
        `may run more than once: ${found.isIdempotent ? "yes" : "no"}; at most ${found.attempts} targets`,
        `answered within ${found.timeoutMs} ms, in time within ${found.objectiveMs} ms`,
        `goes to ${parts}`,
        `homes: ${found.homes.join(", ") || "all regions"}`,
    ].join("\n");
}
