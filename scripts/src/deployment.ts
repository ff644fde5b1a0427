/** Starts and stops a deployment of `playground/` as separate processes on loopback addresses. */
import { type Document } from "@pimentospring/core/document/schema";
import { validateDocument } from "@pimentospring/core/document/validate";
import type { LoadClass } from "@pimentospring/standin/load/load";
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { parse } from "smol-toml";
import { request } from "undici";

export interface EntryConfig {
    readonly dataCentre: string;
    readonly callers: string;
    readonly mesh: string;
}

/** Contents of `playground/<name>/deployment.toml`. */
export interface DeploymentFile {
    readonly platform: string;
    readonly entries: readonly EntryConfig[];
    readonly behaviour: readonly { readonly service: string; readonly meanMs: number; }[];
    readonly load: readonly LoadClass[];
}

export interface Program {
    readonly name: string;
    readonly process: ChildProcess;
    /** Log lines read so far. */
    readonly log: string[];
    /** Resolves to the exit code, or to the name of the signal that ended the process. */
    readonly exited: Promise<number | string>;
}

export interface Deployment {
    readonly file: DeploymentFile;
    readonly document: Document;
    readonly documentFile: string;
    readonly settingsFile: string;
    readonly platformUrl: string;
    startTarget(id: string): Promise<Program>;
    startEntry(config: EntryConfig): Promise<Program>;
    entry(mesh: string): Program;
    target(id: string): Program;
    /** Sets the instances that the platform stand-in lists. */
    setInstances(
        instances: readonly { readonly address: string; readonly dataCentre: string; readonly state: "live" | "leaving"; }[],
    ): Promise<void>;
    /** Runs the command-line client `pimento` with the deployment's settings. */
    runClient(...args: string[]): Promise<CommandResult>;
    /** Posts fault settings to the control interface of a stand-in. */
    setFaults(url: string, faults: Readonly<Record<string, unknown>>): Promise<void>;
    close(): Promise<void>;
}

export interface CommandResult {
    readonly code: number;
    readonly stdout: string;
    readonly stderr: string;
}

export interface DeploymentOptions {
    readonly name: string;
    /** Fraction of requests that entries trace. */
    readonly traceShare?: number;
}

const root = fileURLToPath(new URL("../../", import.meta.url));
const mainModule = (packageName: string): string => join(root, "packages", packageName, "dist", "main.js");
const startTimeoutMs = 10_000;
const pollIntervalMs = 30;
export const meshKey = "demo-key-of-sixteen-or-more";

export async function createDeployment(options: DeploymentOptions): Promise<Deployment> {
    const folder = join(root, "playground", options.name);
    const file = parse(readFileSync(join(folder, "deployment.toml"), "utf8")) as unknown as DeploymentFile;
    const documentFile = join(folder, "document.toml");
    const document = validateDocument(parse(readFileSync(documentFile, "utf8"))).unwrapOrElse(faults => {
        throw new Error(`${documentFile} is invalid: ${JSON.stringify(faults)}`);
    });
    const tempDir = mkdtempSync(join(tmpdir(), "pimento-"));
    const programs = new Map<string, Program>();
    const platformUrl = `http://${file.platform}`;

    const start = async (name: string, args: readonly string[], readyUrl: string): Promise<Program> => {
        const program = spawnProgram(name, args);
        programs.set(name, program);
        await waitUntilResponding(program, readyUrl);
        return program;
    };
    const startTarget = (id: string): Promise<Program> => {
        const target = document.targets.find(candidate => candidate.id === id)!;
        const meanMs = file.behaviour.find(entry => entry.service === target.service)?.meanMs ?? 5;
        const seed = document.targets.indexOf(target) + 1;
        const flags = [
            "--listen",
            target.address,
            "--slots",
            String(target.slots),
            "--mean",
            String(meanMs),
            "--seed",
            String(seed),
        ];
        return start(id, [mainModule("standin"), "target", ...flags], `http://${target.address}/health`);
    };
    const startEntry = (config: EntryConfig): Promise<Program> => {
        const settingsPath = join(tempDir, `${config.mesh.replace(":", "-")}.toml`);
        writeFileSync(settingsPath, formatEntrySettings(config, file, platformUrl, options.traceShare ?? 0));
        return start(config.mesh, [mainModule("entry"), settingsPath], `http://${config.callers}/healthz`);
    };
    const setFaults = async (url: string, faults: Readonly<Record<string, unknown>>): Promise<void> => {
        const response = await request(`${url}/control`, { method: "POST", body: JSON.stringify(faults) });
        await response.body.dump();
    };
    // Orphaned processes would keep the fixed addresses bound and make the next run fail.
    process.once("exit", () => programs.forEach(program => program.process.kill("SIGKILL")));
    await start("platform", [mainModule("standin"), "platform", "--listen", file.platform], `${platformUrl}/counts`);
    return {
        file,
        document,
        documentFile,
        settingsFile: join(folder, "pimento.toml"),
        platformUrl,
        startTarget,
        startEntry,
        entry: mesh => programs.get(mesh)!,
        target: id => programs.get(id)!,
        setInstances: instances => setFaults(platformUrl, { instances }),
        runClient: (...args) => runCommand([mainModule("client"), ...args, "--settings", join(folder, "pimento.toml")]),
        setFaults,
        close: async () => {
            for (const program of programs.values()) {
                program.process.kill("SIGCONT");
                program.process.kill("SIGKILL");
            }
            await Promise.all([...programs.values()].map(program => program.exited));
            rmSync(tempDir, { recursive: true });
        },
    };
}

