/** Simulated instances that share limits: they report to each other through their relays, over links that can fail. */
import { type DataCentreId, type InstanceId, toDataCentreId, toInstanceId } from "../../ids.js";
import { createRandom, type Random } from "../../random/random.js";
import { createVirtualTimer, type VirtualTimer } from "../../time/virtualTimer.js";
import { quotaAllowance, type QuotaBounds } from "../quotaAllowance.js";
import { createSharedLimit, quotaReportIntervalMs, type ReportedLimit } from "../quotaLimit.js";
import type { QuotaReport } from "../quotaReport.js";
import type { Quota } from "../sharedLimit.js";

export const bounds: QuotaBounds = { windowMs: 5_000, overshoot: 0.1, slack: 20 };
const localDelayMs = 1;
const remoteDelayMs = 35;
const maxArrivalDelayMs = 50;
/** An instance that is silent for this long is no longer taken for a relay. */
const heartbeatTimeoutMs = 2_600;
const dataCentreCount = 4;

export interface Instance {
    readonly index: number;
    readonly dataCentre: DataCentreId;
    limit: ReportedLimit<string> | undefined;
    isPaused: boolean;
    /** Time since which it has not sent reports. */
    silentSince: number;
    /** Instances in different groups can't reach each other. */
    group: number;
    groupChangedAt: number;
    incarnation: number;
}

export interface Demand {
    readonly key: string;
    readonly quota: Quota;
    /** Arrivals per second at a time. */
    readonly rateAt: (now: number) => number;
}

export interface Outcome {
    readonly admittedAt: number[];
    refused: number;
    arrived: number;
}

export interface Simulation {
    readonly timer: VirtualTimer;
    readonly random: Random;
    readonly instances: readonly Instance[];
    start(instance: Instance): void;
    stop(instance: Instance): void;
    setGroup(instance: Instance, group: number): void;
    setPaused(instance: Instance, isPaused: boolean): void;
    setLossRatio(ratio: number): void;
    /** Sends requests to random instances; `weight` prefers those at the front. */
    drive(demand: Demand, weight?: number): Outcome;
}

