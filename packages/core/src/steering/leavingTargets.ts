/** Target incarnations that have said themselves that they leave, whatever the store says of them. */
import type { TargetIncarnationId } from "../ids.js";
import type { Timer } from "../time/timer.js";

export interface LeavingTargets {
    /** Returns whether it was not known yet. */
    add(incarnation: TargetIncarnationId): boolean;
    has(incarnation: TargetIncarnationId): boolean;
    /** Incarnations learned of recently, for the other entries. */
    recent(): TargetIncarnationId[];
}

/** Several heartbeats, so that a lost one does not matter. */
const newsMs = 4_000;
/** Bound on the news in a datagram. */
const maxNews = 24;
/** Longer than a target keeps running after it has said that it leaves. */
const retentionMs = 600_000;

export function createLeavingTargets(timer: Timer): LeavingTargets {
    /** In the order in which they were learned. */
    const learnedAt = new Map<TargetIncarnationId, number>();
    const removeExpired = (): void => {
        for (const [incarnation, at] of learnedAt) {
            if (timer.now() - at < retentionMs) {
                return;
            }
            learnedAt.delete(incarnation);
        }
    };
    return {
        add: incarnation => {
            removeExpired();
            if (learnedAt.has(incarnation)) {
                return false;
            }
            learnedAt.set(incarnation, timer.now());
            return true;
        },
        has: incarnation => learnedAt.has(incarnation),
        recent: () =>
            [...learnedAt].filter(([, at]) => timer.now() - at < newsMs).slice(-maxNews).map(([incarnation]) => incarnation),
    };
}
