/**
 * Outlier detection: finds slow and dead targets from the entry's own observations. A target is slow if the median of
 * its recent latencies is a multiple of the median over all known targets of the service, including those of peers.
 */
import { targetChart, type TargetEvent, type TargetState } from "../chart/charts.js";
import { maxEjectedRatio, minSlowExcessMs, probeIntervalMs, slowLatencyFactor } from "../constants.js";
import { createLatencyWindow, type LatencyWindow } from "../policy/latencyWindow.js";

const windowSamples = 32;
/** Fewest samples in the window from which a median is computed. */
const minSamples = 12;
/** Number of consecutive good probes that reinstate an ejected target. */
const minGoodProbes = 3;

export interface TargetHealth {
    state: TargetState;
    readonly latencyWindow: LatencyWindow;
    /** Whether the target was ejected because it died, not because it was slow. */
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

/** Applies an event to the state chart of the target; returns whether the state changed. */
export function applyTargetEvent(health: TargetHealth, event: TargetEvent, now: number): boolean {
    const next = targetChart.next(health.state, event);
    const hasChanged = next !== health.state;
    if (hasChanged && next === "warming") {
        health.warmingSince = now;
        health.isDead = false;
        health.consecutiveGoodProbes = 0;
        health.latencyWindow.clear();
    }
    if (hasChanged && next === "ejected") {
        health.lastProbeAt = now;
        health.consecutiveGoodProbes = 0;
    }
    health.state = next;
    return hasChanged;
}

export const medianLatencyMs = (health: TargetHealth): number | undefined => health.latencyWindow.quantile(0.5, minSamples);

/** Median of the targets' median latencies, the reference for slow targets; undefined for fewer than two targets. */
export function poolMedianMs(medians: readonly number[]): number | undefined {
    if (medians.length < 2) {
        return undefined;
    }
    const sorted = [...medians].sort((a, b) => a - b);
    return sorted[(sorted.length - 1) >> 1];
}

/** Latency above which a target is slow, given the reference latency of the service. */
const slowLimitMs = (referenceMs: number): number => Math.max(slowLatencyFactor * referenceMs, referenceMs + minSlowExcessMs);

/** Whether a target is slow compared with the reference latency of the service. */
export function isSlow(health: TargetHealth, referenceMs: number | undefined): boolean {
    const medianMs = medianLatencyMs(health);
    return medianMs !== undefined && referenceMs !== undefined && medianMs > slowLimitMs(referenceMs);
}

/** Maximum number of a service's targets, over all entries, that may be ejected as slow at once. */
export function maxEjected(targets: number): number {
    return targets < 2 ? 0 : Math.max(1, Math.floor(targets * maxEjectedRatio));
}

export const isProbeDue = (health: TargetHealth, now: number): boolean =>
    health.state === "ejected" && now >= health.lastProbeAt + probeIntervalMs;

/** Records the latency of a probe of a slow target; returns whether the target may be reinstated. */
export function recordProbeLatency(health: TargetHealth, latencyMs: number, referenceMs: number | undefined): boolean {
    const isGood = referenceMs === undefined || latencyMs <= slowLimitMs(referenceMs);
    health.consecutiveGoodProbes = isGood ? health.consecutiveGoodProbes + 1 : 0;
    return health.consecutiveGoodProbes >= minGoodProbes;
}