export function createSimulation(seed: number, instanceCount: number, startedCount = instanceCount): Simulation {
    const timer = createVirtualTimer();
    const random = createRandom(seed);
    let lossRatio = 0;
    const instances = Array.from({ length: instanceCount }, (_, index): Instance => ({
        index,
        dataCentre: toDataCentreId(`dc${index % Math.min(dataCentreCount, instanceCount)}`),
        limit: undefined,
        isPaused: false,
        silentSince: -Infinity,
        group: 0,
        groupChangedAt: -Infinity,
        incarnation: 0,
    }));
    const isUp = ({ limit, isPaused }: Instance): boolean => limit !== undefined && !isPaused;
    const idOf = ({ index, incarnation }: Instance) => toInstanceId(`entry${String(index).padStart(4, "0")}/${incarnation}`);
    /** Whether `other` appears alive to `self`. */
    const seemsAlive = (self: Instance, other: Instance): boolean => {
        const silentSince = Math.max(
            isUp(other) ? -Infinity : other.silentSince,
            self.group === other.group ? -Infinity : Math.max(self.groupChangedAt, other.groupChangedAt),
        );
        const isReachable = isUp(other) && self.group === other.group;
        return other.limit !== undefined && isReachable
            || other.incarnation > 0 && timer.now() - silentSince < heartbeatTimeoutMs;
    };
    const relayOf = (self: Instance, dataCentre: DataCentreId): Instance | undefined =>
        instances.find(other => other.dataCentre === dataCentre && seemsAlive(self, other));
    const send = (from: Instance, to: Instance, report: QuotaReport): void => {
        if (random.next() < lossRatio || from.group !== to.group) {
            return;
        }
        const sender = idOf(from);
        const { incarnation } = to;
        timer.after(from.dataCentre === to.dataCentre ? localDelayMs : remoteDelayMs, () => {
            if (to.incarnation === incarnation && isUp(to)) {
                to.limit!.applyReport(sender, report);
            }
        });
    };
    const report = (self: Instance): void => {
        const local = instances.filter(other =>
            other.dataCentre === self.dataCentre && (other === self || seemsAlive(self, other))
        );
        const due = self.limit!.takeReport(local.indexOf(self));
        if (due === undefined) {
            return;
        }
        local.slice(0, 2).forEach(relay => relay !== self && send(self, relay, due.toRelays));
        if (due.toDataCentre !== undefined) {
            const total = due.toDataCentre;
            instances.forEach(other => other !== self && other.dataCentre === self.dataCentre && send(self, other, total));
        }
        if (due.toOtherDataCentres !== undefined) {
            const sums = due.toOtherDataCentres;
            new Set(instances.map(({ dataCentre }) => dataCentre)).forEach(dataCentre => {
                const other = dataCentre === self.dataCentre ? undefined : relayOf(self, dataCentre);
                if (other !== undefined) {
                    send(self, other, sums);
                }
            });
        }
    };
    /** Instances that were ever started; those that are silent still count. */
    let sharers: InstanceId[] = [];
    const start = (self: Instance): void => {
        self.incarnation++;
        sharers = instances.filter(({ incarnation }) => incarnation > 0).map(idOf);
        const { incarnation } = self;
        self.limit = createSharedLimit({
            timer,
            random,
            self: idOf(self),
            dataCentre: self.dataCentre,
            bounds: () => bounds,
            isEnabled: () => true,
            instances: () => sharers,
        });
        timer.after(random.below(quotaReportIntervalMs), () =>
            timer.subscribe(quotaReportIntervalMs, () => {
                if (self.incarnation === incarnation && isUp(self)) {
                    report(self);
                }
            }));
    };
    instances.slice(0, startedCount).forEach(start);
    return {
        timer,
        random,
        instances,
        start,
        stop: instance => {
            instance.silentSince = timer.now();
            instance.limit = undefined;
        },
        setGroup: (instance, group) => {
            instance.group = group;
            instance.groupChangedAt = timer.now();
        },
        setPaused: (instance, isPaused) => {
            instance.isPaused = isPaused;
            instance.silentSince = timer.now();
        },
        setLossRatio: ratio => {
            lossRatio = ratio;
        },
        drive: ({ key, quota, rateAt }, weight = 1) => {
            const outcome: Outcome = { admittedAt: [], refused: 0, arrived: 0 };
            const arrive = (): void => {
                const instance = instances[Math.floor(random.next() ** weight * instanceCount)]!;
                outcome.arrived++;
                if (isUp(instance)) {
                    if (instance.limit!.tryTake(key, quota).kind === "admitted") {
                        outcome.admittedAt.push(timer.now());
                    }
                    else {
                        outcome.refused++;
                    }
                }
            };
            const next = (): void => {
                const rate = rateAt(timer.now());
                const delayMs = rate === 0 ? Infinity : random.exponential(1_000 / rate);
                // The rate may change: without an arrival in this time, the next one is drawn anew.
                timer.after(Math.min(delayMs, maxArrivalDelayMs), () => {
                    if (delayMs <= maxArrivalDelayMs) {
                        arrive();
                    }
                    next();
                });
            };
            next();
            return outcome;
        },
    };
}

/** Most requests admitted in any window. */
export function maxInWindow({ admittedAt }: Outcome): number {
    let first = 0;
    let max = 0;
    admittedAt.forEach((at, index) => {
        while (at - admittedAt[first]! >= bounds.windowMs) {
            first++;
        }
        max = Math.max(max, index - first + 1);
    });
    return max;
}

export const windowBound = (quota: Quota): number =>
    quotaAllowance(quota, bounds.windowMs) * (1 + bounds.overshoot) + bounds.slack;

export const quotaOf = (ratePerSecond: number): Quota => ({ ratePerSecond, burst: ratePerSecond });
