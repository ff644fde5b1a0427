/**
 * A rate limit that all instances share. Each admits requests by what it knows of the others (`quotaAllowance`), from the
 * counts that they report to each other through the relays of their data centres (`quotaReport`).
 */
import { hashText } from "../hash/hash.js";
import type { DataCentreId, InstanceId } from "../ids.js";
import type { Random } from "../random/random.js";
import { createSlidingWindowCounter, type SlidingWindowCounter } from "../time/slidingWindowCounter.js";
import type { Timer } from "../time/timer.js";
import { createQuotaAggregator } from "./quotaAggregator.js";
import { type Allowance, instanceAllowance, quotaAllowance, type QuotaBounds, targetLimit } from "./quotaAllowance.js";
import type { DataCentreReport, InstanceReport, QuotaReport, TotalReport } from "./quotaReport.js";
import { createQuotaView, type OwnUse } from "./quotaView.js";
import type { Admission, Quota, SharedLimit } from "./sharedLimit.js";

export interface SharedLimitOptions {
    readonly timer: Timer;
    readonly random: Random;
    readonly self: InstanceId;
    readonly dataCentre: DataCentreId;
    readonly bounds: () => QuotaBounds;
    /** Whether there are limits at all; without them nothing is reported. If absent, reports are sent while any key is in use. */
    readonly isEnabled?: (() => boolean) | undefined;
    /** All instances that may admit requests, this one included, in an order that all agree on. */
    readonly instances: () => readonly InstanceId[];
}

/** Reports that are due, by receiver. */
export interface DueReports {
    /** For the relay of the data centre and its deputy, the instances with the two lowest ids. */
    readonly toRelays: InstanceReport;
    /** For the other instances of the data centre. */
    readonly toDataCentre: TotalReport | undefined;
    /** For the relays of the other data centres. */
    readonly toOtherDataCentres: DataCentreReport | undefined;
}

/** The use of one key, for the status page and metrics. */
export interface KeyStatus<Key> {
    readonly key: Key;
    readonly quota: Quota;
    /** Admitted in the last window by all instances that are known of. */
    readonly used: number;
    /** What may be admitted in a window by the instances in contact. */
    readonly groupLimit: number;
    /** Requests that this instance may admit now. */
    readonly share: number;
    /** Whether this instance has refused a request in the last window. */
    readonly isOverQuota: boolean;
}

/** A shared limit whose instances report their use to each other. */
export interface ReportedLimit<Key> extends SharedLimit<Key> {
    /**
     * Returns what is to be sent now; called at the interval `quotaReportIntervalMs`. `position` is that of this instance in
     * its data centre, by id: 0 is the relay, and the next ones act for it while its totals don't arrive.
     */
    takeReport(position: number): DueReports | undefined;
    applyReport(sender: InstanceId, report: QuotaReport): void;
    /** Whether reports of the other instances arrive, and those of this one at them. */
    hasContact(): boolean;
    status(): readonly KeyStatus<Key>[];
}

export const quotaReportIntervalMs = 125;
/** A relay counts as silent if its totals don't arrive for this long: three in a row were lost. */
const relayTimeoutMs = 375;
const windowSlices = 40;
/** Time that a report usually takes to the other data centres. */
const recentMs = 400;
const recentSlices = 4;
/** Requests beyond its share that an instance may admit before the others know of them. */
const maxFreeTakes = 5;
/** Requests that an instance may admit just after its start, regardless of its share. */
const maxStartTakes = 3;
/** Part of its equal share that an instance may admit just after its start. */
const startFraction = 0.15;
const startGraceMs = 1_500;
const minRetryAfterMs = 250;
const evictionIntervalMs = 1_000;

interface KeyState<Key> {
    readonly key: Key;
    readonly hash: number;
    readonly windowMs: number;
    readonly own: SlidingWindowCounter;
    readonly ownRecent: SlidingWindowCounter;
    quota: Quota;
    /** Requests admitted since the state was created, less those given back. */
    taken: number;
    lastUsedAt: number;
    lastRefusedAt: number;
}

