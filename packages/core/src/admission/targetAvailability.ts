/** What a target has said of its own availability, and for how long that holds. Times are on the entry's clock. */
import type { TargetNotice } from "../steering/targetRecord.js";

export interface TargetAvailability {
    /** Until this time it counts as leaving, unless its process is found to have ended or it is put into service again. */
    leavingUntil: number;
    /** Whether a leaving target was found dead or unhealthy: what is healthy at its address later is another process. */
    hasEnded: boolean;
    /** Time until which it wants no requests. */
    pausedUntil: number;
}

/** A target that has said that it leaves is used again after this time at the latest. */
const maxLeavingMs = 600_000;
/** Longest pause that a target may ask for, so that a wrong time does not take it out of use for good. */
const maxPauseMs = 60_000;

export const createTargetAvailability = (): TargetAvailability => ({
    leavingUntil: -Infinity,
    hasEnded: false,
    pausedUntil: -Infinity,
});

export const isLeaving = (availability: TargetAvailability, now: number): boolean => availability.leavingUntil > now;

export const isOpen = ({ leavingUntil, pausedUntil }: TargetAvailability, now: number): boolean =>
    Math.max(leavingUntil, pausedUntil) <= now;

/** Returns the state that the target is in because of the notice, if it was not in it before. */
export function applyNotice(
    availability: TargetAvailability,
    notice: TargetNotice,
    now: number,
): "leaving" | "paused" | undefined {
    const wasLeaving = isLeaving(availability, now);
    const wasOpen = isOpen(availability, now);
    if (notice.pauseMs !== undefined) {
        availability.pausedUntil = Math.max(availability.pausedUntil, now + Math.min(notice.pauseMs, maxPauseMs));
    }
    if (notice.isLeaving && !wasLeaving) {
        availability.leavingUntil = now + maxLeavingMs;
        availability.hasEnded = false;
        return "leaving";
    }
    return wasOpen && notice.pauseMs !== undefined ? "paused" : undefined;
}

/** Records a health check; a target that is healthy again after it was not has started anew. */
export function recordLeavingHealth(availability: TargetAvailability, isHealthy: boolean): void {
    if (isHealthy && availability.hasEnded) {
        availability.leavingUntil = -Infinity;
    }
    availability.hasEnded ||= !isHealthy;
}
