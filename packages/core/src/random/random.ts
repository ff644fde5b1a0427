/** Seeded pseudo-random numbers (xoroshiro128+ from `pure-rand`), so that test runs are reproducible. */
import { unsafeUniformIntDistribution, xoroshiro128plus } from "pure-rand";

export interface Random {
    /** Uniformly distributed number in [0, 1). */
    next(): number;
    /** Uniformly distributed integer in [0, `bound`). */
    below(bound: number): number;
    /** Exponentially distributed number with the given mean. */
    exponential(mean: number): number;
}

const twoTo32 = 2 ** 32;

export function createRandom(seed: number): Random {
    const generator = xoroshiro128plus(seed | 0);
    const next = (): number => (generator.unsafeNext() >>> 0) / twoTo32;
    return {
        next,
        below: bound => unsafeUniformIntDistribution(0, bound - 1, generator),
        exponential: mean => -mean * Math.log(1 - next()),
    };
}
