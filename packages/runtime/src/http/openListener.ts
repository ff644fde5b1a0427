/** Opens a listener. An address that can't be bound, because another process holds it, is tried again until it can. */
import type { Timer } from "@pimentospring/core/time/timer";
import type { Log } from "../logs/log.js";
import { logEvents } from "../logs/logEvents.js";

export interface ListenerOptions {
    readonly timer: Timer;
    readonly log: Log;
    /** Name in the settings and in the log. */
    readonly name: string;
    /** `host:port`. */
    readonly address: string;
    /** Binds the address; rejects if it can't be bound. Errors of the listener once it is open go to `onError`. */
    readonly open: (address: string, onError: (error: Error) => void) => Promise<unknown>;
    /** Whether the listener is no longer wanted, as the program stops. */
    readonly isCancelled: () => boolean;
}

const firstRetryDelayMs = 50;
const maxRetryDelayMs = 1_000;
/** Of the tries that follow, each of which fails like the ones before, one in this many is logged. */
const loggedTryInterval = 60;

/** Resolves to whether the listener was opened: false if it was cancelled first. */
export async function openListener(options: ListenerOptions): Promise<boolean> {
    const { timer, log, name, address } = options;
    const onError = (error: Error): void =>
        log.write(logEvents.listenerFailed, { listener: name, address, reason: error.message });
    for (let tries = 1; !options.isCancelled(); tries++) {
        try {
            await options.open(address, onError);
            if (tries > 1) {
                log.write(logEvents.listenerOpened, { listener: name, address, tries });
            }
            return true;
        }
        catch (error) {
            if (isLogged(tries)) {
                log.write(logEvents.cannotListen, { listener: name, address, tries, reason: (error as Error).message });
            }
        }
        await new Promise<void>(resolve => timer.after(retryDelayMs(tries), resolve));
    }
    return false;
}

const retryDelayMs = (tries: number): number => Math.min(maxRetryDelayMs, firstRetryDelayMs * 2 ** Math.min(tries - 1, 10));

/** The first tries are logged at 1, 2, 4, 8 and so on. */
const isLogged = (tries: number): boolean =>
    tries < loggedTryInterval ? (tries & (tries - 1)) === 0 : tries % loggedTryInterval === 0;
