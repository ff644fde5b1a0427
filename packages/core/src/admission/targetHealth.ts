/**
 * Finds slow and dead targets from the entry's own observation. A target is slow when the median of its recent
 * latencies is a multiple of the median over all targets known of the service, those of other entries included.
 */
import { targetChart, type TargetEvent, type TargetState } from "../chart/charts.js";
import { maxEjectedRatio, minSlowExcessMs, probeIntervalMs, slowLatencyFactor } from "../constants.js";
import { createLatencyWindow, type LatencyWindow } from "../policy/latencyWindow.js";

/** Samples of a target's window and the fewest that say something. */
const windowSamples = 32;
const minSamples = 12;
/** Good probes in a row that bring a target back. */
const minGoodProbes = 3;

export interface TargetHealth {
    state: TargetState;
    readonly latencyWindow: LatencyWindow;
    /** Whether it was ejected for dying and not for being slow. */
    isDead: boolean;
    lastProbeAt: number;
    consecutiveGoodProbes: number;
    warmingSince: number;
}

export function createTargetHealth(state: TargetState, now: number): TargetHealth {
    return {
        state,
        latencyWindow: createLatencyWindow(windowSamples),
        isDead: false,
        lastProbeAt: now,
        consecutiveGoodProbes: 0,
        warmingSince: now,
    };
}

/** Moves the state along the chart; returns whether it changed. */
export function applyTargetEvent(health: TargetHealth, event: TargetEvent, now: number): boolean {
    const next = targetChart.next(health.state, event);
    const changed = next !== health.state;
    if (changed && next === "warming") {
        health.warmingSince = now;
        health.isDead = false;
        health.consecutiveGoodProbes = 0;
        health.latencyWindow.clear();
    }
    if (changed && next === "ejected") {
        health.lastProbeAt = now;
        health.consecutiveGoodProbes = 0;
    }
    health.state = next;
    return changed;
}

export const medianLatencyMs = (health: TargetHealth): number | undefined => health.latencyWindow.quantile(0.5, minSamples);

/** Median of medians; the yardstick for "slow". */
export function poolMedianMs(medians: readonly number[]): number | undefined {
    if (medians.length < 2) {
        return undefined;
    }
    const sorted = [...medians].sort((a, b) => a - b);
    return sorted[(sorted.length - 1) >> 1];
}

/** Latency above which a target is slow beside a pool with this median. */
const slowLimitMs = (reference: number): number => Math.max(slowLatencyFactor * reference, reference + minSlowExcessMs);

/** Whether a target counts as slow beside the pool. */
export function isSlow(health: TargetHealth, reference: number | undefined): boolean {
    const median = medianLatencyMs(health);
    return median !== undefined && reference !== undefined && median > slowLimitMs(reference);
}

/** Most targets of a service, over all entries, that may be out for slowness at once. */
export function maxEjected(targets: number): number {
    return targets < 2 ? 0 : Math.max(1, Math.floor(targets * maxEjectedRatio));
}

export const isProbeDue = (health: TargetHealth, now: number): boolean =>
    health.state === "ejected" && now >= health.lastProbeAt + probeIntervalMs;

/** Takes the latency of a probe of a slow target; returns whether the target may come back. */
export function recordProbeLatency(health: TargetHealth, latencyMs: number, reference: number | undefined): boolean {
    const isGood = reference === undefined || latencyMs <= slowLimitMs(reference);
    health.consecutiveGoodProbes = isGood ? health.consecutiveGoodProbes + 1 : 0;
    return health.consecutiveGoodProbes >= minGoodProbes;
}
