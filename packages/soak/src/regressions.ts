/** Seeds that CI runs: a first one, and each that ever broke a promise, with its cause. */

export interface Regression {
    readonly seed: number;
    readonly lengthMs: number;
    readonly gapMs: number;
    readonly cause: string;
}

export const regressions: readonly Regression[] = [
    { seed: 1, lengthMs: 6_000, gapMs: 400, cause: "the first seed" },
    {
        seed: 5026,
        lengthMs: 12_000,
        gapMs: 400,
        cause:
            "popular requests were refused as deadly after targets crashed for other reasons: each copy, and each entry, counted",
    },
];
