/**
 * Remembers requests under which targets died. A request is known by its fingerprint (method, path, body); after
 * `poisonDeaths` deaths, seen here or told by peers, it is refused.
 */
import { maxPoisonEntries, poisonDeathThreshold, poisonRetentionMs } from "../constants.js";
import type { Fingerprint, TargetIncarnationId } from "../ids.js";
import type { Timer } from "../time/timer.js";

export interface PoisonList {
    /** Takes the fingerprint as a function: it is costly, and most of the time there is nothing to compare it with. */
    isPoison(fingerprint: () => Fingerprint): boolean;
    /** Deaths known of a request; a request under suspicion is run by one target at a time. */
    deathCount(fingerprint: Fingerprint): number;
    /** A target died while running the request; returns the number of deaths now known. A named run counts once. */
    recordDeath(fingerprint: Fingerprint, targetRun?: TargetIncarnationId): number;
    /** A peer knows of this many deaths, the last of this run of a target if it says so; 0 when it served the request. */
    recordReportedDeaths(fingerprint: Fingerprint, deaths: number, targetRun?: TargetIncarnationId): void;
    /** The request was served: what died before died of something else. Returns whether deaths were known. */
    recordSuccess(fingerprint: () => Fingerprint): boolean;
}

interface PoisonEntry {
    readonly deaths: number;
    readonly expiresAt: number;
    /** Runs of targets whose deaths are counted, as far as they are named. */
    readonly targets: ReadonlySet<TargetIncarnationId>;
}

export function createPoisonList(timer: Timer): PoisonList {
    const entries = new Map<Fingerprint, PoisonEntry>();
    const targetsOf = (fingerprint: Fingerprint): ReadonlySet<TargetIncarnationId> =>
        deaths(fingerprint) === 0 ? new Set() : entries.get(fingerprint)!.targets;
    const put = (fingerprint: Fingerprint, deaths: number, targetRun: TargetIncarnationId | undefined): number => {
        const targets = new Set(targetsOf(fingerprint));
        if (targetRun !== undefined) {
            targets.add(targetRun);
        }
        entries.delete(fingerprint);
        entries.set(fingerprint, { deaths, expiresAt: timer.now() + poisonRetentionMs, targets });
        if (entries.size > maxPoisonEntries) {
            entries.delete(entries.keys().next().value!);
        }
        return deaths;
    };
    const deaths = (fingerprint: Fingerprint): number => {
        const entry = entries.get(fingerprint);
        return entry === undefined || entry.expiresAt <= timer.now() ? 0 : entry.deaths;
    };
    return {
        isPoison: fingerprint => entries.size > 0 && deaths(fingerprint()) >= poisonDeathThreshold,
        deathCount: deaths,
        recordDeath: (fingerprint, targetRun) => {
            const isCounted = targetRun !== undefined && targetsOf(fingerprint).has(targetRun);
            return put(fingerprint, deaths(fingerprint) + (isCounted ? 0 : 1), targetRun);
        },
        recordReportedDeaths: (fingerprint, known, targetRun) => {
            if (known === 0) {
                entries.delete(fingerprint);
            }
            if (known > deaths(fingerprint)) {
                put(fingerprint, known, targetRun);
            }
        },
        recordSuccess: fingerprint => entries.size > 0 && entries.delete(fingerprint()),
    };
}
