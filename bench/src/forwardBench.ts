/** `npm run bench -- forward`: throughput and latency of an entry, compared with a bare handler and a minimal forwarder. */
import { submitChange } from "@pimentospring/runtime/platform/changes";
import { createStore } from "@pimentospring/runtime/platform/store";
import { createPlatform } from "@pimentospring/standin/platform/platform";
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { request } from "undici";
import { medianOf, printTable } from "./report.js";

/** Result of one load run; a loader process prints it as JSON. */
interface Sample {
    readonly perSecond: number;
    readonly failed: number;
    readonly p50Micros: number;
    readonly p99Micros: number;
}

const ports = { platform: 24790, entry: 24800, mesh: 24801, bare: 24810, target: 24811, thin: 24812 };
const resolvePath = (name: string): string => fileURLToPath(new URL(name, import.meta.url));
const localUrl = (port: number): string => `http://127.0.0.1:${port}`;
const loaderCount = 2;
const connectionsPerLoader = 16;
const durationMs = 2_000;
const rounds = 2;

const document = {
    schema: 1,
    regions: [{ id: "r", dataCentres: [{ id: "r-a", entries: 1 }] }],
    services: [{
        id: "s",
        regions: ["r"],
        classes: [{ id: "get", methods: ["GET"], pathPrefix: "/", runs: "idempotent", lane: "short", deadlineMs: 10_000 }],
    }],
    targets: [{ id: "t", service: "s", dataCentre: "r-a", address: `127.0.0.1:${ports.target}`, slots: 1_000 }],
    callerBlocks: [{ prefix: "10.0.0.0/8", dataCentre: "r-a" }],
};

export async function forwardBench(): Promise<void> {
    const platform = await createPlatform({ host: "127.0.0.1", port: ports.platform });
    platform.setFaults({ instances: [{ address: `127.0.0.1:${ports.mesh}`, dataCentre: "r-a", state: "live" }] });
    const store = createStore(platform.url, 1_000);
    await submitChange(store, { by: "bench", at: 0, basedOn: undefined, edit: () => document });
    const tempDir = mkdtempSync(join(tmpdir(), "pimento-bench-"));
    const programs: ChildProcess[] = [];
    const start = (...args: readonly string[]): void => {
        programs.push(spawn(process.execPath, args, { stdio: "ignore" }));
    };
    try {
        const settingsPath = join(tempDir, "entry.toml");
        writeFileSync(settingsPath, formatEntrySettings(platform.url));
        start(resolvePath("../../packages/entry/dist/main.js"), settingsPath);
        start(resolvePath("fixture.js"), "bare", String(ports.target), "{\"work\":\"bench\",\"received\":0}");
        start(resolvePath("fixture.js"), "thin", String(ports.thin), localUrl(ports.target));
        const lookup = `${localUrl(ports.entry)}/v1/lookup?caller=10.1.2.3`;
        const lookupBody = await waitUntilResponding(lookup);
        start(resolvePath("fixture.js"), "bare", String(ports.bare), lookupBody);
        await Promise.all([
            waitUntilResponding(localUrl(ports.bare)),
            waitUntilResponding(`${localUrl(ports.entry)}/s/s/x`),
            waitUntilResponding(`${localUrl(ports.thin)}/s/s/x`),
        ]);
        await measure(lookup);
    }
    finally {
        programs.forEach(program => program.kill("SIGKILL"));
        await store.close();
        await platform.close();
        rmSync(tempDir, { recursive: true });
    }
}

const formatEntrySettings = (platformUrl: string): string =>
    [
        "dataCentre = \"r-a\"",
        "[callers]",
        `listen = "127.0.0.1:${ports.entry}"`,
        "[mesh]",
        `listen = "127.0.0.1:${ports.mesh}"`,
        "key = \"bench-key-of-sixteen\"",
        "[platform]",
        `store = "${platformUrl}"`,
        `instances = "${platformUrl}/instances"`,
    ].join("\n");

async function measure(lookup: string): Promise<void> {
    const cases = {
        "bare handler": localUrl(ports.bare),
        "look-up": lookup,
        "target directly": `${localUrl(ports.target)}/x`,
        "thin forwarder": `${localUrl(ports.thin)}/s/s/x`,
        "entry": `${localUrl(ports.entry)}/s/s/x`,
    };
    const samples = new Map<string, Sample[]>(Object.keys(cases).map(name => [name, []]));
    const sequentialSamples = new Map<string, Sample[]>(Object.keys(cases).map(name => [name, []]));
    for (let round = 0; round < rounds; round++) {
        for (const [name, url] of Object.entries(cases)) {
            samples.get(name)!.push(await runLoaders(url, loaderCount, connectionsPerLoader));
            sequentialSamples.get(name)!.push(await runLoaders(url, 1, 1));
        }
    }
    const medianRate = (name: string): number => medianOf(samples.get(name)!.map(sample => sample.perSecond));
    const medianLatencyMicros = (name: string): number => medianOf(sequentialSamples.get(name)!.map(sample => sample.p50Micros));
    printTable(
        ["case", "per second", "p50 us, one at a time", "failed"],
        Object.keys(cases).map(name => [
            name,
            medianRate(name).toFixed(0),
            medianLatencyMicros(name).toFixed(0),
            String(samples.get(name)!.reduce((sum, sample) => sum + sample.failed, 0)),
        ]),
    );
    printTable(["ratio", "measured", "aim"], [
        ["look-ups against a bare handler", (medianRate("look-up") / medianRate("bare handler")).toFixed(2), "0.8 or more"],
        ["forwarded against the thin forwarder", (medianRate("entry") / medianRate("thin forwarder")).toFixed(2), "0.7 or more"],
        [
            "added median against the target directly",
            `${((medianLatencyMicros("entry") - medianLatencyMicros("target directly")) / 1000).toFixed(2)} ms`,
            "under 1 ms",
        ],
    ]);
}

async function runLoaders(url: string, processCount: number, connections: number): Promise<Sample> {
    const results = await Promise.all(Array.from({ length: processCount }, () => runLoader(url, connections)));
    return {
        perSecond: results.reduce((sum, result) => sum + result.perSecond, 0),
        failed: results.reduce((sum, result) => sum + result.failed, 0),
        p50Micros: medianOf(results.map(result => result.p50Micros)),
        p99Micros: Math.max(...results.map(result => result.p99Micros)),
    };
}

function runLoader(url: string, connections: number): Promise<Sample> {
    const child = spawn(process.execPath, [resolvePath("loader.js"), url, String(connections), String(durationMs)], {
        stdio: ["ignore", "pipe", "inherit"],
    });
    let text = "";
    child.stdout.on("data", chunk => {
        text += String(chunk);
    });
    return new Promise(resolve => child.on("close", () => resolve(JSON.parse(text) as Sample)));
}

async function waitUntilResponding(url: string): Promise<string> {
    for (let attempt = 0; attempt < 200; attempt++) {
        try {
            const response = await request(url);
            const text = await response.body.text();
            if (response.statusCode === 200) {
                return text;
            }
        }
        catch {
            // The server is not listening yet.
        }
        await sleep(50);
    }
    throw new Error(`${url} did not return status 200 in 200 attempts`);
}
