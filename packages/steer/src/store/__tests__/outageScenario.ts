/** Plays an outage of the store with a change confirmed around its end, and measures how long entries take to apply it. */
import { toTargetId } from "@pimentospring/core/ids";
import { configurationKey, formatConfiguration, formatTarget, targetKey } from "./deploymentItems.js";
import { createDeployment, type DeployedEntry, type Deployment } from "./storeDeployment.js";
import type { StoreMode } from "./storeServer.js";

export interface OutageOptions {
    readonly entryCount: number;
    readonly dataCentreCount: number;
    readonly seed: number;
    readonly mode: StoreMode;
    /** Time between the last change before the outage and the outage, which is the age of the pending watches. */
    readonly watchAgeMs: number;
    readonly outageMs: number;
    /** Fraction of the entries that the outage affects. */
    readonly affectedFraction: number;
    /** Entries that are killed during the outage and start again. */
    readonly restartedCount: number;
    /** Whether affected entries that are not restarted stay without the store. */
    readonly isPartial?: boolean;
    /** Entries that do not respond to state requests after the outage. */
    readonly hanging?: readonly number[];
    readonly change: Change;
    /** Time from the end of the outage to the change. */
    readonly changeDelayMs: number;
    readonly datagramLoss?: number;
}

export interface OutageOutcome {
    /**
     * Time from the change, or from the store's first response to an entry after the outage if that is later, until the change
     * is in force at the last entry; `Infinity` if it is not within `observationMs`.
     */
    readonly appliedAfterMs: number;
    /** Entries without the change at the end. */
    readonly behind: readonly number[];
    /** Most store calls within a second after the outage. */
    readonly peakCallsPerSecond: number;
}

export const observationMs = 12_000;
const settleMs = 12_000;
const maxStartDelayMs = 300;
const restartMs = 1_000;
const pollMs = 50;
const version = 2;
const target = toTargetId("leaving");

/** What changes after the outage. */
export type Change = "configuration" | "leavingTarget";

const applyChange = (change: Change, { store }: Deployment): void =>
    change === "configuration"
        ? store.put(configurationKey, formatConfiguration(version))
        : store.put(targetKey(target), formatTarget(true));

const isApplied = (change: Change, entry: DeployedEntry): boolean =>
    change === "configuration" ? entry.version() >= version : entry.isLeaving(target);

export async function playOutage(options: OutageOptions): Promise<OutageOutcome> {
    const deployment = createDeployment(options);
    const { store, entries, timer, run } = deployment;
    store.put(configurationKey, formatConfiguration(1));
    store.put(targetKey(target), formatTarget(false));
    entries.forEach(entry => timer.after(deployment.random.below(maxStartDelayMs), entry.start));
    await run(settleMs);
    // Answers all pending watches, so that they are begun anew together.
    store.put("other", "1");
    await run(options.watchAgeMs);
    const affected = entries.slice(0, Math.ceil(options.affectedFraction * entries.length));
    affected.forEach(({ index }) => store.setMode(index, options.mode));
    await restart(deployment, options);
    const restarted = affected.filter(({ index }) => index < options.restartedCount);
    (options.isPartial === true ? restarted : affected).forEach(({ index }) => store.setMode(index, "up"));
    options.hanging?.forEach(index => deployment.hangingEntries.add(index));
    const endedAt = timer.now();
    await run(options.changeDelayMs);
    applyChange(options.change, deployment);
    const hasChange = (entry: DeployedEntry): boolean => isApplied(options.change, entry);
    const changedAt = timer.now();
    while (timer.now() < changedAt + observationMs && !entries.every(hasChange)) {
        await run(pollMs);
    }
    const firstResponseAt = store.responseTimes.find(({ at }) => at >= endedAt)?.at ?? Infinity;
    const behind = entries.filter(entry => !hasChange(entry)).map(({ index }) => index);
    const outcome = {
        appliedAfterMs: behind.length === 0 ? timer.now() - Math.max(changedAt, firstResponseAt) : Infinity,
        behind,
        peakCallsPerSecond: peakRate(store.calls.filter(({ at }) => at >= endedAt).map(({ at }) => at)),
    };
    entries.forEach(entry => entry.kill());
    return outcome;
}

/** Lets the outage pass; the restarted entries are down for up to a second of it. */
async function restart({ entries, run }: Deployment, { outageMs, restartedCount }: OutageOptions): Promise<void> {
    const restarted = entries.slice(0, restartedCount);
    const downMs = Math.min(restartMs, outageMs / 2);
    await run(outageMs / 2 - downMs / 2);
    restarted.forEach(entry => entry.kill());
    await run(downMs);
    restarted.forEach(entry => entry.start());
    await run(outageMs / 2 - downMs / 2);
}

function peakRate(times: readonly number[]): number {
    let first = 0;
    let peak = 0;
    times.forEach((time, index) => {
        while (times[first]! <= time - 1_000) {
            first++;
        }
        peak = Math.max(peak, index - first + 1);
    });
    return peak;
}