/** Starts all targets, registers the entries with the platform stand-in and starts them. */
export async function startDeployment(deployment: Deployment): Promise<void> {
    const { document, file } = deployment;
    await Promise.all(document.targets.map(target => deployment.startTarget(target.id)));
    await deployment.setInstances(
        file.entries.map(entry => ({ address: entry.mesh, dataCentre: entry.dataCentre, state: "live" })),
    );
    await Promise.all(file.entries.map(deployment.startEntry));
}

function formatEntrySettings(config: EntryConfig, file: DeploymentFile, platformUrl: string, traceShare: number): string {
    const seeds = file.entries.filter(entry => entry.dataCentre === config.dataCentre && entry.mesh !== config.mesh);
    return [
        `dataCentre = "${config.dataCentre}"`,
        "[callers]",
        `listen = "${config.callers}"`,
        "[mesh]",
        `listen = "${config.mesh}"`,
        `key = "${meshKey}"`,
        `seeds = [${seeds.map(entry => `"${entry.mesh}"`).join(", ")}]`,
        "[platform]",
        `store = "${platformUrl}"`,
        `instances = "${platformUrl}/instances"`,
        ...(traceShare > 0 ? ["[traces]", `endpoint = "${platformUrl}/v1/traces"`, `share = ${traceShare}`] : []),
        "",
    ].join("\n");
}

function spawnProgram(name: string, args: readonly string[]): Program {
    const child = spawn(process.execPath, args, { stdio: ["ignore", "ignore", "pipe"] });
    const log: string[] = [];
    let partialLine = "";
    child.stderr!.on("data", chunk => {
        const lines = (partialLine + String(chunk)).split("\n");
        partialLine = lines.pop()!;
        log.push(...lines);
    });
    const exited = new Promise<number | string>(resolve => {
        child.on("exit", (code, signal) => resolve(code ?? signal ?? "unknown"));
    });
    return { name, process: child, log, exited };
}

async function waitUntilResponding(program: Program, url: string): Promise<void> {
    const giveUpAt = performance.now() + startTimeoutMs;
    while (performance.now() < giveUpAt && program.process.exitCode === null) {
        try {
            const response = await request(url);
            await response.body.dump();
            return;
        }
        catch {
            await sleep(pollIntervalMs);
        }
    }
    throw new Error(`${program.name} did not answer ${url} within ${startTimeoutMs} ms or exited: ${program.log.join("\n")}`);
}

function runCommand(args: readonly string[]): Promise<CommandResult> {
    const child = spawn(process.execPath, args, { stdio: ["ignore", "pipe", "pipe"] });
    let stdout = "";
    let stderr = "";
    child.stdout.on("data", chunk => {
        stdout += String(chunk);
    });
    child.stderr.on("data", chunk => {
        stderr += String(chunk);
    });
    return new Promise(resolve => child.on("close", code => resolve({ code: code ?? -1, stdout, stderr })));
}
