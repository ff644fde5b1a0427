/** Steering daemons as processes: started, signalled and ended by their ids, with their logs kept in files. */
import { type ChildProcess, spawn } from "node:child_process";
import { closeSync, mkdirSync, openSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { type DaemonPlacement, formatSettings, listenerNames } from "./daemonSettings.js";

/** One run of a daemon's process, from its start to its end, on the steady clock. */
export interface DaemonRun {
    readonly number: number;
    readonly startedAt: number;
    endedAt: number | undefined;
    /** When SIGTERM was sent. */
    stopRequestedAt: number | undefined;
}

export interface Daemon {
    readonly placement: DaemonPlacement;
    /** `host:port` for callers. */
    readonly callersAddress: string;
    readonly directoryAddress: string;
    readonly runs: readonly DaemonRun[];
    /** Whether a process runs that was not told to stop. */
    isUp(): boolean;
    start(): void;
    /** Sends a signal to the process that runs, if any. */
    signal(name: "SIGTERM" | "SIGKILL" | "SIGSTOP" | "SIGCONT" | "SIGHUP"): void;
    /** Writes the settings again, with other figures. */
    rewriteSettings(retrySlack: number): void;
    /** Settles when the process that runs now has ended. */
    waitForExit(): Promise<void>;
}

export interface DaemonOptions {
    readonly placement: DaemonPlacement;
    /** `host:port` at which it reaches the store. */
    readonly storeAddress: string;
    readonly seeds: readonly string[];
    readonly folder: string;
    readonly retrySlack: number;
}

const program = fileURLToPath(new URL("../../../../platform/dist/main.js", import.meta.url));

export function createDaemon(options: DaemonOptions): Daemon {
    const { placement: place, folder } = options;
    const runs: DaemonRun[] = [];
    const file = join(folder, `${place.name}.toml`);
    let child: ChildProcess | undefined;
    let ended = Promise.resolve();
    mkdirSync(folder, { recursive: true });
    const write = (retrySlack: number): void => writeFileSync(file, formatSettings({ ...options, retrySlack }));
    const latest = (): DaemonRun => runs.at(-1)!;
    const address = (name: typeof listenerNames[number]): string =>
        `${place.host}:${place.firstPort + listenerNames.indexOf(name)}`;
    write(options.retrySlack);
    return {
        placement: place,
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
            const log = openSync(join(folder, `${place.name}.${run.number}.log`), "w");
            const started = spawn(process.execPath, [program], {
                env: { PATH: process.env["PATH"], PIMENTOSPRING_CONFIG: file },
                stdio: ["ignore", log, log],
            });
            closeSync(log);
            child = started;
            ended = new Promise(resolve =>
                started.once("exit", () => {
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
