/**
 * Strategies that pick one of the targets with a free slot. All share one signature, so that benchmarks can compare
 * them.
 */
import type { Random } from "../random/random.js";

export interface Candidate {
    readonly inFlight: number;
    /** Slots that may be filled now. */
    readonly allowance: number;
    /** Recent latency in milliseconds; 0 while unknown. */
    readonly latencyMs: number;
}

/** Returns the index of the picked candidate; `candidates` must not be empty. */
export type TargetPicker = (candidates: readonly Candidate[], random: Random) => number;

/** Expected time until a new request completes at the candidate. */
const cost = (candidate: Candidate): number =>
    ((candidate.inFlight + 1) / Math.max(1, candidate.allowance)) * Math.max(candidate.latencyMs, 0.1);

/** Picks the cheaper of two random candidates by load and recent latency (Mitzenmacher, "The Power of Two Choices"). */
export const pickPowerOfTwoChoices: TargetPicker = (candidates, random) => {
    const first = random.below(candidates.length);
    const second = random.below(candidates.length);
    return cost(candidates[second]!) < cost(candidates[first]!) ? second : first;
};

export const pickRandom: TargetPicker = (candidates, random) => random.below(candidates.length);

/** Baseline: fewest requests in flight; ties go to the first. */
export const pickLeastInFlight: TargetPicker = candidates => {
    let best = 0;
    candidates.forEach((candidate, index) => {
        if (candidate.inFlight < candidates[best]!.inFlight) {
            best = index;
        }
    });
    return best;
};

/** Baseline: round robin. */
export function createRoundRobin(): TargetPicker {
    let turn = 0;
    return candidates => turn++ % candidates.length;
}
