/** `npm run docs`: generates the reference pages for result codes and log events; a test checks that they are current. */
import { results } from "@pimentospring/core/results/resultCode";
import { logEvents } from "@pimentospring/runtime/logs/logEvents";
import { readFileSync, writeFileSync } from "node:fs";
import { fileURLToPath } from "node:url";

const pagePath = (name: string): string => fileURLToPath(new URL(`../../docs/reference/${name}`, import.meta.url));

/** Contents of each generated page, keyed by its path. */
export function generatedPages(): Readonly<Record<string, string>> {
    const codes = Object.values(results).map(({ code, name, outcome, status, text }) =>
        `| ${code} | ${name} | ${outcome} | ${status} | ${text} |`
    );
    const events = Object.values(logEvents).map(({ number, name, severity, text }) =>
        `| ${number} | ${name} | ${severity} | ${text} |`
    );
    return {
        [pagePath("result-codes.md")]: [
            "# Result codes",
            "",
            "Every response carries its code in `x-pimento-result`; the body of a refusal contains it too.",
            "\"notRun\" is certain: any request may be retried. After \"unknown\" only idempotent requests may.",
            "",
            "| code | name | outcome | HTTP status | what happened |",
            "| --- | --- | --- | --- | --- |",
            ...codes,
            "",
        ].join("\n"),
        [pagePath("log-events.md")]: [
            "# Log events",
            "",
            "Logs are JSON, one event per line, on standard error (`pimento-steer`: standard output); `event` is the number.",
            "",
            "| number | name | severity | what happened, what to do |",
            "| --- | --- | --- | --- |",
            ...events,
            "",
        ].join("\n"),
    };
}

export const readPage = (name: string): string => readFileSync(pagePath(name), "utf8");

if (process.argv[2] === "write") {
    Object.entries(generatedPages()).forEach(([path, text]) => writeFileSync(path, text));
}
