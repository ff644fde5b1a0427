/** Signals of a program that runs until it is told to stop. */
import type { Log } from "../logs/log.js";
import { logEvents } from "../logs/logEvents.js";
import { ignoredSignals } from "./ignoredSignals.js";
import { endProcess } from "./processEnd.js";
import { exitCodes } from "./program.js";

export interface ProcessSignalsOptions {
    readonly log: () => Log;
    /** Lets what was accepted finish. Resolves to the number of requests that were aborted. */
    readonly stop: () => Promise<number>;
    /** Reads changed settings. */
    readonly reload: () => void;
}

const stopSignals = ["SIGTERM", "SIGINT"] as const;

/** Handles the signals from now on. Handlers stay: without one, a second signal would end the process at once. */
export function handleProcessSignals({ log, stop, reload }: ProcessSignalsOptions): void {
    let isStopping = false;
    const stopOn = async (signal: NodeJS.Signals): Promise<void> => {
        if (isStopping) {
            return;
        }
        isStopping = true;
        log().write(logEvents.stopping, { signal });
        try {
            const abortedCount = await stop();
            log().write(abortedCount === 0 ? logEvents.stopped : logEvents.stoppedHard, { cut: abortedCount });
        }
        catch (error) {
            endProcess(log(), exitCodes.failed, `the stop after ${signal} failed: ${(error as Error).message}`);
        }
        endProcess(log(), exitCodes.ok, `stopped by ${signal}`);
    };
    stopSignals.forEach(signal => process.on(signal, () => void stopOn(signal)));
    ignoredSignals.forEach(signal => process.on(signal, () => log().write(logEvents.signalIgnored, { signal })));
    process.on("SIGHUP", reload);
}
