/** Seeded fault schedule: the same seed gives the same faults, times and durations. */
import type { Random } from "@pimentospring/core/random/random";

/** Kinds of faults. Each is injected from outside the daemons. */
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

/** What targets say in their responses. Drawn on their own, so that a seed's other faults stay what they were. */
export const noticeKinds = ["targetSaysLeaving", "targetPauses"] as const;

/** Responses that break the protocol in ways that only later requests or a parser show. Drawn on their own too. */
export const responseKinds = ["targetRepeatsRefusals", "targetSpoilsStatusLines"] as const;

/** Answers without a length that break or come twice, and second answers that come late. Drawn on their own too. */
export const answerKinds = [
    "targetResetsAnswers",
    "targetResetsAnswersLate",
    "targetAnswersTwice",
    "targetAnswersTwiceLate",
    "targetRepeatsAnswers",
] as const;

/** A store that loses what it was told. Drawn on its own too. */
export const lostStoreKinds = ["storeComesBackOlder"] as const;

/** Clients that press a daemon. Drawn on their own too. */
export const floodKinds = ["daemonFlooded"] as const;

/** What happens to the daemons' processes, ports and settings files. Drawn on their own too. */
export const processKinds = [
    "daemonOverlap",
    "daemonPortTaken",
    "daemonCutSettingsStart",
    "daemonCutSettingsReload",
    "daemonInterrupt",
    "daemonStopTwice",
    "daemonStraySignal",
    "daemonOddNames",
] as const;

export type ProcessFaultKind = typeof processKinds[number];

export type FaultKind =
    | typeof faultKinds[number]
    | typeof noticeKinds[number]
    | typeof responseKinds[number]
    | typeof answerKinds[number]
    | typeof lostStoreKinds[number]
    | typeof floodKinds[number]
    | ProcessFaultKind;

export interface Fault {
    readonly kind: FaultKind;
    /** Milliseconds from the start of the load. */
    readonly at: number;
    readonly forMs: number;
    /** Index of the daemon, target or data centre, modulo their number. */
    readonly which: number;
}

const maxFaultMs = 4_000;
const minFaultMs = 300;

/** Faults overlap: the gaps between their starts are far shorter than most of their durations. */
export function createFaultSchedule(
    random: Random,
    faultPhaseMs: number,
    meanGapMs: number,
    kinds: readonly FaultKind[] = faultKinds,
): readonly Fault[] {
    const faults: Fault[] = [];
    let at = meanGapMs;
    while (at < faultPhaseMs) {
        const forMs = Math.min(minFaultMs + random.below(maxFaultMs - minFaultMs), faultPhaseMs - at);
        faults.push({ kind: kinds[random.below(kinds.length)]!, at, forMs, which: random.below(1_000) });
        at += random.below(2 * meanGapMs);
    }
    return faults;
}
