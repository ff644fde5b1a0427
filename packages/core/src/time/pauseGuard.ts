/**
 * Detects pauses of the process, such as a suspended machine or a blocked event loop. After a pause its state may be
 * stale, so for a short recovery time no new attempts start, and messages buffered in the sockets are handled first.
 */
import type { Timer } from "./timer.js";

/** Gap between two activities that counts as a pause; periodic timers are far more frequent than this. */
const minPauseMs = 500;
/** Recovery time after a pause; two round trips between regions. */
const recoveryMs = 250;

export interface PauseGuard {
    /** Must be called before every event and timer. */
    recordActivity(): void;
    /** Whether the process is in the recovery time after a pause and no new attempt may start. */
    isRecovering(): boolean;
}

export function createPauseGuard(timer: Timer): PauseGuard {
    let lastActivityAt = timer.now();
    let recoveringUntil = -Infinity;
    return {
        recordActivity: () => {
            const now = timer.now();
            if (now - lastActivityAt > minPauseMs) {
                recoveringUntil = now + recoveryMs;
            }
            lastActivityAt = now;
        },
        isRecovering: () => timer.now() < recoveringUntil,
    };
}
