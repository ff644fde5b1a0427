/** Signals of a program that runs until it is told to stop. */
import type { Log } from "../logs/log.js";
import { logEvents } from "../logs/logEvents.js";
import { endProcess } from "./processEnd.js";
import { exitCodes } from "./program.js";

export interface ProcessSignalsOptions {
    readonly log: () => Log;
    /** Lets what was accepted finish. Resolves to the number of requests that were aborted. */
    readonly stop: () => Promise<number>;
    /** Reads changed settings. */
    readonly reload: () => void;
}

/** Handles the signals from now on. Handlers stay: without one, a second signal would end the process at once. */
export function handleProcessSignals({ log, stop, reload }: ProcessSignalsOptions): void {
    let isStopping = false;
    const stopOn = async (signal: NodeJS.Signals): Promise<void> => {
        if (isStopping) {
            return;
        }
        isStopping = true;
        log().write(logEvents.stopping, { signal });
        const abortedCount = await stop();
        log().write(abortedCount === 0 ? logEvents.stopped : logEvents.stoppedHard, { cut: abortedCount });
        endProcess(log(), exitCodes.ok, `stopped by ${signal}`);
    };
    process.on("SIGTERM", signal => void stopOn(signal));
    process.on("SIGHUP", reload);
}
