#!/usr/bin/env node
/** `pimento-standin`: stand-ins for the external systems of pimentospring, each as its own process. */
import { results } from "@pimentospring/core/results/resultCode";
import { splitAddress } from "@pimentospring/runtime/http/jsonServer";
import { exitCodes, printBanner, printError } from "@pimentospring/runtime/program/program";
import { cac } from "cac";
import { createPlatform } from "./platform/platform.js";
import { createTarget } from "./target/target.js";

interface PlatformFlags {
    readonly listen: string;
    readonly reads: number;
    readonly writes: number;
}

interface TargetFlags {
    readonly listen: string;
    readonly slots: number;
    readonly mean: number;
    readonly seed: number;
    readonly coldMs: number;
}

const version = "0.1.0";
const program = "pimento-standin";
const cli = cac(program);

cli.command("platform", "Key-value service, list of instances and trace collector")
    .option("--listen <address>", "Address to listen on", { default: "127.0.0.1:2379" })
    .option("--reads <n>", "Limit of reads per second", { default: 2_000 })
    .option("--writes <n>", "Limit of writes per second", { default: 400 })
    .action(async (flags: PlatformFlags) => {
        const platform = await createPlatform({
            ...splitAddress(flags.listen),
            readsPerSecond: flags.reads,
            writesPerSecond: flags.writes,
        });
        printBanner(`${program} platform`, version, [{ label: "platform", value: platform.url }]);
    });
cli.command("target", "Target with concurrency slots")
    .option("--listen <address>", "Address to listen on", { default: "127.0.0.1:9001" })
    .option("--slots <n>", "Maximum number of concurrent requests", { default: 4 })
    .option("--mean <ms>", "Mean service time", { default: 5 })
    .option("--cold-ms <ms>", "Warm-up time after the start", { default: 0 })
    .option("--seed <n>", "Seed of the service times", { default: 1 })
    .action(async (flags: TargetFlags) => {
        const target = await createTarget({
            ...splitAddress(flags.listen),
            slots: flags.slots,
            seed: flags.seed,
            behaviour: { meanMs: flags.mean, coldMs: flags.coldMs },
            onCrash: () => process.exit(exitCodes.failed),
        });
        printBanner(`${program} target`, version, [{ label: "target", value: target.address }]);
    });
cli.help();
cli.version(version);

try {
    cli.parse(process.argv, { run: false });
    if (cli.matchedCommand === undefined && cli.options["help"] !== true && cli.options["version"] !== true) {
        throw new Error("missing command: platform or target; see --help");
    }
    await cli.runMatchedCommand();
}
catch (error) {
    printError(results.badArguments, (error as Error).message);
    process.exitCode = exitCodes.usage;
}
