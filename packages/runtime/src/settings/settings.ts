/** Reads a program's TOML settings and validates them against a schema; each fault names its place and how to correct it. */
import { readFileSync } from "node:fs";
import { isIPv4 } from "node:net";
import { parse, TomlError } from "smol-toml";
import { err, ok, type Result } from "true-myth/result";
import * as v from "valibot";

/** A validation error in a settings file. */
export interface SettingsFault {
    readonly file: string;
    /** Dotted key, such as `mesh.key`; empty when the file itself can't be read. */
    readonly key: string;
    /** What is wrong and what is allowed. */
    readonly text: string;
}

/** One line for each fault: its key, if it has one, and what is wrong. */
export function describeSettingsFaults(faults: readonly SettingsFault[]): string[] {
    return faults.map(({ key, text }) => key === "" ? text : `${key} ${text}`);
}

/** Reads and validates a file; unknown keys are faults. */
export function readSettings<Schema extends v.GenericSchema>(
    file: string,
    schema: Schema,
): Result<v.InferOutput<Schema>, SettingsFault[]> {
    let text: string;
    try {
        text = readFileSync(file, "utf8");
    }
    catch (error) {
        return err([{ file, key: "", text: `can't be read: ${(error as Error).message}; name a TOML file that exists` }]);
    }
    return parseSettings(file, text).andThen(raw => checkSettings(file, raw, schema));
}

/** Parses the text of a file. */
export function parseSettings(file: string, text: string): Result<unknown, SettingsFault[]> {
    try {
        return ok(parse(text));
    }
    catch (error) {
        const place = error instanceof TomlError ? ` at line ${error.line}, column ${error.column}` : "";
        const reason = (error as Error).message.split("\n")[0]!;
        return err([{ file, key: "", text: `is not valid TOML${place}: ${reason}` }]);
    }
}

export function checkSettings<Schema extends v.GenericSchema>(
    file: string,
    raw: unknown,
    schema: Schema,
): Result<v.InferOutput<Schema>, SettingsFault[]> {
    const parsed = v.safeParse(schema, raw);
    if (parsed.success) {
        return ok(parsed.output);
    }
    return err(parsed.issues.map(issue => ({ file, key: v.getDotPath(issue) ?? "", text: describeFault(issue) })));
}

export function describeFault(issue: v.BaseIssue<unknown>): string {
    if (issue.type === "strict_object" && issue.expected === "never") {
        return "is not a known key; remove it or correct its spelling";
    }
    if (issue.received === "undefined") {
        return "is missing and has no default; see docs/reference/settings.md";
    }
    return issue.message;
}

const maxPort = 65_535;

function isAddress(text: string): boolean {
    const [, host, port] = /^([\d.]+):(\d{1,5})$/.exec(text) ?? [];
    return host !== undefined && isIPv4(host) && Number(port) <= maxPort;
}

/** Schemas shared by the settings of several programs. */
export const addressSetting = v.pipe(
    v.string(),
    v.check(isAddress, "must be an IPv4 address and port such as 127.0.0.1:7001"),
);
export const urlSetting = v.pipe(v.string(), v.url("must be a URL such as http://127.0.0.1:2379"));
export const keySetting = v.pipe(v.string(), v.minLength(16, "must be at least 16 characters"));

export const platformSettings = v.strictObject({
    /** URL of the platform's key-value service. */
    store: urlSetting,
    /** URL of the platform's list of instances. */
    instances: urlSetting,
    /** Timeout of each call, in milliseconds. */
    timeoutMs: v.optional(v.pipe(v.number(), v.integer(), v.minValue(100), v.maxValue(30_000)), 2_000),
});

export const traceSettings = v.strictObject({
    /** OTLP/HTTP endpoint for spans; without one, none are sent. */
    endpoint: v.optional(urlSetting),
    /** Share of requests whose spans are sent, 0 to 1; a trace that the caller samples is always continued. */
    share: v.optional(v.pipe(v.number(), v.minValue(0), v.maxValue(1)), 0.01),
});

export const logSettings = v.strictObject({
    /** Lowest severity that is logged. */
    level: v.optional(v.picklist(["debug", "info", "warn", "error"]), "info"),
});
