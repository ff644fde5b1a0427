#!/usr/bin/env node
/** `pimento`: the operator command line. */
import { results } from "@pimentospring/core/results/resultCode";
import { createStore } from "@pimentospring/runtime/platform/store";
import { exitCodes, printError, printSettingsFaults } from "@pimentospring/runtime/program/program";
import { readSettings } from "@pimentospring/runtime/settings/settings";
import { createClockTimer } from "@pimentospring/runtime/time/clockTimer";
import { cac } from "cac";
import {
    applyDocument,
    checkDocument,
    type CommandContext,
    setEntryLeaving,
    setTargetState,
    showDifferences,
    showDocument,
    showHistory,
} from "./commands/changeCommands.js";
import { explain, showStatus } from "./commands/statusCommands.js";
import { explainRoute, showSteeringStatus } from "./commands/steeringCommands.js";
import { trace } from "./commands/traceCommand.js";
import { type ClientSettings, clientSettings } from "./settings/settings.js";

interface Flags {
    readonly settings: string;
    readonly json?: boolean;
    readonly basedOn?: number;
    readonly wait?: number | boolean;
    readonly timeout: number;
    readonly service?: string;
}

const version = "0.1.0";
const exitCodesHelp = "Exit codes: 0 done, 1 refused or failed, 2 bad arguments, 3 bad settings, 4 conflict with another change, "
    + "5 platform or entry unreachable, 6 not known whether the change took effect";

const cli = cac("pimento");
cli.option("--settings <file>", "TOML settings", { default: "pimento.toml" });
cli.option("--json", "Print JSON");

cli.command("check <file>", "Check a document and list every fault").action((file: string, flags: Flags) => {
    process.exitCode = checkDocument(file, flags.json === true);
});
cli.command("diff <file>", "Show how a document differs from the one in the store")
    .action((file: string, flags: Flags) => withContext(flags, context => showDifferences(context, file)));
cli.command("apply <file>", "Submit a document; all of it is applied or none")
    .option("--based-on <revision>", "Refuse the change if the store is at another revision")
    .action((file: string, flags: Flags) => withContext(flags, context => applyDocument(context, file, flags.basedOn)));
cli.command("show", "Print the document in the store").action((flags: Flags) => withContext(flags, showDocument));
cli.command("history", "List the newest changes").action((flags: Flags) => withContext(flags, showHistory));
cli.command("status", "Show entries, targets and the revision in force")
    .option("--wait [revision]", "Wait until the revision is in force everywhere; default: the one in the store")
    .option("--timeout <ms>", "Maximum time to wait", { default: 10_000 })
    .action((flags: Flags) =>
        withContext(flags, (context, settings) =>
            showStatus({
                store: context.store,
                entries: settings.entries,
                asJson: context.asJson,
                awaitedRevision: flags.wait === undefined ? undefined : flags.wait === true ? 0 : Number(flags.wait),
                timeoutMs: flags.timeout,
            }))
    );
cli.command("drain <kind> <name>", "Send no new work to a target or an entry; kind is target or entry")
    .action((kind: string, name: string, flags: Flags) =>
        withContext(flags, context => setState(context, kind, name, "draining"))
    );
cli.command("stop <kind> <name>", "Stop using a target").action((kind: string, name: string, flags: Flags) =>
    withContext(flags, context => setState(context, kind, name, "stopped"))
);
cli.command("serve <kind> <name>", "Send work to a target or an entry again")
    .action((kind: string, name: string, flags: Flags) =>
        withContext(flags, context => setState(context, kind, name, "serving"))
    );
cli.command("explain <caller>", "Explain the look-up response that a caller gets")
    .option("--service <service>", "Show only this service")
    .action((caller: string, flags: Flags) =>
        withContext(flags, (context, settings) => explain(settings.entries, caller, flags.service, context.asJson))
    );
cli.command(
    "steering <control>",
    "Show the status of a steering entry and of the entries it knows; control is its control address",
)
    .action(async (control: string, flags: Flags) => {
        process.exitCode = await showSteeringStatus(control, flags.json === true);
    });
cli.command("route <control> <host> <path>", "Explain how a steering entry would route a request")
    .action(async (control: string, host: string, path: string, flags: Flags) => {
        process.exitCode = await explainRoute(control, host, path, flags.json === true);
    });
cli.command(
    "trace <request> [...files]",
    "Print a request's attempts from log files, with the events that its entry logged before its end",
)
    .action((request: string, files: readonly string[]) => {
        process.exitCode = trace(request, files);
    });
cli.help(sections => [...sections, { body: exitCodesHelp }]);
cli.version(version);

try {
    cli.parse(process.argv, { run: false });
    if (cli.matchedCommand === undefined && cli.options["help"] !== true && cli.options["version"] !== true) {
        throw new Error(
            cli.args.length === 0 ? "missing command; see --help" : `unknown command "${cli.args[0]}"; see --help`,
        );
    }
    await cli.runMatchedCommand();
}
catch (error) {
    printError(results.badArguments, (error as Error).message);
    process.exitCode = exitCodes.usage;
}

function setState(
    context: CommandContext,
    kind: string,
    name: string,
    state: "serving" | "draining" | "stopped",
): Promise<number> {
    if (kind === "target") {
        return setTargetState(context, name, state);
    }
    if (kind === "entry" && state !== "stopped") {
        return setEntryLeaving(context, name, state === "draining");
    }
    printError(
        results.badArguments,
        `cannot set "${kind}" to ${state}; the kind must be target${state === "stopped" ? "" : " or entry"}`,
    );
    return Promise.resolve(exitCodes.usage);
}

async function withContext(
    flags: Flags,
    run: (context: CommandContext, settings: ClientSettings) => Promise<number>,
): Promise<void> {
    const settings = readSettings(flags.settings, clientSettings);
    if (settings.isErr) {
        printSettingsFaults(results.badSettings, settings.error);
        process.exitCode = exitCodes.settings;
        return;
    }
    const { platform, operator } = settings.value;
    const store = createStore(platform.store, platform.timeoutMs);
    const context: CommandContext = {
        store,
        operator: operator ?? process.env["USER"] ?? "unknown",
        wallTime: createClockTimer().wallTime,
        asJson: flags.json === true,
    };
    process.exitCode = await run(context, settings.value);
    await store.close();
}
