/** A steering daemon as a process of its own, whose settings file, ports and signals a test controls. */
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { request } from "undici";

const daemonMain = fileURLToPath(new URL("../../../platform/dist/main.js", import.meta.url));
/** The entry point that is deployed. */
export const deployedMain = fileURLToPath(new URL("../../../target/pimento-steer.cjs", import.meta.url));
const firstPort = 17_810;
const listeners = ["callers", "readiness", "directory", "control", "mesh", "metrics"] as const;
export type ListenerName = typeof listeners[number];

export interface DaemonRun {
    readonly child: ChildProcess;
    /** Exit code, or the signal that ended the process. */
    readonly ended: Promise<number | string>;
    hasEnded(): boolean;
    output(): string;
    /** Whether a log line has this event name and contains each of the texts. */
    hasLogged(event: string, ...texts: readonly string[]): boolean;
}

export interface DaemonFixture {
    readonly settingsFile: string;
    portOf(listener: ListenerName): number;
    addressOf(listener: ListenerName): string;
    /** Complete settings; `extraLines` follow the last table, `[regions]`. */
    settingsText(...extraLines: readonly string[]): string;
    writeSettings(text: string): void;
    /** Starts the daemon with the settings file, or with the given environment. */
    start(environment?: Readonly<Record<string, string>>): DaemonRun;
    /** Status of the readiness call, or undefined if the daemon gives none. */
    readinessStatus(): Promise<number | undefined>;
    /** Ends all daemons. */
    close(): Promise<void>;
}

export function createDaemonFixture(host: string, storeAddress: string, program: string = daemonMain): DaemonFixture {
    const folder = mkdtempSync(join(tmpdir(), "pimento-daemon-"));
    const settingsFile = join(folder, "settings.toml");
    const runs: DaemonRun[] = [];
    const portOf = (listener: ListenerName): number => firstPort + listeners.indexOf(listener);
    const addressOf = (listener: ListenerName): string => `${host}:${portOf(listener)}`;
    return {
        settingsFile,
        portOf,
        addressOf,
        settingsText: (...extraLines) =>
            [
                `name = "${host}"`,
                "dataCentre = \"cpt-a\"",
                "region = \"cpt\"",
                `store = "${storeAddress}"`,
                "[listen]",
                ...listeners.map(listener => `${listener} = "${addressOf(listener)}"`),
                "[regions]",
                "cpt-a = \"cpt\"",
                ...extraLines,
                "",
            ].join("\n"),
        writeSettings: text => writeFileSync(settingsFile, text),
        start: (environment = { PIMENTOSPRING_CONFIG: settingsFile }) => {
            const run = startProcess(program, environment);
            runs.push(run);
            return run;
        },
        readinessStatus: async () => {
            try {
                const { statusCode, body } = await request(`http://${addressOf("readiness")}/readiness`);
                await body.dump();
                return statusCode;
            }
            catch {
                return undefined;
            }
        },
        close: async () => {
            runs.forEach(run => run.child.kill("SIGKILL"));
            await Promise.all(runs.map(run => run.ended));
            rmSync(folder, { recursive: true });
        },
    };
}

function startProcess(program: string, environment: Readonly<Record<string, string>>): DaemonRun {
    const child = spawn(process.execPath, ["--max-old-space-size=160", program], {
        env: { PATH: process.env["PATH"], ...environment },
        stdio: ["ignore", "pipe", "pipe"],
    });
    let output = "";
    let hasEnded = false;
    const collect = (chunk: Buffer): void => {
        output += String(chunk);
    };
    child.stdout.on("data", collect);
    child.stderr.on("data", collect);
    // "close" comes when the output has been read, too.
    const ended = new Promise<number | string>(resolve => child.once("close", (code, signal) => resolve(code ?? signal!)));
    child.once("exit", () => {
        hasEnded = true;
    });
    return {
        child,
        ended,
        hasEnded: () => hasEnded,
        output: () => output,
        hasLogged: (event, ...texts) =>
            output.split("\n").some(line => [`"name":"${event}"`, ...texts].every(text => line.includes(text))),
    };
}
