/** Steering daemons: each has a settings file, logs, and one process, or two while one replaces the other. */
import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import type { DaemonRun } from "../promises/records.js";
import { type DaemonProcess, type EndingSignal, lateSeedsMs, type OtherSignal, startDaemonProcess } from "./daemonProcess.js";
import { type DaemonSettings, type ListenAddresses, listenAddressesOf, renderSettings } from "./daemonSettings.js";
import { readDeployment } from "./deployment.js";

export interface Daemon {
    readonly placement: DaemonSettings["placement"];
    readonly listen: ListenAddresses;
    /** All processes so far, in the order of their starts. */
    readonly runs: readonly DaemonRun[];
    /** Number of the process that has the listeners: the earliest that is left, or the latest. */
    servingRun(): number;
    start(): void;
    /** Sends a signal to the latest process, if it is running. */
    signal(name: EndingSignal | OtherSignal): void;
    /** Suspends the latest process; returns a function that resumes it. */
    pause(): () => void;
    /** Changes the settings and rewrites their file. */
    rewriteSettings(change: SettingsChange): void;
    /** Rewrites the settings file with a part of its text, as a reader sees it while it is written. */
    cutSettings(keptFraction: number): void;
    /** Resolves when the latest process has exited. */
    waitForExit(): Promise<void>;
    /** Kills all processes; resolves when they have exited. */
    close(): Promise<void>;
}

export type SettingsChange = Partial<Pick<DaemonSettings, "retrySlack" | "furtherDataCentres">>;

export interface DaemonOptions {
    readonly settings: DaemonSettings;
    readonly folder: string;
    /** Whether each process starts with settings without seeds, and gets them and SIGHUP a moment later. */
    readonly haveLateSeeds: boolean;
    /** Called when a process has ended although no fault told it to. */
    readonly onUnaskedEnd: (daemon: Daemon) => void;
}

export function createDaemon(options: DaemonOptions): Daemon {
    const { folder } = options;
    const { placement } = options.settings;
    const deployment = readDeployment();
    const processes: DaemonProcess[] = [];
    const runs: DaemonRun[] = [];
    const settingsFile = join(folder, `${placement.name}.toml`);
    let settings = options.settings;
    let isCut = false;
    const render = (): string => renderSettings(deployment.template, settings);
    const listen = listenAddressesOf(render());
    const isLeft = (run: DaemonRun): boolean => run.endedAt === undefined;
    const writeSettings = (changed: Partial<DaemonSettings> = {}): void =>
        writeFileSync(settingsFile, renderSettings(deployment.template, { ...settings, ...changed }));
    const sendSeeds = (started: DaemonProcess): void => {
        if (!isLeft(started.run)) {
            return;
        }
        if (!isCut) {
            writeSettings();
        }
        started.signal("SIGHUP");
    };
    mkdirSync(folder, { recursive: true });
    writeSettings();
    const daemon: Daemon = {
        placement,
        listen,
        runs,
        servingRun: () => runs.find(isLeft)?.number ?? runs.length - 1,
        start: () => {
            const number = runs.length;
            if (options.haveLateSeeds && !isCut) {
                writeSettings({ seeds: [] });
            }
            const started = startDaemonProcess({
                deployment,
                daemon: placement.name,
                number,
                settingsFile,
                logFile: join(folder, `${placement.name}.${number}.log`),
                callersAddress: listen.callers,
                isAlone: () => !runs.slice(0, number).some(isLeft),
                onEnd: () => {
                    if (runs[number]!.toldToEndAt === undefined) {
                        options.onUnaskedEnd(daemon);
                    }
                },
            });
            processes.push(started);
            runs.push(started.run);
            if (options.haveLateSeeds) {
                setTimeout(() => sendSeeds(started), lateSeedsMs);
            }
        },
        signal: name => {
            const latest = processes.at(-1)!;
            if (isLeft(latest.run)) {
                latest.signal(name);
            }
        },
        pause: () => {
            const paused = processes.at(-1)!;
            const send = (name: OtherSignal): void => {
                if (isLeft(paused.run)) {
                    paused.signal(name);
                }
            };
            send("SIGSTOP");
            return () => send("SIGCONT");
        },
        rewriteSettings: change => {
            settings = { ...settings, ...change };
            isCut = false;
            writeSettings();
        },
        cutSettings: keptFraction => {
            const text = render();
            isCut = true;
            writeFileSync(settingsFile, text.slice(0, keptFraction * text.length));
        },
        waitForExit: () => processes.at(-1)!.ended,
        close: async () => {
            processes.filter(({ run }) => isLeft(run)).forEach(started => started.signal("SIGKILL"));
            await Promise.all(processes.map(({ ended }) => ended));
        },
    };
    return daemon;
}
