/** Steering daemons as child processes, with their logs in files. */
import { type ChildProcess, spawn } from "node:child_process";
import { closeSync, mkdirSync, openSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { type DaemonPlacement, formatSettings, listenerNames } from "./daemonSettings.js";

/** One incarnation of a daemon's process; times are monotonic, in milliseconds. */
export interface DaemonRun {
    readonly number: number;
    readonly startedAt: number;
    endedAt: number | undefined;
    /** Time at which SIGTERM was sent. */
    stopRequestedAt: number | undefined;
}

export interface Daemon {
    readonly placement: DaemonPlacement;
    /** `host:port` for callers. */
    readonly callersAddress: string;
    readonly directoryAddress: string;
    readonly runs: readonly DaemonRun[];
    /** Whether the process is running and has not been sent SIGTERM. */
    isUp(): boolean;
    start(): void;
    /** Sends a signal to the running process, if any. */
    signal(name: "SIGTERM" | "SIGKILL" | "SIGSTOP" | "SIGCONT" | "SIGHUP"): void;
    /** Rewrites the settings file with another retry slack. */
    rewriteSettings(retrySlack: number): void;
    /** Resolves when the current process has exited. */
    waitForExit(): Promise<void>;
}

export interface DaemonOptions {
    readonly placement: DaemonPlacement;
    /** `host:port` of the store, or of the proxy in front of it. */
    readonly storeAddress: string;
    readonly seeds: readonly string[];
    readonly folder: string;
    readonly retrySlack: number;
}

const program = fileURLToPath(new URL("../../../../platform/dist/main.js", import.meta.url));

export function createDaemon(options: DaemonOptions): Daemon {
    const { placement, folder } = options;
    const runs: DaemonRun[] = [];
    const file = join(folder, `${placement.name}.toml`);
    let child: ChildProcess | undefined;
    let ended = Promise.resolve();
    mkdirSync(folder, { recursive: true });
    const write = (retrySlack: number): void => writeFileSync(file, formatSettings({ ...options, retrySlack }));
    const latest = (): DaemonRun => runs.at(-1)!;
    const address = (name: typeof listenerNames[number]): string =>
        `${placement.host}:${placement.firstPort + listenerNames.indexOf(name)}`;
    write(options.retrySlack);
    return {
        placement,
        callersAddress: address("callers"),
        directoryAddress: address("directory"),
        runs,
        isUp: () => child !== undefined && latest().stopRequestedAt === undefined,
        start: () => {
            const run: DaemonRun = {
                number: runs.length,
                startedAt: performance.now(),
                endedAt: undefined,
                stopRequestedAt: undefined,
            };
            runs.push(run);
            const log = openSync(join(folder, `${placement.name}.${run.number}.log`), "w");
            const started = spawn(process.execPath, [program], {
                env: { PATH: process.env["PATH"], PIMENTOSPRING_CONFIG: file },
                stdio: ["ignore", log, log],
            });
            closeSync(log);
            child = started;
            // A soak that is ended early leaves no daemon behind, which would keep the addresses of the next one.
            const killWithSoak = (): boolean => started.kill("SIGKILL");
            process.once("exit", killWithSoak);
            ended = new Promise(resolve =>
                started.once("exit", () => {
                    process.off("exit", killWithSoak);
                    run.endedAt = performance.now();
                    child = undefined;
                    resolve();
                })
            );
        },
        signal: name => {
            if (child === undefined) {
                return;
            }
            if (name === "SIGTERM") {
                latest().stopRequestedAt ??= performance.now();
            }
            child.kill(name);
        },
        rewriteSettings: write,
        waitForExit: () => ended,
    };
}
