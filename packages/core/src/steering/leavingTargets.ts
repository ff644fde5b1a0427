/** Target incarnations that have said themselves that they leave, whatever the store says of them. */
import type { TargetIncarnationId } from "../ids.js";
import type { Timer } from "../time/timer.js";

export interface LeavingTargets {
    /** Returns whether it was not known yet. */
    add(incarnation: TargetIncarnationId): boolean;
    /** The same for an incarnation named by a sender that is no known member. It never displaces one added by `add`. */
    addUnconfirmed(incarnation: TargetIncarnationId): boolean;
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
/** Several times the targets of a large deployment. */
const maxLeavingTargets = 10_000;
const maxUnconfirmed = 1_000;

export function createLeavingTargets(timer: Timer): LeavingTargets {
    /** In the order in which they were learned. */
    const learnedAt = new Map<TargetIncarnationId, number>();
    /** The same for those that only senders which are no known members have named. */
    const unconfirmedAt = new Map<TargetIncarnationId, number>();
    const has = (incarnation: TargetIncarnationId): boolean => learnedAt.has(incarnation) || unconfirmedAt.has(incarnation);
    /** Drops what has expired, and the oldest where there is no room. */
    const makeRoom = (learned: Map<TargetIncarnationId, number>, maxCount: number): void => {
        for (const [incarnation, at] of learned) {
            if (timer.now() - at < retentionMs && learned.size < maxCount) {
                return;
            }
            learned.delete(incarnation);
        }
    };
    return {
        add: incarnation => {
            makeRoom(learnedAt, maxLeavingTargets);
            if (learnedAt.has(incarnation)) {
                return false;
            }
            learnedAt.set(incarnation, timer.now());
            return !unconfirmedAt.delete(incarnation);
        },
        addUnconfirmed: incarnation => {
            makeRoom(unconfirmedAt, maxUnconfirmed);
            if (has(incarnation)) {
                return false;
            }
            unconfirmedAt.set(incarnation, timer.now());
            return true;
        },
        has,
        recent: () =>
            [...unconfirmedAt, ...learnedAt].filter(([, at]) => timer.now() - at < newsMs).slice(-maxNews).map(([incarnation]) =>
                incarnation
            ),
    };
}
