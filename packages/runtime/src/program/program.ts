/** Command-line output shared by all programs: start banner, errors and exit codes. */
import type { Result as ResultCode } from "@pimentospring/core/results/resultCode";
import colors from "picocolors";
import type { SettingsFault } from "../settings/settings.js";

/** Exit codes of all programs. */
export const exitCodes = {
    ok: 0,
    /** The operation was refused or failed; the output says why. */
    failed: 1,
    /** The command line is invalid. */
    usage: 2,
    /** The settings are invalid. */
    settings: 3,
    /** The change conflicts with one that was applied first. */
    conflict: 4,
    /** The platform or an entry is unreachable. */
    unreachable: 5,
    /** It is not known whether a change took effect. */
    unknown: 6,
} as const;

export interface BannerLine {
    readonly label: string;
    readonly value: string;
}

/** Prints the start banner on standard output. */
export function printBanner(program: string, version: string, lines: readonly BannerLine[]): void {
    const width = Math.max(...lines.map(line => line.label.length));
    process.stdout.write(`\n  ${colors.bold(colors.green(program))} ${colors.dim(`v${version}`)}\n\n`);
    for (const line of lines) {
        process.stdout.write(`  ${colors.green("➜")}  ${line.label.padEnd(width)}  ${colors.cyan(line.value)}\n`);
    }
    process.stdout.write("\n");
}

/** Prints an error with its number and name on standard error; `detail` says how to correct it. */
export function printError(code: ResultCode, detail: string): void {
    process.stderr.write(`${colors.red(`error ${code.code}`)} ${code.name}: ${detail}\n`);
}

export function printSettingsFaults(code: ResultCode, faults: readonly SettingsFault[]): void {
    for (const fault of faults) {
        printError(code, `${fault.file}: ${fault.key === "" ? "" : `${fault.key} `}${fault.text}`);
    }
}
