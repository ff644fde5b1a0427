/**
 * Tracks requests that crash targets (poison requests), by fingerprint of method, path and body. After
 * `poisonDeathThreshold` deaths, observed here or reported by peers, a request is refused.
 */
import { maxPoisonEntries, poisonDeathThreshold, poisonRetentionMs } from "../constants.js";
import type { Fingerprint, TargetIncarnationId } from "../ids.js";
import type { Timer } from "../time/timer.js";

export interface PoisonList {
    /** Takes the fingerprint as a function, because it is costly to compute and not needed while the list is empty. */
    isPoison(fingerprint: () => Fingerprint): boolean;
    /** Number of known deaths; a request with any is not hedged, so that only one target runs it at a time. */
    deathCount(fingerprint: Fingerprint): number;
    /** Records that a target died while running the request; returns the count. A named incarnation counts once. */
    recordDeath(fingerprint: Fingerprint, targetIncarnation?: TargetIncarnationId): number;
    /** Records a death count reported by a peer, and the last incarnation that died, if known. 0 after a success. */
    recordReportedDeaths(fingerprint: Fingerprint, count: number, targetIncarnation?: TargetIncarnationId): void;
    /** Clears the request after a success, because its deaths had another cause. Returns whether any were recorded. */
    recordSuccess(fingerprint: () => Fingerprint): boolean;
}

interface PoisonEntry {
    readonly deaths: number;
    readonly expiresAt: number;
    /** Named target incarnations that are already counted. */
    readonly targets: ReadonlySet<TargetIncarnationId>;
}

export function createPoisonList(timer: Timer): PoisonList {
    const entries = new Map<Fingerprint, PoisonEntry>();
    const targetsOf = (fingerprint: Fingerprint): ReadonlySet<TargetIncarnationId> =>
        deathCount(fingerprint) === 0 ? new Set() : entries.get(fingerprint)!.targets;
    const record = (fingerprint: Fingerprint, count: number, targetIncarnation: TargetIncarnationId | undefined): number => {
        const targets = new Set(targetsOf(fingerprint));
        if (targetIncarnation !== undefined) {
            targets.add(targetIncarnation);
        }
        entries.delete(fingerprint);
        entries.set(fingerprint, { deaths: count, expiresAt: timer.now() + poisonRetentionMs, targets });
        if (entries.size > maxPoisonEntries) {
            entries.delete(entries.keys().next().value!);
        }
        return count;
    };
    const deathCount = (fingerprint: Fingerprint): number => {
        const entry = entries.get(fingerprint);
        return entry === undefined || entry.expiresAt <= timer.now() ? 0 : entry.deaths;
    };
    return {
        isPoison: fingerprint => entries.size > 0 && deathCount(fingerprint()) >= poisonDeathThreshold,
        deathCount,
        recordDeath: (fingerprint, targetIncarnation) => {
            const isAlreadyCounted = targetIncarnation !== undefined && targetsOf(fingerprint).has(targetIncarnation);
            return record(fingerprint, deathCount(fingerprint) + (isAlreadyCounted ? 0 : 1), targetIncarnation);
        },
        recordReportedDeaths: (fingerprint, reportedDeaths, targetIncarnation) => {
            if (reportedDeaths === 0) {
                entries.delete(fingerprint);
            }
            if (reportedDeaths > deathCount(fingerprint)) {
                record(fingerprint, reportedDeaths, targetIncarnation);
            }
        },
        recordSuccess: fingerprint => entries.size > 0 && entries.delete(fingerprint()),
    };
}
