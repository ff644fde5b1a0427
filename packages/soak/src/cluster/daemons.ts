/** Steering daemons as processes: started, signalled and ended by their ids, with their logs kept in files. */
import { type ChildProcess, spawn } from "node:child_process";
import { closeSync, mkdirSync, openSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { listenNames, type Place, settingsText } from "./settingsText.js";

/** One run of a daemon's process, from its start to its end, on the steady clock. */
export interface DaemonRun {
    readonly number: number;
    readonly startedAt: number;
    endedAt: number | undefined;
    /** When SIGTERM was sent. */
    stoppedAt: number | undefined;
}

export interface Daemon {
    readonly place: Place;
    /** `host:port` for callers. */
    readonly callers: string;
    readonly directory: string;
    readonly runs: readonly DaemonRun[];
    /** Whether a process runs that was not told to stop. */
    isUp(): boolean;
    start(): void;
    /** Sends a signal to the process that runs, if any. */
    signal(name: "SIGTERM" | "SIGKILL" | "SIGSTOP" | "SIGCONT" | "SIGHUP"): void;
    /** Writes the settings again, with other figures. */
    rewrite(retrySlack: number): void;
    /** Settles when the process that runs now has ended. */
    ended(): Promise<void>;
}

export interface DaemonOptions {
    readonly place: Place;
    /** `host:port` at which it reaches the store. */
    readonly store: string;
    readonly seeds: readonly string[];
    readonly folder: string;
    readonly retrySlack: number;
}

const program = fileURLToPath(new URL("../../../../platform/dist/main.js", import.meta.url));

export function createDaemon(options: DaemonOptions): Daemon {
    const { place, folder } = options;
    const runs: DaemonRun[] = [];
    const file = join(folder, `${place.name}.toml`);
    let child: ChildProcess | undefined;
    let ended = Promise.resolve();
    mkdirSync(folder, { recursive: true });
    const write = (retrySlack: number): void => writeFileSync(file, settingsText({ ...options, retrySlack }));
    const latest = (): DaemonRun => runs.at(-1)!;
    const address = (name: typeof listenNames[number]): string => `${place.host}:${place.firstPort + listenNames.indexOf(name)}`;
    write(options.retrySlack);
    return {
        place,
        callers: address("callers"),
        directory: address("directory"),
        runs,
        isUp: () => child !== undefined && latest().stoppedAt === undefined,
        start: () => {
            const run: DaemonRun = {
                number: runs.length,
                startedAt: performance.now(),
                endedAt: undefined,
                stoppedAt: undefined,
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
                latest().stoppedAt ??= performance.now();
            }
            child.kill(name);
        },
        rewrite: write,
        ended: () => ended,
    };
}
