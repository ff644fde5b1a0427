#!/usr/bin/env node
/** `pimento`: the operators' command line. */
import { results } from "@pimentospring/core/results/resultCode";
import { createStore } from "@pimentospring/runtime/platform/store";
import { exitCodes, printError, printSettingsFaults } from "@pimentospring/runtime/program/program";
import { readSettings } from "@pimentospring/runtime/settings/settings";
import { cac } from "cac";
import { apply, check, type CommandContext, diff, history, setEntry, setTarget, show } from "./commands/changeCommands.js";
import { explain, status } from "./commands/statusCommands.js";
import { explainRoute, steeringStatus } from "./commands/steeringCommands.js";
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
const exitCodeText = "Exit codes: 0 done, 1 refused or failed, 2 bad arguments, 3 bad settings, 4 conflict with another change, "
    + "5 platform or entry unreachable, 6 not known whether the change took effect";

const cli = cac("pimento");
cli.option("--settings <file>", "TOML settings", { default: "pimento.toml" });
cli.option("--json", "Print JSON");

cli.command("check <file>", "Check a document and list every fault").action((file: string, flags: Flags) => {
    process.exitCode = check(file, flags.json === true);
});
cli.command("diff <file>", "Show how a document differs from the one in the store")
    .action((file: string, flags: Flags) => withContext(flags, context => diff(context, file)));
cli.command("apply <file>", "Submit a document; taken whole or refused whole")
    .option("--based-on <revision>", "Refuse when the store has another revision")
    .action((file: string, flags: Flags) => withContext(flags, context => apply(context, file, flags.basedOn)));
cli.command("show", "Print the document in the store").action((flags: Flags) => withContext(flags, show));
cli.command("history", "List the newest changes").action((flags: Flags) => withContext(flags, history));
cli.command("status", "Show entries, targets and the revision in force")
    .option("--wait [revision]", "Wait until the revision is in force everywhere; default: the one in the store")
    .option("--timeout <ms>", "Longest wait", { default: 10_000 })
    .action((flags: Flags) =>
        withContext(flags, (context, settings) =>
            status({
                store: context.store,
                entries: settings.entries,
                asJson: context.asJson,
                wait: flags.wait === undefined ? undefined : flags.wait === true ? 0 : Number(flags.wait),
                timeoutMs: flags.timeout,
            }))
    );
cli.command("drain <kind> <name>", "Give a target or an entry no new work; kind is target or entry")
    .action((kind: string, name: string, flags: Flags) => withContext(flags, context => move(context, kind, name, "draining")));
cli.command("stop <kind> <name>", "Stop using a target at all").action((kind: string, name: string, flags: Flags) =>
    withContext(flags, context => move(context, kind, name, "stopped"))
);
cli.command("serve <kind> <name>", "Give a target or an entry work again")
    .action((kind: string, name: string, flags: Flags) => withContext(flags, context => move(context, kind, name, "serving")));
cli.command("explain <caller>", "Say why a caller would get the answer it gets")
    .option("--service <service>", "Only this service")
    .action((caller: string, flags: Flags) =>
        withContext(flags, (context, settings) => explain(settings.entries, caller, flags.service, context.asJson))
    );
cli.command("steering <control>", "Show a steering entry and those it knows, by the address of its control socket")
    .action(async (control: string, flags: Flags) => {
        process.exitCode = await steeringStatus(control, flags.json === true);
    });
cli.command("route <control> <host> <path>", "Say how a steering entry would treat a request")
    .action(async (control: string, host: string, path: string, flags: Flags) => {
        process.exitCode = await explainRoute(control, host, path, flags.json === true);
    });
cli.command("trace <request> [...files]", "Print a request's way through logs, with what its entry believed")
    .action((request: string, files: readonly string[]) => {
        process.exitCode = trace(request, files);
    });
cli.help(sections => [...sections, { body: exitCodeText }]);
cli.version(version);

try {
    cli.parse(process.argv, { run: false });
    if (cli.matchedCommand === undefined && cli.options["help"] !== true && cli.options["version"] !== true) {
        throw new Error(
            cli.args.length === 0 ? "name a command; see --help" : `there is no command "${cli.args[0]}"; see --help`,
        );
    }
    await cli.runMatchedCommand();
}
catch (error) {
    printError(results.badArguments, (error as Error).message);
    process.exitCode = exitCodes.usage;
}

function move(context: CommandContext, kind: string, name: string, state: "serving" | "draining" | "stopped"): Promise<number> {
    if (kind === "target") {
        return setTarget(context, name, state);
    }
    if (kind === "entry" && state !== "stopped") {
        return setEntry(context, name, state === "draining");
    }
    printError(results.badArguments, `can't ${state} "${kind}"; the kind is target${state === "stopped" ? "" : " or entry"}`);
    return Promise.resolve(exitCodes.usage);
}

async function withContext(
    flags: Flags,
    use: (context: CommandContext, settings: ClientSettings) => Promise<number>,
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
        asJson: flags.json === true,
    };
    process.exitCode = await use(context, settings.value);
    await store.close();
}
