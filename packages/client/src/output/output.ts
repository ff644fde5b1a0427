/** Command-line output: formatted text for people, JSON for programs. */
import type { Difference } from "@pimentospring/core/document/diff";
import colors from "picocolors";

/** A table. Every row has as many cells as there are headings. */
export interface Table {
    readonly headings: readonly string[];
    readonly rows: readonly (readonly string[])[];
}

export function formatTable(table: Table): string {
    const allRows = [table.headings, ...table.rows];
    const widths = table.headings.map((_, column) => Math.max(...allRows.map(row => row[column]!.length)));
    const formatRow = (row: readonly string[]): string =>
        row.map((cell, column) => cell.padEnd(widths[column]!)).join("  ").trimEnd();
    return [colors.bold(formatRow(table.headings)), ...table.rows.map(formatRow)].join("\n");
}

export function formatDifferences(differences: readonly Difference[]): string {
    if (differences.length === 0) {
        return "no difference";
    }
    return differences.map(formatDifference).join("\n");
}

function formatDifference(difference: Difference): string {
    switch (difference.kind) {
        case "added":
            return colors.green(`+ ${difference.path}  ${difference.after}`);
        case "removed":
            return colors.red(`- ${difference.path}  ${difference.before}`);
        case "changed":
            return `${colors.yellow(`~ ${difference.path}`)}\n    ${colors.red(difference.before!)}\n    ${
                colors.green(difference.after!)
            }`;
    }
}

/** Writes `value` as JSON if `asJson` is set, otherwise `text`. */
export function print(asJson: boolean, value: unknown, text: string): void {
    process.stdout.write(`${asJson ? JSON.stringify(value, undefined, 2) : text}\n`);
}
