/**
 * Clock and scheduler. Every component that needs the time or schedules a call takes a `Timer`: in production one on the
 * system clock, in tests a virtual one (`time/virtualTimer`).
 */

/** Cancels a subscription or a pending call; idempotent. */
export type Cancel = () => void;

export interface Timer {
    /** Monotonic time in milliseconds; only differences are meaningful. */
    now(): number;
    /** Wall-clock time in milliseconds since 1970; for display only, never for decisions. */
    wallTime(): number;
    /** Calls `listener` once, after `delayMs`. */
    after(delayMs: number, listener: () => void): Cancel;
    /** Calls `listener` every `intervalMs` until cancelled. */
    subscribe(intervalMs: number, listener: () => void): Cancel;
}
