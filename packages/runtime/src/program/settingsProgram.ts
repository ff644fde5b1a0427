/** Command line of a program that takes one settings file: validates the file or runs with it. */
import { results } from "@pimentospring/core/results/resultCode";
import { cac } from "cac";
import type * as v from "valibot";
import { readSettings } from "../settings/settings.js";
import { exitCodes, printError, printSettingsFaults } from "./program.js";

export interface SettingsProgramOptions<Schema extends v.GenericSchema> {
    readonly program: string;
    readonly version: string;
    /** One-line description for `--help`. */
    readonly description: string;
    readonly schema: Schema;
    readonly serve: (settings: v.InferOutput<Schema>) => Promise<void>;
}

/** Parses the process's arguments; an error is printed with its number and sets the exit code. */
export function runSettingsProgram<Schema extends v.GenericSchema>(options: SettingsProgramOptions<Schema>): void {
    const { program, version } = options;
    const cli = cac(program);
    const run = async (file: string, isCheck: boolean): Promise<void> => {
        const settings = readSettings(file, options.schema);
        if (settings.isErr) {
            printSettingsFaults(results.badSettings, settings.error);
            process.exitCode = exitCodes.settings;
        }
        else if (isCheck) {
            process.stdout.write(`${file}: the settings are valid\n`);
        }
        else {
            await options.serve(settings.value);
        }
    };
    cli.command("<settings>", options.description)
        .option("--check", "Only check the settings")
        .example(`${program} settings.toml`)
        .action((file: string, flags: { readonly check?: boolean; }) => run(file, flags.check === true));
    cli.help();
    cli.version(version);
    try {
        cli.parse();
        if (cli.matchedCommand === undefined && cli.options["help"] !== true && cli.options["version"] !== true) {
            throw new Error("name a settings file; see --help");
        }
    }
    catch (error) {
        printError(results.badArguments, (error as Error).message);
        process.exitCode = exitCodes.usage;
    }
}
