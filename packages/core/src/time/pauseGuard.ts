/**
 * Notices that the process stood still (a paused machine, a long stop of the event loop). What it knows may then be
 * old, so for a moment it starts nothing new and lets the news that waited in its sockets come in first.
 */
import type { Timer } from "./timer.js";

/** A gap between two signs of life that counts as a pause; the shortest timer comes far more often. */
const minPauseMs = 500;
/** Time given to news after a pause; two round trips between regions. */
const recoveryMs = 250;

export interface PauseGuard {
    /** Called before every event and timer. */
    recordActivity(): void;
    /** Whether nothing new may start now. */
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