/** Creates this instance's part of a shared limit. */
export function createSharedLimit<Key extends string>(options: SharedLimitOptions): ReportedLimit<Key> {
    const { timer, random, bounds } = options;
    const selfHash = hashText(options.self);
    const states = new Map<Key, KeyState<Key>>();
    const statesByHash = new Map<number, KeyState<Key>>();
    const windowMs = (): number => bounds().windowMs;
    const view = createQuotaView(timer, selfHash, windowMs);
    const aggregator = createQuotaAggregator({
        timer,
        self: selfHash,
        dataCentre: options.dataCentre,
        windowMs,
        instanceCount: () => options.instances().length,
        allowanceOf: hash => {
            const state = statesByHash.get(hash);
            return state === undefined ? undefined : quotaAllowance(state.quota, windowMs());
        },
    });
    /** An instance that has started during a fault may not know those that its relay knows. */
    const instanceCount = (): number => Math.max(1, options.instances().length, view.knownCount());
    const isEnabled = (): boolean => options.isEnabled?.() ?? states.size > 0;
    let sequence = 0;
    /** Time of the first report; before it this instance can't have heard from others. */
    let reportsSince: number | undefined;
    /** Time of the last total of another instance that includes this one. */
    let relayHeardAt = timer.now();

    const createState = (key: Key, quota: Quota): KeyState<Key> => {
        const now = timer.now();
        const state: KeyState<Key> = {
            key,
            hash: hashText(key),
            windowMs: windowMs(),
            own: createSlidingWindowCounter(timer, windowMs(), windowSlices),
            ownRecent: createSlidingWindowCounter(timer, recentMs, recentSlices),
            quota,
            taken: 0,
            lastUsedAt: now,
            lastRefusedAt: -Infinity,
        };
        states.set(key, state);
        statesByHash.set(state.hash, state);
        return state;
    };
    const stateOf = (key: Key, quota: Quota): KeyState<Key> => {
        const known = states.get(key);
        if (known === undefined) {
            return createState(key, quota);
        }
        if (known.windowMs === windowMs()) {
            known.quota = quota;
            return known;
        }
        // Counts what the former window held as taken now.
        const state = createState(key, quota);
        for (let count = known.own.total(); count > 0; count--) {
            state.own.add();
        }
        return state;
    };
    /** What other instances may not know of yet: it came after the last report that a total includes, or recently. */
    const unreportedOf = ({ hash, own, ownRecent, taken }: KeyState<Key>): number =>
        Math.min(own.total(), Math.max(ownRecent.total(), view.hasContact() ? taken - view.ownTaken(hash) : 0));
    const allowanceOf = (state: KeyState<Key>): Allowance => {
        const others = view.othersUse(state.hash);
        return instanceAllowance(state.quota, bounds(), {
            own: state.own.total(),
            ownUnreported: unreportedOf(state),
            others: others.count,
            silent: others.silentCount,
            othersGrowthPerSecond: others.growthPerSecond,
            groupSize: view.groupSize(),
            instanceCount: instanceCount(),
        });
    };
    const equalShare = (quota: Quota): number => targetLimit(quota, bounds()) / instanceCount();
    /** The equal share in whole requests, such that the shares of all instances add up to the limit. */
    const wholeShare = ({ hash, quota }: KeyState<Key>): number => {
        const share = equalShare(quota);
        const position = (options.instances().indexOf(options.self) + hash) % instanceCount();
        return Math.floor((position + 1) * share) - Math.floor(position * share);
    };
    /** Windows that have passed since the first report. */
    const startedWindows = (): number => reportsSince === undefined ? 0 : (timer.now() - reportsSince) / windowMs();
    /** Whether this instance has just started and not yet heard from most others, which may have used what it would admit. */
    const isStarting = (): boolean => startedWindows() < 1 && 2 * view.groupSize() <= instanceCount();
    /** What a starting instance may have admitted: what its group's equal share over time leaves to it, and a few requests at first. */
    const startAllowance = ({ hash, quota }: KeyState<Key>): number => {
        const groupPart = view.groupSize() * equalShare(quota) * (startedWindows() + startFraction);
        const startTakes = startedWindows() * windowMs() < startGraceMs ? maxStartTakes : 0;
        return Math.max(0, groupPart - view.othersUse(hash).count) + startTakes;
    };
    const mayTake = (state: KeyState<Key>, allowance: Allowance): boolean => {
        if (isStarting()) {
            return state.own.total() + 1 <= startAllowance(state);
        }
        const unreported = unreportedOf(state);
        if (unreported + 1 <= allowance.share) {
            return true;
        }
        return allowance.groupLimit < 1
            ? state.own.total() + 1 <= wholeShare(state)
            : unreported < maxFreeTakes && random.next() < allowance.freeProbability;
    };
    /** Time until the window has room again, as use leaves it at the rate at which it came. */
    const retryAfterMs = (state: KeyState<Key>, { groupLimit, groupUse }: Allowance): number => {
        const missing = Math.max(1, groupUse + 1 - groupLimit);
        const releasedPerMs = Math.max(groupLimit, 1) / state.windowMs;
        const delayMs = Math.min(state.windowMs, Math.max(minRetryAfterMs, missing / releasedPerMs));
        return Math.round(delayMs * (1 + random.next()));
    };
    const tryTake = (key: Key, quota: Quota): Admission => {
        const state = stateOf(key, quota);
        state.lastUsedAt = timer.now();
        const allowance = allowanceOf(state);
        if (!mayTake(state, allowance)) {
            state.lastRefusedAt = timer.now();
            return { kind: "refused", retryAfterMs: retryAfterMs(state, allowance) };
        }
        const undo = [state.own.addRevocable(), state.ownRecent.addRevocable()];
        state.taken++;
        let isGivenBack = false;
        return {
            kind: "admitted",
            giveBack: () => {
                if (!isGivenBack) {
                    isGivenBack = true;
                    state.taken--;
                    undo.forEach(remove => remove());
                }
            },
        };
    };
    const ownReport = (): InstanceReport => {
        const uses: OwnUse[] = [];
        states.forEach(({ hash, own, taken }) => {
            const count = own.total();
            if (count > 0) {
                uses.push({ key: hash, count, taken });
            }
        });
        sequence++;
        view.recordSent(sequence, uses);
        const hasContact = view.hasContact() || !view.hasEverHadContact();
        return { kind: "instance", sequence, hasContact, uses: uses.map(({ key, count }) => ({ key, count })) };
    };
    /** The relay is replaced before the instances lose contact. */
    const isActingRelay = (position: number): boolean =>
        position === 0 || aggregator.hasReporters() && timer.now() - relayHeardAt >= relayTimeoutMs;
    const evictUnused = (): void =>
        states.forEach((state, key) => {
            if (timer.now() - state.lastUsedAt > 2 * state.windowMs) {
                states.delete(key);
                statesByHash.delete(state.hash);
            }
        });
    timer.subscribe(evictionIntervalMs, evictUnused);
    return {
        tryTake,
        takeReport: position => {
            if (!isEnabled()) {
                return undefined;
            }
            reportsSince ??= timer.now();
            const report = ownReport();
            if (!isActingRelay(position)) {
                return { toRelays: report, toDataCentre: undefined, toOtherDataCentres: undefined };
            }
            aggregator.applyInstance(selfHash, report);
            const total = aggregator.total();
            view.apply(total);
            return { toRelays: report, toDataCentre: total, toOtherDataCentres: aggregator.takeDataCentreReport() };
        },
        applyReport: (sender, report) => {
            switch (report.kind) {
                case "instance":
                    return aggregator.applyInstance(hashText(sender), report);
                case "dataCentre":
                    return aggregator.applyDataCentre(hashText(sender), report);
                case "total":
                    relayHeardAt = view.apply(report) ? timer.now() : relayHeardAt;
                    return;
            }
        },
        hasContact: view.hasContact,
        status: () =>
            [...states.values()].map((state): KeyStatus<Key> => {
                const allowance = allowanceOf(state);
                const others = view.othersUse(state.hash);
                return {
                    key: state.key,
                    quota: state.quota,
                    used: state.own.total() + others.count + others.silentCount,
                    groupLimit: allowance.groupLimit,
                    share: Math.max(0, allowance.share - unreportedOf(state)),
                    isOverQuota: timer.now() - state.lastRefusedAt < state.windowMs,
                };
            }),
    };
}
