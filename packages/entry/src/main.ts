#!/usr/bin/env node
/** `pimento-entry`: runs an entry from a settings file. */
import { results } from "@pimentospring/core/results/resultCode";
import { createLog, type Log } from "@pimentospring/runtime/logs/log";
import { logEvents } from "@pimentospring/runtime/logs/logEvents";
import { exitCodes, printBanner, printError } from "@pimentospring/runtime/program/program";
import { runSettingsProgram } from "@pimentospring/runtime/program/settingsProgram";
import { version } from "./constants.js";
import { createEntry, type Entry } from "./entry.js";
import { type EntrySettings, entrySettings } from "./settings/settings.js";

const program = "pimento-entry";

runSettingsProgram({
    program,
    version,
    description: "Run an entry with a TOML settings file",
    schema: entrySettings,
    serve,
});

async function serve(settings: EntrySettings): Promise<void> {
    const log = createLog(program, settings.mesh.listen, settings.log.level);
    process.on("uncaughtException", error => log.write(logEvents.fault, { reason: error.stack ?? error.message }));
    process.on("unhandledRejection", error => log.write(logEvents.fault, { reason: String(error) }));
    let entry: Entry;
    try {
        entry = await createEntry({ settings, log });
    }
    catch (error) {
        log.write(logEvents.cannotListen, { reason: (error as Error).message });
        printError(results.cannotListen, (error as Error).message);
        process.exit(exitCodes.failed);
    }
    printBanner(program, version, [
        { label: "callers", value: entry.self.url },
        { label: "mesh", value: settings.mesh.listen },
        { label: "data centre", value: settings.dataCentre },
        { label: "metrics", value: `${entry.self.url}/metrics` },
    ]);
    log.write(logEvents.started, { run: entry.self.instance });
    let isStopping = false;
    const stop = (): void => {
        if (isStopping) {
            log.write(logEvents.stoppedHard, { inFlight: entry.core.inFlight(), reason: "second signal" });
            process.exit(exitCodes.failed);
        }
        isStopping = true;
        void shutDown(entry, settings, log);
    };
    process.on("SIGTERM", stop);
    process.on("SIGINT", stop);
}

async function shutDown(entry: Entry, settings: EntrySettings, log: Log): Promise<void> {
    log.write(logEvents.stopping, { inFlight: entry.core.inFlight() });
    const abortedCount = await entry.stop(settings.stop.deadlineMs);
    log.write(abortedCount === 0 ? logEvents.stopped : logEvents.stoppedHard, { cut: abortedCount });
    process.exit(abortedCount === 0 ? exitCodes.ok : exitCodes.failed);
}
