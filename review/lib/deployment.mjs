/** A small deployment: daemons as processes, the operator's items, and the record of what was seen. */
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { get } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { startStore } from "./store.mjs";

const root = fileURLToPath(new URL("../..", import.meta.url));
const listeners = ["callers", "readiness", "directory", "control", "mesh", "metrics"];
const regions = { "cpt-a": "cpt", "cpt-b": "cpt" };

/** The case could not run; this says nothing of the rule. */
export class CannotRun extends Error {}

function createRecord(file) {
    const startedAt = performance.now();
    writeFileSync(file, "");
    return (...words) => {
        const seconds = ((performance.now() - startedAt) / 1_000).toFixed(3).padStart(8);
        appendFileSync(file, `${seconds} ${words.join(" ")}\n`);
    };
}

export async function waitUntil(what, condition, limitMs = 20_000) {
    const endAt = performance.now() + limitMs;
    while (!await condition()) {
        if (performance.now() > endAt) {
            throw new CannotRun(`timed out: ${what}`);
        }
        await sleep(20);
    }
}

/** Ports that are free on a host; the probes are open together, so that all differ. */
async function freePorts(host, count) {
    const probes = [];
    for (let index = 0; index < count; index++) {
        const probe = createServer();
        await new Promise((resolve, reject) => probe.once("error", reject).listen(0, host, resolve));
        probes.push(probe);
    }
    const ports = probes.map(probe => probe.address().port);
    await Promise.all(probes.map(probe => new Promise(resolve => probe.close(resolve))));
    return ports;
}

export const getStatus = url =>
    new Promise(resolve => {
        get(url, { agent: false }, response => {
            response.resume();
            resolve(response.statusCode);
        }).on("error", () => resolve(0));
    });

/** The command of the deploy file. */
function daemonCommand() {
    const [, run] = /^run = "(.*)"$/m.exec(readFileSync(join(root, "deploy/system.toml"), "utf8"));
    const [program, ...words] = run.split(" ");
    return { program: program === "node" ? process.execPath : program, words };
}

export async function createDeployment(record) {
    const folder = mkdtempSync(join(tmpdir(), "pimento-review-"));
    const store = await startStore("127.41.0.9");
    const daemons = [];
    process.on("exit", () => {
        daemons.filter(({ hasEnded }) => !hasEnded).forEach(({ child }) => child.kill("SIGKILL"));
        rmSync(folder, { recursive: true, force: true });
    });
    const deployment = {
        store,
        daemons,
        /** Starts a daemon with settings as `deploy/settings.toml` gives them. */
        startDaemon: async (name, host, zone) => {
            const ports = await freePorts(host, listeners.length);
            const file = join(folder, `${name}.toml`);
            const addresses = Object.fromEntries(listeners.map((listener, index) => [listener, `${host}:${ports[index]}`]));
            const seeds = [addresses, ...daemons.map(daemon => daemon.addresses)].map(({ control }) => control).slice(0, 3);
            writeFileSync(
                file,
                [
                    `name = "${name}"`,
                    `dataCentre = "${zone}"`,
                    `region = "${regions[zone]}"`,
                    `store = "${store.address}"`,
                    `seeds = ${JSON.stringify(seeds)}`,
                    "[listen]",
                    ...Object.entries(addresses).map(([listener, address]) => `${listener} = "${address}"`),
                    "[regions]",
                    ...Object.entries(regions).map(([known, region]) => `${known} = "${region}"`),
                    "[bounds]",
                    "retryRatio = 0.2",
                    "retrySlack = 56",
                    "retryWindow = \"10s\"",
                    "coldOvershoot = 1.5",
                    "coldSlack = 5",
                    "regionShift = 0.15",
                    "stopGrace = \"6s\"",
                    "",
                ].join("\n"),
            );
            const { program, words } = daemonCommand();
            const child = spawn(program, words, {
                cwd: root,
                env: { PATH: process.env.PATH, HOME: process.env.HOME, PIMENTOSPRING_CONFIG: file },
                stdio: ["ignore", "pipe", "pipe"],
            });
            const daemon = { name, addresses, child, log: "", hasEnded: false };
            [child.stdout, child.stderr].forEach(stream =>
                stream.on("data", chunk => {
                    daemon.log += String(chunk);
                })
            );
            child.once("exit", (code, signal) => {
                daemon.hasEnded = true;
                record("daemon", name, "ended", `code=${code} signal=${signal}`);
            });
            daemons.push(daemon);
            record("daemon", name, "started, zone", zone);
            return daemon;
        },
        waitUntilReady: async () => {
            for (const { name, addresses, child } of daemons) {
                await waitUntil(`${name} is ready`, async () => {
                    if (child.exitCode !== null) {
                        throw new CannotRun(`${name} ended at its start`);
                    }
                    return await getStatus(`http://${addresses.readiness}/readiness`) === 200;
                });
            }
        },
        signal: (daemon, name) => {
            record("signal", name, "to", daemon.name);
            daemon.child.kill(name);
        },
        close: async () => {
            daemons.filter(({ hasEnded }) => !hasEnded).forEach(({ child }) => child.kill("SIGKILL"));
            await waitUntil("all daemons have ended", () => daemons.every(({ hasEnded }) => hasEnded));
            store.close();
        },
    };
    return deployment;
}

/** A configuration as the operator writes it; a route has `prefix`, `kind`, `service`, `timeout` and `targetLatency`. */
export const configuration = (version, host, routes, services) => ({
    version,
    resources: [
        ...routes.map(({ prefix, ...rest }) => ({
            resourceKind: "routes",
            metadata: { name: `r${prefix.replaceAll("/", "-")}` },
            specification: { host, prefix, priority: 1, attempts: 2, stickySessions: false, homeRegions: [], ...rest },
        })),
        ...services.map(name => ({
            resourceKind: "services",
            metadata: { name },
            specification: { healthCheckPath: "/health", connectionLimit: 330, coldStart: "3s", coldPerS: 5.8 },
        })),
        {
            resourceKind: "limits",
            metadata: { name: "limits" },
            specification: { headerBytes: 16_384, bodyBytes: 1_048_576, headerTimeout: "3s", idleTimeout: "15s" },
        },
    ],
});

/** Exit status of a case. */
const statuses = { held: 0, broken: 1, couldNotRun: 2 };
const maxDurationMs = 110_000;

/**
 * Plays a case and ends this process. `recordFile` gets what was sent, answered and run; `run` resolves to the violations of
 * the rule. Whatever else goes wrong means that the case could not run.
 */
export async function play({ recordFile, hasTrouble, run }) {
    const record = createRecord(recordFile);
    const giveUp = reason => {
        record("could not run:", reason);
        process.exit(statuses.couldNotRun);
    };
    process.on("uncaughtException", error => giveUp(error.stack));
    process.on("unhandledRejection", error => giveUp(String(error)));
    ["SIGTERM", "SIGINT"].forEach(signal => process.on(signal, () => giveUp(signal)));
    setTimeout(() => giveUp("the case took too long"), maxDurationMs);
    record(hasTrouble ? "with" : "without", "the disruption");
    const deployment = await createDeployment(record);
    let violations;
    try {
        violations = await run(deployment, record);
    }
    catch (error) {
        deployment.daemons.forEach(({ name, log }) => record(name, "log ends with", log.slice(-2_000)));
        giveUp(error.stack);
    }
    violations.forEach(text => record("BROKEN", text));
    record(violations.length === 0 ? "the rule held" : `the rule was broken ${violations.length} times`);
    await deployment.close();
    process.exit(violations.length === 0 ? statuses.held : statuses.broken);
}
