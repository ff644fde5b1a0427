#!/usr/bin/env node
/** `pimento-console`: runs the operator console from a settings file. */
import { results } from "@pimentospring/core/results/resultCode";
import { listen, splitAddress } from "@pimentospring/runtime/http/jsonServer";
import { trackConnections } from "@pimentospring/runtime/http/serverConnections";
import { createLog } from "@pimentospring/runtime/logs/log";
import { logEvents } from "@pimentospring/runtime/logs/logEvents";
import { createStore } from "@pimentospring/runtime/platform/store";
import { exitCodes, printBanner, printError } from "@pimentospring/runtime/program/program";
import { runSettingsProgram } from "@pimentospring/runtime/program/settingsProgram";
import { createClockTimer } from "@pimentospring/runtime/time/clockTimer";
import { createSessions } from "./auth/sessions.js";
import { createConsoleServer } from "./server/consoleServer.js";
import { type ConsoleSettings, consoleSettings } from "./settings/settings.js";

const program = "pimento-console";
const version = "0.1.0";

runSettingsProgram({
    program,
    version,
    description: "Run the console with a TOML settings file",
    schema: consoleSettings,
    serve,
});

async function serve(settings: ConsoleSettings): Promise<void> {
    const log = createLog(program, settings.listen, settings.log.level);
    const store = createStore(settings.platform.store, settings.platform.timeoutMs);
    const server = createConsoleServer({ sessions: createSessions(settings, Date.now), store, log, wallTime: Date.now });
    const connections = trackConnections({ server, timer: createClockTimer() });
    const { host, port } = splitAddress(settings.listen);
    try {
        await listen(server, host, port);
    }
    catch (error) {
        printError(results.cannotListen, (error as Error).message);
        process.exit(exitCodes.failed);
    }
    printBanner(program, version, [{ label: "console", value: `http://${settings.listen}` }]);
    log.write(logEvents.started);
    const stop = async (): Promise<void> => {
        log.write(logEvents.stopping);
        // Lets requests in flight finish and closes only idle connections.
        await new Promise<void>(resolve => {
            connections.stopListening(resolve);
            connections.closeIdle();
        });
        await store.close();
        log.write(logEvents.stopped);
        process.exit(exitCodes.ok);
    };
    process.on("SIGTERM", () => void stop());
    process.on("SIGINT", () => void stop());
}
