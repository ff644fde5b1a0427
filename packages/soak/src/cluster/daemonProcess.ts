/** One process of a daemon: started as deployed, within the limits of a site, and watched until it ends. */
import { type ChildProcess, spawn } from "node:child_process";
import { closeSync, openSync, readFileSync } from "node:fs";
import { delimiter, dirname } from "node:path";
import { request } from "undici";
import type { DaemonRun } from "../promises/records.js";
import { type Deployment, processLimits, repositoryRoot } from "./deployment.js";

/** Signals after which a process may end. */
const endingSignals = ["SIGTERM", "SIGINT", "SIGKILL"] as const;
export type EndingSignal = typeof endingSignals[number];

/** Signals that a daemon survives. */
export type OtherSignal = "SIGSTOP" | "SIGCONT" | "SIGHUP" | "SIGUSR1" | "SIGUSR2" | "SIGALRM" | "SIGPIPE";

export interface DaemonProcess {
    readonly run: DaemonRun;
    /** Resolves when the process has ended. */
    readonly ended: Promise<void>;
    signal(name: EndingSignal | OtherSignal): void;
}

export interface DaemonProcessOptions {
    readonly deployment: Deployment;
    readonly daemon: string;
    readonly number: number;
    readonly settingsFile: string;
    readonly logFile: string;
    readonly callersAddress: string;
    /** Whether no earlier process of the daemon is left, which would answer in place of this one. */
    readonly isAlone: () => boolean;
    readonly onEnd: () => void;
}

const watchIntervalMs = 250;
const probeTimeoutMs = 1_000;
/** Id of requests that are left out of the record. */
export const readinessRequestId = "readiness";
/** Time from a start to the first signal of a platform, which tells of seeds. */
export const lateSeedsMs = 300;
const lastLineCount = 3;
const maxLineLength = 300;
const bytesPerMb = 1_000_000;
const bytesPerKb = 1_024;
/** Limits the descriptors of the program that takes the shell's place. */
const limitScript = `ulimit -n ${processLimits.fileDescriptors}; exec "$@"`;

export function startDaemonProcess(options: DaemonProcessOptions): DaemonProcess {
    const run: DaemonRun = {
        daemon: options.daemon,
        number: options.number,
        startedAt: performance.now(),
        endedAt: undefined,
        exit: undefined,
        lastLines: [],
        toldToEndAt: undefined,
        stopRequestedAt: undefined,
        answeredAt: undefined,
        maxResidentMb: 0,
    };
    const child = spawnDeployed(options);
    const watch = setInterval(() => {
        run.maxResidentMb = Math.max(run.maxResidentMb, readResidentMb(child.pid!));
        if (run.maxResidentMb > processLimits.memoryMb) {
            child.kill("SIGKILL");
        }
    }, watchIntervalMs);
    void watchStart(options, run);
    // A soak that is ended early leaves no daemon behind, which would keep the addresses of the next one.
    const killWithSoak = (): boolean => child.kill("SIGKILL");
    process.once("exit", killWithSoak);
    const ended = new Promise<void>(resolve =>
        child.once("exit", (code, signal) => {
            process.off("exit", killWithSoak);
            clearInterval(watch);
            run.endedAt = performance.now();
            run.exit = signal ?? `exit code ${code}`;
            run.lastLines = readLastLines(options.logFile);
            options.onEnd();
            resolve();
        })
    );
    return { run, ended, signal: name => signalProcess(child, run, name) };
}

function spawnDeployed({ deployment, settingsFile, logFile }: DaemonProcessOptions): ChildProcess {
    const log = openSync(logFile, "w");
    const { PATH, HOME, LANG } = process.env;
    const nodeFirst = [dirname(process.execPath), PATH].join(delimiter);
    const child = spawn("sh", ["-c", limitScript, "sh", ...deployment.command], {
        cwd: repositoryRoot,
        env: { PATH: nodeFirst, HOME, LANG, ...deployment.env, PIMENTOSPRING_CONFIG: settingsFile },
        stdio: ["ignore", log, log],
    });
    closeSync(log);
    return child;
}

function signalProcess(child: ChildProcess, run: DaemonRun, name: EndingSignal | OtherSignal): void {
    const now = performance.now();
    if (endingSignals.some(signal => signal === name)) {
        run.toldToEndAt ??= now;
        run.stopRequestedAt ??= name === "SIGKILL" ? undefined : now;
    }
    else if (name !== "SIGSTOP" && name !== "SIGCONT" && now < run.startedAt + lateSeedsMs) {
        return;
    }
    child.kill(name);
}

/** Notes when the callers' listener of the process first answers. */
async function watchStart({ callersAddress, isAlone }: DaemonProcessOptions, run: DaemonRun): Promise<void> {
    while (run.endedAt === undefined && run.answeredAt === undefined) {
        if (isAlone() && await isAnswering(callersAddress)) {
            run.answeredAt = performance.now();
        }
        await new Promise(resolve => setTimeout(resolve, watchIntervalMs));
    }
}

const isAnswering = (callersAddress: string): Promise<boolean> =>
    request(`http://${callersAddress}/up`, {
        reset: true,
        signal: AbortSignal.timeout(probeTimeoutMs),
        headers: { "host": "a.example", "x-request-id": readinessRequestId, "x-deadline-ms": "500" },
    }).then(async answer => {
        await answer.body.dump();
        return true;
    }, () => false);

/** Largest resident size of a process so far, or 0 once it has ended. */
function readResidentMb(pid: number): number {
    try {
        const status = readFileSync(`/proc/${pid}/status`, "utf8");
        const sizes = [...status.matchAll(/^Vm(?:RSS|HWM):\s+(\d+) kB$/gm)].map(([, kilobytes]) => Number(kilobytes));
        return Math.max(0, ...sizes) * bytesPerKb / bytesPerMb;
    }
    catch {
        return 0;
    }
}

const readLastLines = (logFile: string): readonly string[] =>
    readFileSync(logFile, "utf8").trimEnd().split("\n").slice(-lastLineCount).map(line => line.slice(0, maxLineLength));
