/** `pimento-soak`: runs soaks for one or more seeds and prints the broken promises of each. */
import { results } from "@pimentospring/core/results/resultCode";
import { exitCodes, printError } from "@pimentospring/runtime/program/program";
import { cac } from "cac";
import { randomInt } from "node:crypto";
import { join, resolve } from "node:path";
import type { Violation } from "./promises/records.js";
import { runSoak } from "./soak.js";

interface Flags {
    readonly seed?: number;
    readonly seeds: number;
    readonly seconds: number;
    readonly gap: number;
    readonly processGap: number;
    readonly lostStoreGap: number;
    readonly floodGap: number;
    readonly callers: number;
    readonly outlastingReaders: boolean;
    readonly net: number;
    readonly keep: string;
}

const shownPerPromise = 3;

/** The first violations of each promise. */
const firstOfEach = (violations: readonly Violation[]): readonly Violation[] =>
    violations.filter(({ promise }, index) =>
        violations.slice(0, index).filter(earlier => earlier.promise === promise).length < shownPerPromise
    );

async function soak(flags: Flags): Promise<void> {
    const first = flags.seed ?? randomInt(1_000_000);
    let failed = 0;
    for (let seed = first; seed < first + flags.seeds; seed++) {
        const folder = join(resolve(flags.keep), `seed-${seed}`);
        const { net, callers } = flags;
        const result = await runSoak({
            seed,
            faultPhaseMs: flags.seconds * 1_000,
            meanGapMs: flags.gap,
            meanProcessGapMs: flags.processGap,
            meanLostStoreGapMs: flags.lostStoreGap,
            meanFloodGapMs: flags.floodGap,
            callers,
            hasOutlastingReaders: flags.outlastingReaders,
            loopbackSubnet: net,
            folder,
        });
        const { requests, served, runs, faults, crashes, violations } = result;
        const load = `${Math.round(result.maxResidentMb)} MB resident at most, soak busy ${Math.round(100 * result.busyRatio)}%`;
        process.stdout.write(
            `seed ${seed}: ${faults} faults, ${requests} requests, ${served} served, ${runs} runs, ${crashes} targets crashed, ${load}, `,
        );
        process.stdout.write(
            violations.length === 0 ? "every promise kept\n" : `${violations.length} broken promises; logs in ${folder}\n`,
        );
        firstOfEach(violations).forEach(({ promise, text }) => process.stdout.write(`  ${promise}: ${text}\n`));
        failed += violations.length === 0 ? 0 : 1;
    }
    process.stdout.write(`${flags.seeds - failed} of ${flags.seeds} seeds kept every promise\n`);
    // Exits explicitly: sockets to a process that was killed while they connected may stay half open for minutes.
    process.exit(failed === 0 ? exitCodes.ok : exitCodes.failed);
}

const cli = cac("pimento-soak");
cli.command("", "Runs real daemons under a seeded fault schedule and checks the promises")
    .option("--seed <n>", "First seed; random by default")
    .option("--seeds <n>", "Number of consecutive seeds to run", { default: 1 })
    .option("--seconds <n>", "Length of the fault phase", { default: 16 })
    .option("--gap <ms>", "Mean gap between the starts of faults", { default: 500 })
    .option("--process-gap <ms>", "The same for faults of the daemons' processes; 0 for none", { default: 1_000 })
    .option("--lost-store-gap <ms>", "The same for returns of the store from an older copy; 0 for none", { default: 0 })
    .option("--flood-gap <ms>", "The same for clients that press a daemon; 0 for none", { default: 0 })
    .option("--callers <n>", "Concurrent callers", { default: 12 })
    .option("--no-outlasting-readers", "No callers that read more slowly than a stopping daemon can wait for")
    .option("--net <n>", "Third byte of the loopback addresses, for parallel runs", { default: 81 })
    .option("--keep <folder>", "Folder for logs and records", { default: "target/soak" })
    .action((flags: Flags) => soak(flags));
cli.help();
for (const signal of ["SIGINT", "SIGTERM"] as const) {
    process.once(signal, () => process.exit(exitCodes.failed));
}
try {
    cli.parse(process.argv, { run: false });
    await cli.runMatchedCommand();
}
catch (error) {
    printError(results.badArguments, (error as Error).message);
    // Daemons and connections of a soak that failed would keep the process alive.
    process.exit(exitCodes.usage);
}
