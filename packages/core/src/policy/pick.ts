/** Ways to pick one of the targets that have a free slot. All share one signature, so a benchmark can run them side by side. */
import type { Random } from "../random/random.js";

export interface Candidate {
    readonly inFlight: number;
    /** Slots that may be filled now. */
    readonly allowance: number;
    /** Recent latency in milliseconds; 0 while nothing is known. */
    readonly latencyMs: number;
}

/** Returns the index of the picked candidate; `candidates` is not empty. */
export type TargetPicker = (candidates: readonly Candidate[], random: Random) => number;

/** Expected time until a new request would end there. */
const cost = (candidate: Candidate): number =>
    ((candidate.inFlight + 1) / Math.max(1, candidate.allowance)) * Math.max(candidate.latencyMs, 0.1);

/** The cheaper of two at random (Mitzenmacher, "The Power of Two Choices"), by load and recent latency. */
export const pickPowerOfTwoChoices: TargetPicker = (candidates, random) => {
    const first = random.below(candidates.length);
    const second = random.below(candidates.length);
    return cost(candidates[second]!) < cost(candidates[first]!) ? second : first;
};

export const pickRandom: TargetPicker = (candidates, random) => random.below(candidates.length);

/** Baseline: the fewest in flight, the first of equals. */
export const pickLeastInFlight: TargetPicker = candidates => {
    let best = 0;
    candidates.forEach((candidate, at) => {
        if (candidate.inFlight < candidates[best]!.inFlight) {
            best = at;
        }
    });
    return best;
};

/** Baseline: one after the other. */
export function createRoundRobin(): TargetPicker {
    let turn = 0;
    return candidates => turn++ % candidates.length;
}
