/**
 * Tracks requests that crash the targets that run them (poison requests), by fingerprint. What is known is a set of pairs:
 * a request, and a target incarnation that died while it ran the request. Sets of several entries are joined in any order;
 * reports that come twice or late change nothing, and a request that was served clears just the deaths known at that time.
 */
import {
    maxPoisonDeaths,
    maxPoisonEntries,
    maxUnconfirmedPoisonDeaths,
    maxUnconfirmedPoisonEntries,
    poisonDeathThreshold,
    poisonRetentionMs,
} from "../constants.js";
import type { Fingerprint, TargetIncarnationId } from "../ids.js";
import type { Timer } from "../time/timer.js";

/** What entries tell each other. */
export interface PoisonReport {
    readonly fingerprint: Fingerprint;
    /** The incarnation that died while it ran the request. */
    readonly targetIncarnation: TargetIncarnationId;
    /** Whether the request was served since, so that the death had another cause. */
    readonly isCleared: boolean;
    /** Time since the death, or since it was cleared. */
    readonly ageMs: number;
}

/**
 * Whether a request may run: `suspected` ones at one target at a time; `trial` is the same, for a refused request that may be
 * tried again to see whether it still crashes targets.
 */
export type PoisonVerdict = "clean" | "suspected" | "trial" | "refused";

export interface PoisonList {
    /** Takes the fingerprint as a function, because it is costly to compute and not needed while the list is empty. */
    verdictOf(fingerprint: () => Fingerprint): PoisonVerdict;
    isRefused(fingerprint: () => Fingerprint): boolean;
    /** Number of known deaths; a request with any is not hedged, so that only one target runs it at a time. */
    deathCount(fingerprint: Fingerprint): number;
    /** Records that a target died while it ran the requests. Returns what others do not know yet. */
    recordDeath(fingerprints: Iterable<Fingerprint>, targetIncarnation: TargetIncarnationId): PoisonReport[];
    /** Records what another entry reported. Returns whether it was new. */
    recordReport(report: PoisonReport): boolean;
    /**
     * The same for a sender that is no known member. Such reports have little room, and never take the place of others.
     * Returns whether it was new.
     */
    recordUnconfirmedReport(report: PoisonReport): boolean;
    /** Clears the request of the deaths known so far. Returns what others do not know yet. */
    recordSuccess(fingerprint: () => Fingerprint): PoisonReport[];
    /** Records that a refused request is tried again. */
    recordTrial(fingerprint: Fingerprint): void;
    /** Reports to repeat to other entries: new ones, and those on requests with several deaths; in turns if there are more. */
    reports(maxCount: number): PoisonReport[];
}

export interface PoisonListOptions {
    readonly timer: Timer;
    /** Whether this entry is the one that may try a refused request again. */
    readonly isTrialEntry?: () => boolean;
}

interface Death {
    /** Time of the death, or at which it was cleared. Cleared ones are kept, so that late reports do not bring them back. */
    readonly at: number;
    readonly isCleared: boolean;
}

interface Evidence {
    readonly deaths: Map<TargetIncarnationId, Death>;
    /** Time of the last death or clearing. */
    lastAt: number;
    trialCount: number;
}

/** Two deaths under a request alone, or three under several requests, are enough to refuse it. */
const deathWeights = { alone: 3, shared: 2 } as const;
const refusalWeight = 6;
/** Long enough for several heartbeats, so that lost ones do not matter. */
const newsMs = 10_000;
/** A refused request may be tried again this long after its last death; each trial doubles it. */
const firstTrialDelayMs = 30_000;

