/** Steering daemons as processes, with stand-ins for the platform's store and targets, for end-to-end tests. */
import { createOperator, type Operator, standinHost, type TargetItem } from "@pimentospring/standin/direct/operatorStandin";
import { startStoreStandin, type StoreStandin } from "@pimentospring/standin/direct/storeStandin";
import { startTargetStandin, type TargetStandin } from "@pimentospring/standin/direct/targetStandin";
import assert from "node:assert/strict";
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { request } from "undici";

const daemonMain = fileURLToPath(new URL("../../../platform/dist/start.js", import.meta.url));
const firstPort = 17_410;
const listeners = ["callers", "readiness", "directory", "control", "mesh", "metrics"] as const;
/** Ends only a run that would otherwise hang. */
const giveUpMs = 30_000;

export interface Daemon {
    readonly host: string;
    readonly child: ChildProcess;
    readonly exited: Promise<number | null>;
    log: string;
}

export interface ClientResponse {
    readonly status: number;
    readonly code: number;
    readonly text: string;
    readonly retryAfter: number;
}

export interface SteeringFleet {
    readonly store: StoreStandin;
    readonly operator: Operator;
    readonly targets: readonly TargetStandin[];
    /** All daemons that were started, in order. */
    readonly daemons: Daemon[];
    startDaemon(host: string): Daemon;
    writeSettings(host: string, ...extraLines: readonly string[]): void;
    announceTarget(index: number, fields?: Partial<TargetItem>): void;
    /** Puts routes with these prefixes in force; those under `/order/` are at-most-once. */
    applyConfiguration(version: number, prefixes: readonly string[]): void;
    close(): void;
}

export const addressOf = (daemon: Daemon, listener: typeof listeners[number]): string =>
    `${daemon.host}:${firstPort + listeners.indexOf(listener)}`;

export const fetchIsReady = async (daemon: Daemon): Promise<boolean> =>
    (await request(`http://${addressOf(daemon, "readiness")}/readiness`)).statusCode === 200;

export async function resolveAddresses(daemon: Daemon): Promise<string[]> {
    const response = await request(`http://${addressOf(daemon, "directory")}/resolve?name=a&region=cpt&zone=cpt-a`);
    return ((await response.body.json()) as { readonly addresses: string[]; }).addresses;
}

export async function send(daemon: Daemon, path: string, id: string, method: "GET" | "POST" = "GET"): Promise<ClientResponse> {
    const response = await request(`http://${addressOf(daemon, "callers")}${path}`, {
        method,
        headers: { "host": standinHost, "x-request-id": id, "x-deadline-ms": "3000" },
    });
    return {
        status: response.statusCode,
        code: Number(response.headers["x-pimento-result"]),
        text: await response.body.text(),
        retryAfter: Number(response.headers["retry-after"]),
    };
}

/** Polls until a condition holds. */
export async function waitUntil(description: string, condition: () => boolean | Promise<boolean>): Promise<void> {
    const giveUpAt = performance.now() + giveUpMs;
    for (;;) {
        const isMet = await Promise.resolve().then(condition).catch(() => false);
        if (isMet) {
            return;
        }
        assert.ok(performance.now() < giveUpAt, `timed out waiting until ${description}`);
        await sleep(40);
    }
}

/** Starts two daemons and two targets on addresses of the loopback network, and waits until both daemons serve. */
export async function startSteeringFleet(network: string): Promise<SteeringFleet> {
    const settingsDir = mkdtempSync(join(tmpdir(), "pimento-platform-"));
    const hosts = [`${network}.1`, `${network}.2`];
    const store = await startStoreStandin(`${network}.9`);
    const operator = createOperator(store);
    const targets = [
        await startTargetStandin({ host: `${network}.10`, id: "t0", slots: 4 }),
        await startTargetStandin({ host: `${network}.11`, id: "t1", slots: 4 }),
    ];
    const daemons: Daemon[] = [];
    const settingsPath = (host: string): string => join(settingsDir, `${host}.toml`);
    const fleet: SteeringFleet = {
        store,
        operator,
        targets,
        daemons,
        writeSettings: (host, ...extraLines) => {
            const listenLines = listeners.map((name, index) => `${name} = "${host}:${firstPort + index}"`);
            const topLines = [`name = "${host}"`, "dataCentre = \"cpt-a\"", "region = \"cpt\"", `store = "${store.address}"`];
            const seeds = `seeds = [${hosts.map(seed => `"${seed}:${firstPort + listeners.indexOf("control")}"`).join(", ")}]`;
            const lines = [...topLines, seeds, "[listen]", ...listenLines, "[regions]", "cpt-a = \"cpt\"", ...extraLines];
            writeFileSync(settingsPath(host), lines.join("\n"));
        },
        startDaemon: host => {
            fleet.writeSettings(host);
            const child = spawn(process.execPath, [daemonMain], {
                env: { PATH: process.env["PATH"], PIMENTOSPRING_CONFIG: settingsPath(host) },
                stdio: ["ignore", "pipe", "inherit"],
            });
            const exited = new Promise<number | null>(resolve => child.once("exit", resolve));
            const daemon: Daemon = { host, child, exited, log: "" };
            child.stdout.on("data", chunk => {
                daemon.log += String(chunk);
            });
            daemons.push(daemon);
            return daemon;
        },
        announceTarget: (index, fields = {}) =>
            operator.announce({
                id: `t${index}`,
                service: "s",
                address: targets[index]?.address ?? targets[0]!.address,
                dataCentre: "cpt-a",
                slots: 4,
                isDraining: false,
                startedAt: 1,
                ...fields,
            }),
        applyConfiguration: (version, prefixes) =>
            operator.configure(
                version,
                prefixes.map(prefix => ({
                    prefix,
                    isIdempotent: prefix !== "/order/",
                    parts: { s: 1 },
                    timeoutMs: 1_500,
                    objectiveMs: 500,
                })),
            ),
        close: () => {
            daemons.forEach(daemon => daemon.child.kill("SIGKILL"));
            targets.forEach(target => target.close());
            store.close();
        },
    };
    fleet.applyConfiguration(3, ["/look/", "/order/"]);
    fleet.announceTarget(0);
    fleet.announceTarget(1);
    hosts.forEach(fleet.startDaemon);
    for (const daemon of daemons) {
        await waitUntil(`${daemon.host} is ready`, () => fetchIsReady(daemon));
        await waitUntil(`${daemon.host} knows both entries`, async () => (await resolveAddresses(daemon)).length === 2);
        await waitUntil(`${daemon.host} reaches a target`, async () => (await send(daemon, "/look/1", "first")).status === 200);
    }
    return fleet;
}
