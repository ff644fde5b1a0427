/** Structured logs by `tslog`: one JSON object per line with the event's number and name; on standard error by default. */
import { Logger } from "tslog";
import type { LogEvent, Severity } from "./logEvents.js";
import type { LogSink } from "./logSink.js";

/** Fields of a line in addition to those of the event. */
export type LogFields = Readonly<Record<string, string | number | boolean | readonly string[] | undefined>>;

export interface Log {
    write(event: LogEvent, fields?: LogFields): void;
}

const minLevels: Record<Severity, number> = { debug: 2, info: 3, warn: 4, error: 5 };

/** Creates a log that adds `program` and `instance` to every line. */
export function createLog(program: string, instance: string, level: Severity, sink = createStderrSink()): Log {
    const logger = new Logger({ type: "hidden", minLevel: minLevels[level], hideLogPositionForProduction: true });
    logger.attachTransport(line => {
        const { _meta: meta, ...fields } = line as unknown as Record<string, unknown> & { _meta: { date: Date; }; };
        const text = JSON.stringify({ time: meta.date.toISOString(), program, instance, ...fields });
        sink(`${text}\n`);
    });
    return {
        write: (event, fields = {}) => {
            logger[event.severity]({ severity: event.severity, event: event.number, name: event.name, ...fields });
        },
    };
}

function createStderrSink(): LogSink {
    // A write error must not end the program, and can't be logged, as the log itself is what failed.
    process.stderr.on("error", () => {});
    return line => void process.stderr.write(line);
}

export const silentLog: Log = { write: () => {} };
