/** Keeps this entry's record in the store under a lease, and writes it again whenever it is gone. */
import type { Random } from "@pimentospring/core/random/random";
import type { Timer } from "@pimentospring/core/time/timer";
import type { Log } from "@pimentospring/runtime/logs/log";
import { logEvents } from "@pimentospring/runtime/logs/logEvents";
import type { Store } from "./store.js";

export interface RegistrationOptions {
    readonly store: Store;
    readonly timer: Timer;
    readonly random: Random;
    readonly log: Log;
    readonly key: string;
    readonly value: Buffer;
}

export interface Registration {
    start(): void;
    /** The store says that the record is gone. */
    markLost(): void;
    /** Removes the record; the entry takes no new requests. */
    deregister(): Promise<void>;
}

const leaseMs = 6_000;
const renewIntervalMs = 2_000;
const retryDelayMs = 400;

export function createRegistration(options: RegistrationOptions): Registration {
    const { store, timer, random, log, key, value } = options;
    let lease: number | undefined;
    let isWritten = false;
    let isDeregistering = false;

    const write = async (): Promise<boolean> => {
        if (lease === undefined) {
            const granted = await store.grantLease(leaseMs);
            if (granted.isErr) {
                return false;
            }
            lease = granted.value;
        }
        const written = await store.write({ expected: [], puts: [{ key, value, lease }], removes: [] });
        if (written.isErr && written.error.kind === "noLease") {
            lease = undefined;
        }
        return written.isOk;
    };
    const renew = async (): Promise<boolean> => {
        const kept = await store.renewLease(lease!);
        if (kept.isErr && kept.error.kind === "noLease") {
            lease = undefined;
            isWritten = false;
            log.write(logEvents.registrationLost, { reason: kept.error.reason });
        }
        return kept.isOk;
    };
    const step = async (): Promise<void> => {
        if (isDeregistering) {
            return;
        }
        const wasWritten = isWritten;
        const isDone = isWritten ? await renew() : await write();
        if (!wasWritten && isDone) {
            isWritten = true;
            log.write(logEvents.registered, { lease });
        }
        const delayMs = (isDone ? renewIntervalMs : retryDelayMs) * (0.8 + 0.4 * random.next());
        timer.after(delayMs, () => void step());
    };
    return {
        start: () => void step(),
        markLost: () => {
            isWritten = false;
        },
        deregister: async () => {
            isDeregistering = true;
            if (lease !== undefined) {
                const ended = await store.revokeLease(lease);
                if (ended.isErr) {
                    log.write(logEvents.registrationLost, { reason: `not removed: ${ended.error.reason}` });
                }
            }
        },
    };
}
