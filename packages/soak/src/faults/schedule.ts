/** A seeded schedule of faults: which, when, for how long. The same seed gives the same schedule. */
import type { Random } from "@pimentospring/core/random/random";

/** Faults that a soak knows. Each is applied from outside the daemons. */
export const faultKinds = [
    "daemonKill",
    "daemonStop",
    "daemonPause",
    "daemonReload",
    "storeRefuses",
    "storeSilent",
    "storeLapse",
    "storeCompact",
    "storeLinkDelay",
    "storeLinkReset",
    "storeLinkSilence",
    "storeLinkCutUp",
    "storeLinkCutDown",
    "targetLinkDelay",
    "targetLinkReset",
    "targetLinkSilence",
    "targetLinkCutUp",
    "targetLinkCutDown",
    "targetLeave",
    "targetReuse",
    "targetCrash",
    "targetLosesAnswers",
    "targetSheds",
    "targetExtraAnswers",
    "targetCutsAnswers",
    "configuration",
    "configurationStorm",
    "evacuation",
] as const;

export type FaultKind = typeof faultKinds[number];

export interface Fault {
    readonly kind: FaultKind;
    /** Milliseconds from the start of the load. */
    readonly at: number;
    readonly forMs: number;
    /** Chooses the daemon, target or data centre, modulo how many there are. */
    readonly which: number;
}

const longestMs = 4_000;
const shortestMs = 300;

/** Faults come in series and overlap: gaps between starts are far shorter than most last. */
export function createFaultSchedule(random: Random, lengthMs: number, gapMs: number): readonly Fault[] {
    const faults: Fault[] = [];
    let at = gapMs;
    while (at < lengthMs) {
        const forMs = Math.min(shortestMs + random.below(longestMs - shortestMs), lengthMs - at);
        faults.push({ kind: faultKinds[random.below(faultKinds.length)]!, at, forMs, which: random.below(1_000) });
        at += random.below(2 * gapMs);
    }
    return faults;
}
