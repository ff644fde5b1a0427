/** Seeds that CI runs: a baseline, and every seed that once broke a promise, with the cause. */

export interface Regression {
    readonly seed: number;
    readonly faultPhaseMs: number;
    readonly meanGapMs: number;
    /** Mean gap of faults of the daemons' processes; none if omitted. */
    readonly meanProcessGapMs?: number;
    /** Mean gap of clients that press a daemon; none if omitted. */
    readonly meanFloodGapMs?: number;
    /** Whether some callers read more slowly than a stopping daemon can wait for; false if omitted. */
    readonly hasOutlastingReaders?: boolean;
    readonly cause: string;
}

export const regressions: readonly Regression[] = [
    { seed: 1, faultPhaseMs: 6_000, meanGapMs: 400, cause: "baseline" },
    {
        seed: 5026,
        faultPhaseMs: 12_000,
        meanGapMs: 400,
        cause:
            "popular requests were refused as poison after targets crashed for other reasons: each copy was counted, at each entry",
    },
    {
        seed: 101,
        faultPhaseMs: 12_000,
        meanGapMs: 300,
        cause: "a late copy of a refusal was taken for the answer to the next attempt of the same request, which then ran",
    },
    {
        seed: 200,
        faultPhaseMs: 12_000,
        meanGapMs: 300,
        cause: "a response with a control character in its status line left its request without an answer",
    },
    {
        seed: 20015,
        faultPhaseMs: 8_000,
        meanGapMs: 400,
        meanProcessGapMs: 800,
        cause: "a daemon ended at a cut settings file, at a taken metrics port, at SIGUSR2 and SIGALRM",
    },
    {
        seed: 21004,
        faultPhaseMs: 8_000,
        meanGapMs: 400,
        meanProcessGapMs: 800,
        hasOutlastingReaders: true,
        cause:
            "a reset was taken for the orderly end of an answer without a length, a second answer for its rest, and a stop ended one in order",
    },
    {
        seed: 52002,
        faultPhaseMs: 8_000,
        meanGapMs: 800,
        meanFloodGapMs: 1_000,
        cause:
            "clients with bodies in 1-byte chunks left all other callers without an answer, and large uploads waited behind them",
    },
];