export function createPoisonList({ timer, isTrialEntry = () => false }: PoisonListOptions): PoisonList {
    const evidence = new Map<Fingerprint, Evidence>();
    /** Requests that only senders which are no known members have reported, oldest first. */
    const unconfirmed = new Set<Fingerprint>();
    const accusedBy = new Map<TargetIncarnationId, Set<Fingerprint>>();
    let nextReport = 0;

    const withdraw = (fingerprint: Fingerprint, incarnation: TargetIncarnationId): void => {
        const accused = accusedBy.get(incarnation);
        accused?.delete(fingerprint);
        if (accused?.size === 0) {
            accusedBy.delete(incarnation);
        }
    };
    const remove = (fingerprint: Fingerprint): void => {
        for (const incarnation of evidence.get(fingerprint)?.deaths.keys() ?? []) {
            withdraw(fingerprint, incarnation);
        }
        evidence.delete(fingerprint);
        unconfirmed.delete(fingerprint);
    };
    const find = (fingerprint: Fingerprint): Evidence | undefined => {
        const found = evidence.get(fingerprint);
        if (found !== undefined && timer.now() - found.lastAt >= poisonRetentionMs) {
            remove(fingerprint);
            return undefined;
        }
        return found;
    };
    /** Evidence on the request, as the newest; the oldest is dropped where there is no room. */
    const refresh = (fingerprint: Fingerprint): Evidence => {
        const found = find(fingerprint) ?? { deaths: new Map(), lastAt: -Infinity, trialCount: 0 };
        evidence.delete(fingerprint);
        evidence.set(fingerprint, found);
        unconfirmed.delete(fingerprint);
        if (evidence.size > maxPoisonEntries) {
            const [oldest] = unconfirmed.size > 0 ? unconfirmed : evidence.keys();
            remove(oldest!);
        }
        return found;
    };
    /** Evidence on the request for an unconfirmed report; `undefined` if there is no room. */
    const findOrAddUnconfirmed = (fingerprint: Fingerprint): Evidence | undefined => {
        const found = find(fingerprint);
        if (found !== undefined) {
            return found.deaths.size < maxUnconfirmedPoisonDeaths ? found : undefined;
        }
        if (unconfirmed.size >= maxUnconfirmedPoisonEntries) {
            const [oldest] = unconfirmed;
            remove(oldest!);
        }
        if (evidence.size >= maxPoisonEntries) {
            return undefined;
        }
        const added: Evidence = { deaths: new Map(), lastAt: -Infinity, trialCount: 0 };
        evidence.set(fingerprint, added);
        unconfirmed.add(fingerprint);
        return added;
    };
    const deathsOf = (fingerprint: Fingerprint): TargetIncarnationId[] =>
        [...find(fingerprint)?.deaths ?? []].filter(([, { isCleared }]) => !isCleared).map(([incarnation]) => incarnation);
    /** A request may gather deaths for as long as it is popular: each is forgotten by itself. */
    const forgetExpired = (fingerprint: Fingerprint, { deaths }: Evidence): void => {
        for (const [incarnation, { at }] of deaths) {
            if (timer.now() - at >= poisonRetentionMs) {
                deaths.delete(incarnation);
                withdraw(fingerprint, incarnation);
            }
        }
    };
    const accuse = (fingerprint: Fingerprint, incarnation: TargetIncarnationId): void => {
        const accused = accusedBy.get(incarnation);
        if (accused === undefined) {
            accusedBy.set(incarnation, new Set([fingerprint]));
        }
        else {
            accused.add(fingerprint);
        }
    };
    const addTo = (
        findEvidence: (fingerprint: Fingerprint) => Evidence | undefined,
        { fingerprint, targetIncarnation, isCleared, ageMs }: PoisonReport,
    ): boolean => {
        const known = find(fingerprint)?.deaths.get(targetIncarnation);
        if (ageMs >= poisonRetentionMs || known?.isCleared === true || (known !== undefined && !isCleared)) {
            return false;
        }
        const at = timer.now() - ageMs;
        const found = findEvidence(fingerprint);
        if (found === undefined) {
            return false;
        }
        forgetExpired(fingerprint, found);
        if (known === undefined && found.deaths.size >= maxPoisonDeaths) {
            const [oldest] = found.deaths.keys();
            found.deaths.delete(oldest!);
            withdraw(fingerprint, oldest!);
        }
        found.deaths.set(targetIncarnation, { at, isCleared });
        found.lastAt = Math.max(found.lastAt, at);
        accuse(fingerprint, targetIncarnation);
        return true;
    };
    const add = (report: PoisonReport): boolean => addTo(refresh, report);
    /**
     * Whether the deaths are better explained by another request, which all of these targets ran and which more targets died
     * of. Requests that only ran beside a poison request are recognised by this.
     */
    const hasOtherExplanation = (fingerprint: Fingerprint, deaths: readonly TargetIncarnationId[]): boolean => {
        const others = [...accusedBy.get(deaths[0]!) ?? []].filter(other => other !== fingerprint);
        return others.some(other => {
            const otherDeaths = new Set(deathsOf(other));
            const isSuperset = deaths.every(incarnation => otherDeaths.has(incarnation));
            return isSuperset && otherDeaths.size > deaths.length;
        });
    };
    const isAccused = (fingerprint: Fingerprint, incarnation: TargetIncarnationId): boolean =>
        find(fingerprint)?.deaths.get(incarnation)?.isCleared === false;
    /** A target at which several requests broke off accuses none of them as much as one at which a single request did. */
    const weightOf = (deaths: readonly TargetIncarnationId[]): number =>
        deaths.reduce((sum, incarnation) => {
            const accused = [...accusedBy.get(incarnation) ?? []].filter(fingerprint => isAccused(fingerprint, incarnation));
            return sum + (accused.length === 1 ? deathWeights.alone : deathWeights.shared);
        }, 0);
    const judge = (fingerprint: Fingerprint): PoisonVerdict => {
        const deaths = deathsOf(fingerprint);
        if (deaths.length === 0) {
            return "clean";
        }
        if (weightOf(deaths) < refusalWeight || hasOtherExplanation(fingerprint, deaths)) {
            return "suspected";
        }
        const { lastAt, trialCount } = evidence.get(fingerprint)!;
        const isTrialDue = timer.now() >= lastAt + firstTrialDelayMs * 2 ** trialCount;
        return isTrialDue && isTrialEntry() ? "trial" : "refused";
    };
    const verdictOf = (fingerprint: () => Fingerprint): PoisonVerdict => evidence.size === 0 ? "clean" : judge(fingerprint());
    const reportsOn = (fingerprint: Fingerprint, { deaths, lastAt }: Evidence): PoisonReport[] => {
        const isLasting = deathsOf(fingerprint).length >= poisonDeathThreshold;
        if (!isLasting && timer.now() - lastAt >= newsMs) {
            return [];
        }
        return [...deaths]
            .map(([targetIncarnation, { at, isCleared }]) => ({
                fingerprint,
                targetIncarnation,
                isCleared,
                ageMs: timer.now() - at,
            }))
            .filter(({ ageMs }) => isLasting || ageMs < newsMs);
    };
    return {
        verdictOf,
        isRefused: fingerprint => verdictOf(fingerprint) === "refused",
        deathCount: fingerprint => deathsOf(fingerprint).length,
        recordDeath: (fingerprints, targetIncarnation) =>
            [...fingerprints]
                .map(fingerprint => ({ fingerprint, targetIncarnation, isCleared: false, ageMs: 0 }))
                .filter(add),
        recordReport: add,
        recordUnconfirmedReport: report => addTo(findOrAddUnconfirmed, report),
        recordSuccess: fingerprint => {
            if (evidence.size === 0) {
                return [];
            }
            const cleared = fingerprint();
            return deathsOf(cleared)
                .map(targetIncarnation => ({ fingerprint: cleared, targetIncarnation, isCleared: true, ageMs: 0 }))
                .filter(add);
        },
        recordTrial: fingerprint => {
            const found = find(fingerprint);
            if (found !== undefined) {
                found.trialCount++;
            }
        },
        reports: maxCount => {
            const all = [...evidence].flatMap(([fingerprint, found]) => reportsOn(fingerprint, found));
            if (all.length <= maxCount) {
                return all;
            }
            const first = nextReport % all.length;
            nextReport = first + maxCount;
            return [...all.slice(first), ...all.slice(0, first)].slice(0, maxCount);
        },
    };
}
