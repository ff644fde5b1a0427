/**
 * `npm run experiment -- PATTERN`: plays a load pattern in virtual time and prints what callers got, by class. With
 * `--json` the result is kept; with `--against` it is compared with one that another version of the code kept.
 */
import { results } from "@pimentospring/core/results/resultCode";
import { type ExperimentResult, loadPatterns, runExperiment } from "@pimentospring/harness/steering/experiment";
import type { ClassOutcome } from "@pimentospring/harness/steering/simulationOptions";
import { valueRatio } from "@pimentospring/harness/steering/valueRatio";
import { exitCodes, printError } from "@pimentospring/runtime/program/program";
import { cac } from "cac";
import { readFileSync, writeFileSync } from "node:fs";
import { printTable } from "./report.js";

interface Flags {
    readonly seeds: number;
    readonly rate?: number;
    readonly json?: string;
    readonly against?: string;
    readonly notices: boolean;
}

const ratio = (count: number, outcome: ClassOutcome): string => (count / outcome.requests).toFixed(3);

function printResult(result: ExperimentResult, earlier: ExperimentResult | undefined): void {
    const rows = Object.entries(result.classes).map(([name, outcome]) => {
        const { inTime, late, refused, failed } = outcome;
        const earlierOutcome = earlier?.classes[name];
        const change = earlierOutcome === undefined ? [] : [(valueRatio(outcome) - valueRatio(earlierOutcome)).toFixed(3)];
        const fractions = [inTime, late, refused, failed].map(count => ratio(count, outcome));
        return [name, String(outcome.requests), ...fractions, valueRatio(outcome).toFixed(3), ...change];
    });
    const headings = ["class", "requests", "in time", "late", "refused", "failed", "value"];
    printTable(earlier === undefined ? headings : [...headings, "change"], rows);
    printTable(
        ["service", "arrivals", "at closed targets", "at leaving targets", "warm runs", "hottest target"],
        Object.entries(result.services).map(([name, service]) => [
            name,
            ...[service.sent, service.sentToPausedTargets, service.sentToLeavingTargets].map(String),
            (service.warmRuns / service.runs).toFixed(3),
            `${service.hottestTargetRatio.toFixed(2)} of mean`,
        ]),
    );
    const inTimeRow = ([name, outcome]: readonly [string, ClassOutcome]): string[] => [name, ratio(outcome.inTime, outcome)];
    printTable(["region", "in time"], Object.entries(result.regions).map(inTimeRow));
    printTable(["second", "in time"], result.seconds.map((outcome, second) => inTimeRow([String(second + 1), outcome])));
}

/** Throws if the file holds the result of another experiment, which can't be compared. */
function readEarlier(path: string, result: ExperimentResult): ExperimentResult {
    const earlier = JSON.parse(readFileSync(path, "utf8")) as ExperimentResult;
    const setup = ({ pattern, perSecond, seeds }: ExperimentResult): string => JSON.stringify([pattern, perSecond, seeds]);
    if (setup(earlier) !== setup(result)) {
        throw new Error(`${path} holds ${setup(earlier)}, not ${setup(result)}`);
    }
    return earlier;
}

function experiment(pattern: string | undefined, flags: Flags): void {
    if (pattern === undefined) {
        printTable(["pattern", "load"], Object.entries(loadPatterns).map(([name, { description }]) => [name, description]));
        return;
    }
    const result = runExperiment({
        pattern,
        perSecond: flags.rate,
        areNoticesRead: flags.notices,
        seeds: Array.from({ length: flags.seeds }, (_, index) => index + 1),
        onProgress: seed => void process.stderr.write(`seed ${seed} of ${flags.seeds}\n`),
    });
    printResult(result, flags.against === undefined ? undefined : readEarlier(flags.against, result));
    if (flags.json !== undefined) {
        writeFileSync(flags.json, JSON.stringify(result, undefined, 4));
    }
}

const cli = cac("experiment");
cli.command("[pattern]", "Plays a load pattern in virtual time; without a pattern, lists them")
    .option("--seeds <n>", "Number of seeds", { default: 2 })
    .option("--rate <n>", "Requests per second in each data centre")
    .option("--no-notices", "Entries ignore what targets say of their own availability")
    .option("--json <file>", "Writes the result to a file")
    .option("--against <file>", "Compares with the result in a file")
    .action(experiment);
cli.help();
try {
    cli.parse(process.argv, { run: false });
    await cli.runMatchedCommand();
}
catch (error) {
    printError(results.badArguments, (error as Error).message);
    process.exitCode = exitCodes.usage;
}
