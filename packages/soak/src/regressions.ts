/** Seeds that CI runs: a first one, and each that ever broke a promise, with its cause. */

export interface Regression {
    readonly seed: number;
    readonly faultPhaseMs: number;
    readonly meanGapMs: number;
    readonly cause: string;
}

export const regressions: readonly Regression[] = [
    { seed: 1, faultPhaseMs: 6_000, meanGapMs: 400, cause: "the first seed" },
    {
        seed: 5026,
        faultPhaseMs: 12_000,
        meanGapMs: 400,
        cause:
            "popular requests were refused as deadly after targets crashed for other reasons: each copy, and each entry, counted",
    },
];
