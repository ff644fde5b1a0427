/** `npm run bench -- forward`: an entry's look-ups and forwarded requests beside a bare handler and the thinnest forwarder. */
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

/** One measurement by the loaders. */
interface Sample {
    readonly perSecond: number;
    readonly failed: number;
    readonly p50Micros: number;
    readonly p99Micros: number;
}

const ports = { platform: 24790, entry: 24800, mesh: 24801, bare: 24810, target: 24811, thin: 24812 };
const file = (name: string): string => fileURLToPath(new URL(name, import.meta.url));
const local = (port: number): string => `http://127.0.0.1:${port}`;
const loaders = 2;
const connections = 16;
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
    const scratch = mkdtempSync(join(tmpdir(), "pimento-bench-"));
    const programs: ChildProcess[] = [];
    const start = (...args: readonly string[]): void => {
        programs.push(spawn(process.execPath, args, { stdio: "ignore" }));
    };
    try {
        const settings = join(scratch, "entry.toml");
        writeFileSync(settings, entrySettings(platform.url));
        start(file("../../packages/entry/dist/main.js"), settings);
        start(file("fixture.js"), "bare", String(ports.target), "{\"work\":\"bench\",\"received\":0}");
        start(file("fixture.js"), "thin", String(ports.thin), local(ports.target));
        const lookup = `${local(ports.entry)}/v1/lookup?caller=10.1.2.3`;
        const answer = await waitFor(lookup);
        start(file("fixture.js"), "bare", String(ports.bare), answer);
        await Promise.all([
            waitFor(local(ports.bare)),
            waitFor(`${local(ports.entry)}/s/s/x`),
            waitFor(`${local(ports.thin)}/s/s/x`),
        ]);
        await measure(lookup);
    }
    finally {
        programs.forEach(program => program.kill("SIGKILL"));
        await store.close();
        await platform.close();
        rmSync(scratch, { recursive: true });
    }
}

const entrySettings = (platformUrl: string): string =>
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
        "bare handler": local(ports.bare),
        "look-up": lookup,
        "target directly": `${local(ports.target)}/x`,
        "thin forwarder": `${local(ports.thin)}/s/s/x`,
        "entry": `${local(ports.entry)}/s/s/x`,
    };
    const samples = new Map<string, Sample[]>(Object.keys(cases).map(name => [name, []]));
    const quiet = new Map<string, Sample[]>(Object.keys(cases).map(name => [name, []]));
    for (let round = 0; round < rounds; round++) {
        for (const [name, url] of Object.entries(cases)) {
            samples.get(name)!.push(await load(url, loaders, connections));
            quiet.get(name)!.push(await load(url, 1, 1));
        }
    }
    const rate = (name: string): number => medianOf(samples.get(name)!.map(sample => sample.perSecond));
    const p50 = (name: string): number => medianOf(quiet.get(name)!.map(sample => sample.p50Micros));
    printTable(
        ["case", "per second", "p50 us, one at a time", "failed"],
        Object.keys(cases).map(name => [
            name,
            rate(name).toFixed(0),
            p50(name).toFixed(0),
            String(samples.get(name)!.reduce((sum, sample) => sum + sample.failed, 0)),
        ]),
    );
    printTable(["ratio", "measured", "aim"], [
        ["look-ups against a bare handler", (rate("look-up") / rate("bare handler")).toFixed(2), "0.8 or more"],
        ["forwarded against the thin forwarder", (rate("entry") / rate("thin forwarder")).toFixed(2), "0.7 or more"],
        [
            "added median against the target directly",
            `${((p50("entry") - p50("target directly")) / 1000).toFixed(2)} ms`,
            "under 1 ms",
        ],
    ]);
}

async function load(url: string, processes: number, perProcess: number): Promise<Sample> {
    const results = await Promise.all(Array.from({ length: processes }, () => runLoader(url, perProcess)));
    return {
        perSecond: results.reduce((sum, result) => sum + result.perSecond, 0),
        failed: results.reduce((sum, result) => sum + result.failed, 0),
        p50Micros: medianOf(results.map(result => result.p50Micros)),
        p99Micros: Math.max(...results.map(result => result.p99Micros)),
    };
}

function runLoader(url: string, perProcess: number): Promise<Sample> {
    const child = spawn(process.execPath, [file("loader.js"), url, String(perProcess), String(durationMs)], {
        stdio: ["ignore", "pipe", "inherit"],
    });
    let text = "";
    child.stdout.on("data", chunk => {
        text += String(chunk);
    });
    return new Promise(resolve => child.on("close", () => resolve(JSON.parse(text) as Sample)));
}

async function waitFor(url: string): Promise<string> {
    for (let tries = 0; tries < 200; tries++) {
        try {
            const answer = await request(url);
            const text = await answer.body.text();
            if (answer.statusCode === 200) {
                return text;
            }
        }
        catch {
            // Not listening yet.
        }
        await sleep(50);
    }
    throw new Error(`${url} doesn't answer`);
}
