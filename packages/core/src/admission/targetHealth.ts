/**
 * Finds slow and dead targets from the entry's own observation. A target is slow when the median of its recent
 * latencies is a multiple of the median over all targets known of the service, those of other entries included.
 */
import { targetChart, type TargetEvent, type TargetState } from "../chart/charts.js";
import { ejectedShare, probeIntervalMs, slowExcessMs, slowFactor } from "../constants.js";
import { createLatencyWindow, type LatencyWindow } from "../policy/latencyWindow.js";

/** Samples of a target's window and the fewest that say something. */
const windowSamples = 32;
const leastSamples = 12;
/** Good probes in a row that bring a target back. */
const probesToReturn = 3;

export interface Health {
    state: TargetState;
    readonly window: LatencyWindow;
    /** Whether it was ejected for dying and not for being slow. */
    isDead: boolean;
    lastProbeAt: number;
    goodProbes: number;
    warmSince: number;
}

export function createHealth(state: TargetState, now: number): Health {
    return {
        state,
        window: createLatencyWindow(windowSamples),
        isDead: false,
        lastProbeAt: now,
        goodProbes: 0,
        warmSince: now,
    };
}

/** Moves the state along the chart; returns whether it changed. */
export function moveTarget(health: Health, event: TargetEvent, now: number): boolean {
    const next = targetChart.next(health.state, event);
    const changed = next !== health.state;
    if (changed && next === "warming") {
        health.warmSince = now;
        health.isDead = false;
        health.goodProbes = 0;
        health.window.clear();
    }
    if (changed && next === "ejected") {
        health.lastProbeAt = now;
        health.goodProbes = 0;
    }
    health.state = next;
    return changed;
}

export const medianOf = (health: Health): number | undefined => health.window.quantile(0.5, leastSamples);

/** Median of medians; the yardstick for "slow". */
export function poolMedian(medians: readonly number[]): number | undefined {
    if (medians.length < 2) {
        return undefined;
    }
    const sorted = [...medians].sort((a, b) => a - b);
    return sorted[(sorted.length - 1) >> 1];
}

/** Latency above which a target is slow beside a pool with this median. */
const slowLimitMs = (reference: number): number => Math.max(slowFactor * reference, reference + slowExcessMs);

/** Whether a target counts as slow beside the pool. */
export function isSlow(health: Health, reference: number | undefined): boolean {
    const median = medianOf(health);
    return median !== undefined && reference !== undefined && median > slowLimitMs(reference);
}

/** Most targets of a service, over all entries, that may be out for slowness at once. */
export function mostEjected(targets: number): number {
    return targets < 2 ? 0 : Math.max(1, Math.floor(targets * ejectedShare));
}

export const isProbeDue = (health: Health, now: number): boolean =>
    health.state === "ejected" && now >= health.lastProbeAt + probeIntervalMs;

/** Takes the latency of a probe of a slow target; returns whether the target may come back. */
export function recordProbe(health: Health, latencyMs: number, reference: number | undefined): boolean {
    const isGood = reference === undefined || latencyMs <= slowLimitMs(reference);
    health.goodProbes = isGood ? health.goodProbes + 1 : 0;
    return health.goodProbes >= probesToReturn;
}
