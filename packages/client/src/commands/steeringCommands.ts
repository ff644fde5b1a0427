/** Commands that query steering entries on the users' platform through their control addresses. */
import { results } from "@pimentospring/core/results/resultCode";
import type { RouteExplanation, ServiceStatus, SteeringStatus } from "@pimentospring/core/steering/steeringStatus";
import { exitCodes, printError } from "@pimentospring/runtime/program/program";
import { request } from "undici";
import { formatTable, print } from "../output/output.js";

const requestTimeoutMs = 2_000;

async function getJson<Body>(control: string, path: string): Promise<Body | undefined> {
    try {
        const response = await request(`http://${control}${path}`, { signal: AbortSignal.timeout(requestTimeoutMs) });
        return await response.body.json() as Body;
    }
    catch (error) {
        printError(results.entryUnreachable, `${control}: ${(error as Error).message}`);
        return undefined;
    }
}

/** Prints the status of the entry at a control address and of every entry that it considers alive. */
export async function showSteeringStatus(control: string, asJson: boolean): Promise<number> {
    const first = await getJson<SteeringStatus>(control, "/status");
    if (first === undefined) {
        return exitCodes.unreachable;
    }
    const others = await Promise.all(first.entries.map(entry => getJson<SteeringStatus>(entry.control, "/status")));
    const statuses = [first, ...others.filter(status => status !== undefined)];
    statuses.sort((a, b) => a.instance.localeCompare(b.instance));
    print(asJson, statuses, formatStatus(statuses));
    return others.includes(undefined) ? exitCodes.unreachable : exitCodes.ok;
}

/** Prints how the entry at a control address would route a request. */
export async function explainRoute(control: string, host: string, path: string, asJson: boolean): Promise<number> {
    const query = new URLSearchParams({ host, path });
    const explanation = await getJson<RouteExplanation>(control, `/explain?${query}`);
    if (explanation === undefined) {
        return exitCodes.unreachable;
    }
    print(asJson, explanation, formatExplanation(explanation, host, path));
    return explanation.route === undefined ? exitCodes.failed : exitCodes.ok;
}

function formatStatus(statuses: readonly SteeringStatus[]): string {
    const entries = statuses.map(status => [
        status.instance,
        status.dataCentre,
        String(status.version),
        String(status.revision),
        storeState(status),
        String(status.inFlight),
        String(status.entries.length),
    ]);
    const faults = statuses.flatMap(status =>
        status.documentFaults.map(({ resource, reason, effect }) => [status.instance, resource, reason, effect])
    );
    const services = statuses.flatMap(status => status.services.map(service => serviceRow(status, service)));
    return [
        formatTable({ headings: ["entry", "data centre", "version", "revision", "store", "in flight", "others"], rows: entries }),
        "",
        formatTable({
            headings: ["entry", "service", "waiting", "load", "served remotely", "targets", "not serving", "agreed elsewhere"],
            rows: services,
        }),
        ...(faults.length === 0
            ? []
            : ["", formatTable({ headings: ["entry", "can't be read", "reason", "effect"], rows: faults })]),
    ].join("\n");
}

function storeState({ isLeaving, isWatching, freshness }: SteeringStatus): string {
    if (isLeaving) {
        return "leaving";
    }
    const source = isWatching ? "watches" : "follows peers";
    const staleMs = freshness?.staleMs ?? 0;
    return staleMs === 0 ? source : `${source}, stale for ${(staleMs / 1_000).toFixed(1)} s`;
}

function serviceRow(status: SteeringStatus, service: ServiceStatus): string[] {
    const notServing = service.targets.filter(target => target.state !== "serving").map(target => `${target.id} ${target.state}`);
    return [
        status.instance,
        service.service,
        String(service.waiting),
        String(service.load),
        `${Math.round(100 * service.farShare)}%`,
        String(service.targets.length),
        notServing.join(", ") || "-",
        service.agreedElsewhere || "-",
    ];
}

function formatExplanation(explanation: RouteExplanation, host: string, path: string): string {
    if (explanation.route === undefined) {
        return explanation.isUnreadable
            ? `${host}${path}: refused, its route in version ${explanation.version} can't be read; see pimento steering`
            : `${host}${path}: no route in version ${explanation.version}`;
    }
    const services = explanation.parts
        .map(({ service, weight, targets }) => `${service} (weight ${weight}, ${targets} targets)`)
        .join(", ");
    return [
        `${host}${path}: route ${explanation.route} (${explanation.prefix}) of version ${explanation.version}`,
        `may run more than once: ${explanation.isIdempotent ? "yes" : "no"}; at most ${explanation.attempts} targets`,
        `timeout ${explanation.timeoutMs} ms, latency objective ${explanation.objectiveMs} ms`,
        `services: ${services}`,
        `home regions: ${explanation.homes.join(", ") || "all"}`,
    ].join("\n");
}
