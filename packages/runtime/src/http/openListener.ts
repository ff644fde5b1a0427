/** Opens a listener, and logs which one can't be opened. */
import type { Log } from "../logs/log.js";
import { logEvents } from "../logs/logEvents.js";

export interface ListenerOptions {
    readonly log: Log;
    /** Name in the settings and in the log. */
    readonly name: string;
    /** `host:port`. */
    readonly address: string;
    /** Rejects if the address can't be bound. */
    readonly open: (address: string) => Promise<unknown>;
}

export async function openListener({ log, name, address, open }: ListenerOptions): Promise<void> {
    try {
        await open(address);
    }
    catch (error) {
        log.write(logEvents.cannotListen, { listener: name, address, tries: 1, reason: (error as Error).message });
        throw error;
    }
}
