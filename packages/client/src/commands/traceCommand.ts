/** `pimento trace`: follows one request through the logs of several processes. */
import { results } from "@pimentospring/core/results/resultCode";
import { idWord } from "@pimentospring/runtime/logs/idWord";
import { exitCodes, printError } from "@pimentospring/runtime/program/program";
import { readFileSync } from "node:fs";

/** The fields of a structured log line that a trace uses. */
interface LogLine {
    readonly time: string;
    readonly instance: string;
    readonly event: number;
    readonly name: string;
    readonly request?: string;
    readonly target?: string;
    readonly fingerprint?: string;
    readonly trail?: readonly string[];
    readonly answers?: readonly string[];
}

/** Events logged up to this long before a request's end are shown as its possible causes. */
const lookBackMs = 6_000;
/** Numbers of the log events `requestEnded`, `poisonRefused` and `workspaceRefused`: the last line on a request. */
const requestEndedEvent = 700;
const poisonRefusedEvent = 403;
const workspaceRefusedEvent = 404;
const endEvents = new Set([requestEndedEvent, poisonRefusedEvent, workspaceRefusedEvent]);
/** Number of the log event `requestsAnswered`, whose `answers` are `id target status bytes` with an optional `framing end`. */
const requestsAnsweredEvent = 703;
/** Events on other requests only. */
const unrelatedEvents = new Set([requestEndedEvent, workspaceRefusedEvent, requestsAnsweredEvent]);
/** Number of the log event `poison`. */
const poisonEvent = 401;

/** Parses the JSON log lines of a text. A line may have a prefix, such as the time stamp added by journald or a benchmark. */
export function parseLogLines(text: string): LogLine[] {
    const lines: LogLine[] = [];
    for (const line of text.split("\n")) {
        const at = line.indexOf("{\"time\"");
        if (at !== -1) {
            const parsed = parseLogLine(line.slice(at));
            if (parsed !== undefined) {
                lines.push(parsed);
            }
        }
    }
    return lines;
}

function parseLogLine(text: string): LogLine | undefined {
    try {
        return JSON.parse(text) as LogLine;
    }
    catch {
        // The process ended while it was writing this line.
        return undefined;
    }
}

/** Lines of the trace, in log order; empty if no log has the request. */
export function traceRequest(lines: readonly LogLine[], request: string): string[] {
    const ends = lines.filter(line => endEvents.has(line.event) && line.request === request);
    return [
        ...listedAnswers(lines, request),
        ...ends.flatMap(end => [
            ...(end.event === poisonRefusedEvent ? deathsBefore(lines, end) : eventsBefore(lines, end)),
            ...formatRequestEnd(end),
        ]),
    ];
}

/** What entries listed of the request as an ordinary answered one. */
function listedAnswers(lines: readonly LogLine[], request: string): string[] {
    const word = idWord(request);
    // Earlier versions wrote a text, whose entries could be forged.
    return lines.filter(line => line.event === requestsAnsweredEvent && Array.isArray(line.answers)).flatMap((
        { time, instance, event, name, answers = [] },
    ) => answers.map(answer => answer.split(" ")).filter(([id]) => id === word).map((
        [, target, status, bytes, ...end],
    ) => [time, instance, event, name, `target=${target}`, `status=${status}`, `bytes=${bytes}`, ...end].join(" ")));
}

/** Deaths under the same request that any entry logged, however long before. */
function deathsBefore(lines: readonly LogLine[], end: LogLine): string[] {
    return lines.filter(line => line.event === poisonEvent && line.fingerprint === end.fingerprint && line.time <= end.time)
        .map(line => `${line.time} ${line.instance} ${line.event} ${formatFields(line)}`);
}

/** Events that the request's entry logged shortly before its end: those on targets in its trail, and those on no single target. */
function eventsBefore(lines: readonly LogLine[], end: LogLine): string[] {
    const endAt = Date.parse(end.time);
    const trail = end.trail?.join(" ") ?? "";
    const isRelevant = (line: LogLine): boolean =>
        line.instance === end.instance && !unrelatedEvents.has(line.event)
        && Date.parse(line.time) <= endAt
        && Date.parse(line.time) >= endAt - lookBackMs && (line.target === undefined || trail.includes(line.target));
    return lines.filter(isRelevant).map(line => `${line.time} ${line.instance} ${line.event} ${formatFields(line)}`);
}

function formatRequestEnd(end: LogLine): string[] {
    const { trail = [], ...rest } = end;
    return [`${end.time} ${end.instance} ${end.event} ${formatFields(rest)}`, ...trail.map(step => `    ${step}`)];
}

const omittedFields = new Set(["time", "instance", "event", "program", "severity"]);

const formatFields = (line: LogLine): string =>
    Object.entries(line)
        .filter(([name]) => !omittedFields.has(name))
        .map(([name, value]) => (name === "name" ? String(value) : `${name}=${String(value)}`))
        .join(" ");

/** Prints the trace and returns the exit code. */
export function trace(request: string, files: readonly string[]): number {
    let lines: LogLine[];
    try {
        lines = files.flatMap(file => parseLogLines(readFileSync(file, "utf8")));
    }
    catch (error) {
        printError(results.badArguments, `${(error as Error).message}; pass existing log files`);
        return exitCodes.usage;
    }
    lines.sort((a, b) => (a.time < b.time ? -1 : 1));
    const traced = traceRequest(lines, request);
    if (traced.length === 0) {
        printError(
            results.notFound,
            `request ${request} is in none of the logs; of ordinary answered requests, 200 a second are listed at each entry`,
        );
        return exitCodes.failed;
    }
    process.stdout.write(`${traced.join("\n")}\n`);
    return exitCodes.ok;
}
