/**
 * Keeps this entry's record in the store under a lease, and writes it again if it is lost. A lease of an older era of the store
 * is not used again: the store may not know it, or may have given its id to another entry.
 */
import type { Random } from "@pimentospring/core/random/random";
import type { Timer } from "@pimentospring/core/time/timer";
import type { Log } from "@pimentospring/runtime/logs/log";
import { logEvents } from "@pimentospring/runtime/logs/logEvents";
import type { StoreResult } from "./store.js";
import type { StoreCalls } from "./storeCalls.js";

export interface RegistrationOptions {
    readonly store: StoreCalls;
    readonly timer: Timer;
    readonly random: Random;
    readonly log: Log;
    readonly key: string;
    readonly value: Buffer;
    /** Called when a call has been without a response for some time. */
    readonly onSilence: () => void;
    /** Called when the store has responded to a call, with the time at which the call began. */
    readonly onResponse: (callStartedAt: number) => void;
}

export interface Registration {
    start(): void;
    /** Marks the record as lost, so that it is written again. */
    markLost(): void;
    /** Removes the record by revoking its lease. */
    deregister(): Promise<void>;
}

const leaseMs = 6_000;
const renewIntervalMs = 2_000;
const retryDelayMs = 400;
/** A call without a response for this long suggests that the store does not respond. */
const slowCallMs = 600;

export function createRegistration(options: RegistrationOptions): Registration {
    const { store, timer, random, log, key, value } = options;
    let lease: number | undefined;
    /** Era of the store in which the lease was granted. */
    let leaseEra = 0;
    let isWritten = false;
    let isDeregistering = false;

    const observe = async <Value>(result: StoreResult<Value>): StoreResult<Value> => {
        const startedAt = timer.now();
        const cancel = timer.after(slowCallMs, options.onSilence);
        const outcome = await result;
        cancel();
        if (outcome.isErr && outcome.error.kind === "unknown") {
            options.onSilence();
        }
        else {
            options.onResponse(startedAt);
        }
        return outcome;
    };
    const revoke = async (revokedLease: number): Promise<void> => {
        const revoked = await store.revokeLease(revokedLease);
        if (revoked.isErr) {
            log.write(logEvents.registrationLost, { reason: `record not removed: ${revoked.error.reason}` });
        }
    };
    const isOfOlderEra = (): boolean => lease !== undefined && leaseEra < store.era();
    /** Drops a lease of an older era, and with it the record. */
    const dropOlderLease = (): void => {
        if (isOfOlderEra()) {
            lease = undefined;
            isWritten = false;
            log.write(logEvents.registrationLost, { reason: "the store came back from an older copy" });
        }
    };
    const write = async (): Promise<boolean> => {
        if (lease === undefined) {
            const granted = await observe(store.grantLease(leaseMs));
            if (granted.isErr) {
                return false;
            }
            if (isDeregistering) {
                // It was granted after the record was removed, so that no record may be written with it.
                await revoke(granted.value);
                return false;
            }
            lease = granted.value;
            leaseEra = store.era();
        }
        const written = await observe(store.write({ expected: [], puts: [{ key, value, lease }], removes: [] }));
        if (written.isErr) {
            lease = written.error.kind === "noLease" ? undefined : lease;
        }
        return written.isOk && !isOfOlderEra();
    };
    const renew = async (): Promise<boolean> => {
        const renewed = await observe(store.renewLease(lease!));
        if (renewed.isErr && renewed.error.kind === "noLease") {
            lease = undefined;
            isWritten = false;
            log.write(logEvents.registrationLost, { reason: renewed.error.reason });
        }
        return renewed.isOk && !isOfOlderEra();
    };
    const registerOrRenew = async (): Promise<void> => {
        if (isDeregistering) {
            return;
        }
        dropOlderLease();
        const wasWritten = isWritten;
        const hasSucceeded = isWritten ? await renew() : await write();
        if (!wasWritten && hasSucceeded) {
            isWritten = true;
            log.write(logEvents.registered, { lease });
        }
        const delayMs = (hasSucceeded ? renewIntervalMs : retryDelayMs) * (0.8 + 0.4 * random.next());
        timer.after(delayMs, () => void registerOrRenew());
    };
    return {
        start: () => void registerOrRenew(),
        markLost: () => {
            isWritten = false;
        },
        deregister: async () => {
            isDeregistering = true;
            if (lease !== undefined && !isOfOlderEra()) {
                await revoke(lease);
            }
            // The older copy may hold the record under a lease that is not this entry's any more.
            if (isOfOlderEra()) {
                await store.write({ expected: [], puts: [], removes: [key] });
            }
        },
    };
}
