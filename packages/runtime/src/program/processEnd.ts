/** Ends the process and logs why. */
import type { Log } from "../logs/log.js";
import { logEvents } from "../logs/logEvents.js";

export function endProcess(log: Log, code: number, reason: string): never {
    log.write(logEvents.exiting, { code, reason });
    process.exit(code);
}
