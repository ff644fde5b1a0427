/**
 * Reads a settings file again and again. A value that can't be used in a section whose values all have defaults is replaced by
 * the one in force, or by its default, and so concerns that value only.
 */
import { readFileSync } from "node:fs";
import { err, ok, type Result } from "true-myth/result";
import * as v from "valibot";
import { checkSettings, describeFault, parseSettings, type SettingsFault } from "./settings.js";

/** A value of the file that is not used. */
export interface ReplacedSetting {
    /** Dotted key. */
    readonly key: string;
    readonly value: string;
    /** What is wrong and what is allowed. */
    readonly text: string;
    /** The value in its place, as decoded; empty for a key that is not known. */
    readonly used: string;
}

export interface SettingsReading<Settings> {
    readonly settings: Settings;
    readonly replaced: readonly ReplacedSetting[];
}

export interface SettingsReader<Settings> {
    /** Reads the file; undefined if it is as it was at the last call. */
    readChanged(): Result<SettingsReading<Settings>, SettingsFault[]> | undefined;
}

export interface SettingsReaderOptions<Schema extends v.GenericSchema> {
    readonly file: string;
    readonly schema: Schema;
    /** Names of tables and values at the top whose parts all have defaults. */
    readonly defaultedSections: readonly string[];
}

type Table = Readonly<Record<string, unknown>>;

export function createSettingsReader<Schema extends v.GenericSchema>(
    { file, schema, defaultedSections }: SettingsReaderOptions<Schema>,
): SettingsReader<v.InferOutput<Schema>> {
    let lastText: string | undefined;
    /** Content of the file that is in force, without what was replaced. */
    let inForce: Table = {};
    const check = (raw: Table): Result<SettingsReading<v.InferOutput<Schema>>, SettingsFault[]> => {
        const replacement = replaceFaults(schema, raw, inForce, defaultedSections);
        return checkSettings(file, replacement.table, schema).map(settings => {
            inForce = replacement.table;
            return { settings, replaced: replacement.issues.map(issue => describeReplaced(issue, raw, settings as Table)) };
        });
    };
    return {
        readChanged: () => {
            const text = readText(file);
            // The error stands in for the content, so that a file that stays unreadable is reported only once.
            const content = text.isOk ? text.value : text.error;
            if (content === lastText) {
                return undefined;
            }
            lastText = content;
            return text.isOk
                ? parseSettings(file, text.value).andThen(raw => check(raw as Table))
                : err([{ file, key: "", text: `can't be read: ${text.error}` }]);
        },
    };
}

function readText(file: string): Result<string, string> {
    try {
        return ok(readFileSync(file, "utf8"));
    }
    catch (error) {
        return err((error as Error).message);
    }
}

interface Replacement {
    readonly table: Table;
    readonly issues: readonly v.BaseIssue<unknown>[];
}

/** Replaces the values that can be; faults that remain are found when the table is checked. */
function replaceFaults(schema: v.GenericSchema, raw: Table, inForce: Table, sections: readonly string[]): Replacement {
    const issues = (v.safeParse(schema, raw).issues ?? []).filter(issue => isReplaceable(issue, sections));
    const table = issues.reduce((changed, issue) => replaceAt(changed, inForce, placeOf(issue, raw)), raw);
    return { table, issues };
}

const isReplaceable = (issue: v.BaseIssue<unknown>, sections: readonly string[]): boolean =>
    isUnknownKey(issue) || sections.includes(String(issue.path?.[0].key));

const isUnknownKey = (issue: v.BaseIssue<unknown>): boolean => issue.type === "strict_object" && issue.expected === "never";

const isTable = (value: unknown): value is Table => typeof value === "object" && value !== null && !Array.isArray(value);

/** Keys of the value to replace: a value at the top, or one in a table there. */
function placeOf(issue: v.BaseIssue<unknown>, raw: Table): readonly string[] {
    const keys = (issue.path ?? []).map(({ key }) => String(key));
    return isTable(raw[keys[0]!]) ? keys.slice(0, 2) : keys.slice(0, 1);
}

/** The table with the value of `source` at `place`, or without one there. */
function replaceAt(table: Table, source: Table, [key, ...rest]: readonly string[]): Table {
    const { [key!]: old, ...others } = table;
    const replacement = source[key!];
    if (rest.length > 0) {
        return { ...others, [key!]: replaceAt(old as Table, isTable(replacement) ? replacement : {}, rest) };
    }
    return replacement === undefined ? others : { ...others, [key!]: replacement };
}

function describeReplaced(issue: v.BaseIssue<unknown>, raw: Table, settings: Table): ReplacedSetting {
    const place = placeOf(issue, raw);
    const valueIn = (table: Table): unknown => place.reduce<unknown>((part, key) => isTable(part) ? part[key] : undefined, table);
    return {
        key: place.join("."),
        value: JSON.stringify(valueIn(raw)) ?? "",
        text: describeFault(issue),
        used: isUnknownKey(issue) ? "" : JSON.stringify(valueIn(settings)) ?? "",
    };
}
