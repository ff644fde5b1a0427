/**
 * Remembers requests under which targets died. A request is known by its fingerprint (method, path, body); after
 * `poisonDeaths` deaths, seen here or told by peers, it is refused.
 */
import { poisonDeaths, poisonEntries, poisonMemoryMs } from "../constants.js";
import type { Fingerprint } from "../ids.js";
import type { Timer } from "../time/timer.js";

export interface PoisonList {
    /** Takes the fingerprint as a function: it is costly, and most of the time there is nothing to compare it with. */
    isPoison(fingerprint: () => Fingerprint): boolean;
    /** Deaths known of a request; a request under suspicion is run by one target at a time. */
    deaths(fingerprint: Fingerprint): number;
    /** A target died while running the request; returns the number of deaths now known. */
    targetDied(fingerprint: Fingerprint): number;
    /** A peer knows of this many deaths; 0 when it served the request. */
    told(fingerprint: Fingerprint, deaths: number): void;
    /** The request was served: what died before died of something else. Returns whether deaths were known. */
    served(fingerprint: () => Fingerprint): boolean;
}

interface Entry {
    readonly deaths: number;
    readonly forgetAt: number;
    /** When a peer told of the last death. */
    readonly toldAt: number;
}

/** A death seen here so soon after a peer told of one is the same: entries share targets. */
const sameDeathMs = 1_000;

export function createPoisonList(timer: Timer): PoisonList {
    const entries = new Map<Fingerprint, Entry>();
    const put = (fingerprint: Fingerprint, deaths: number, toldAt: number): number => {
        entries.delete(fingerprint);
        entries.set(fingerprint, { deaths, forgetAt: timer.now() + poisonMemoryMs, toldAt });
        if (entries.size > poisonEntries) {
            entries.delete(entries.keys().next().value!);
        }
        return deaths;
    };
    const deaths = (fingerprint: Fingerprint): number => {
        const entry = entries.get(fingerprint);
        return entry === undefined || entry.forgetAt <= timer.now() ? 0 : entry.deaths;
    };
    return {
        isPoison: fingerprint => entries.size > 0 && deaths(fingerprint()) >= poisonDeaths,
        deaths,
        targetDied: fingerprint => {
            const toldAt = entries.get(fingerprint)?.toldAt ?? -Infinity;
            const isSame = timer.now() - toldAt < sameDeathMs;
            return put(fingerprint, deaths(fingerprint) + (isSame ? 0 : 1), isSame ? toldAt : -Infinity);
        },
        told: (fingerprint, known) => {
            if (known === 0) {
                entries.delete(fingerprint);
            }
            if (known > deaths(fingerprint)) {
                put(fingerprint, known, timer.now());
            }
        },
        served: fingerprint => entries.size > 0 && entries.delete(fingerprint()),
    };
}
