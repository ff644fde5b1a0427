/** The targets of one service in the local data centre: slot accounting, load balancing, ejection and draining. */
import { cancelledSlotHoldMs } from "../constants.js";
import type { Lane, Service, Target } from "../document/schema.js";
import { type Address, type TargetId, toAddress, toTargetId } from "../ids.js";
import type { ForeignLoad } from "../membership/messages.js";
import type { Candidate, TargetPicker } from "../policy/pick.js";
import type { Random } from "../random/random.js";
import type { PeerTargetSummary } from "../routing/grants.js";
import type { TargetNotice } from "../steering/targetRecord.js";
import type { Timer } from "../time/timer.js";
import {
    applyNotice,
    createTargetAvailability,
    isLeaving,
    isOpen,
    recordLeavingHealth,
    type TargetAvailability,
} from "./targetAvailability.js";
import {
    applyTargetEvent,
    createTargetHealth,
    isProbeDue,
    isSlow,
    maxEjected,
    medianLatencyMs,
    poolMedianMs,
    recordProbeLatency,
    type TargetHealth,
} from "./targetHealth.js";

/** Status of a target for operators. */
export interface TargetStatus {
    readonly target: TargetId;
    readonly address: Address;
    readonly state: string;
    readonly inFlight: number;
    readonly allowance: number;
    readonly slots: number;
    readonly medianMs: number | undefined;
    /** Duration of the drain, once the target is drained. */
    readonly drainMs: number | undefined;
}

/** How an attempt at a target ended. */
export type ReleaseOutcome =
    | { readonly kind: "answered"; readonly latencyMs: number; }
    | { readonly kind: "shed"; }
    | { readonly kind: "cancelled"; readonly latencyMs: number; }
    | { readonly kind: "died"; }
    | { readonly kind: "broken"; };

/** Figures about the local targets of a service, reported to peers. */
export interface PoolReport {
    readonly medianMs: number | undefined;
    readonly owned: number;
    readonly ejected: number;
}

/** Constraints on the choice of a target. */
export interface AcquireOptions {
    /** Targets that the request was sent to before. */
    readonly excludedTargets: readonly TargetId[];
    /** Whether the request may serve as a probe of a target that was ejected as slow. */
    readonly mayProbe: boolean;
    /** Whether targets ejected as slow may be used as well, because nothing else can take the request. */
    readonly isLastResort: boolean;
}

export interface AcquiredSlot {
    readonly target: TargetId;
    readonly address: Address;
}

export interface TargetPool {
    configure(service: Service, targets: readonly Target[], isFirst: boolean): void;
    /** Acquires a slot at a target; returns undefined if none is available. */
    acquire(lane: Lane, options: AcquireOptions): AcquiredSlot | undefined;
    release(target: TargetId, lane: Lane, release: ReleaseOutcome): void;
    /** Records what a target says of its availability; it gets nothing new while it leaves or is paused. */
    recordNotice(target: TargetId, notice: TargetNotice): void;
    /** Records the result of an active probe of a dead target. */
    recordProbeResult(target: TargetId, isHealthy: boolean): void;
    /** Number of free slots for a lane. */
    freeSlots(lane: Lane): number;
    /** Number of slots that this entry may use now, free or not. */
    capacity(): number;
    inFlight(): number;
    /** Requests in flight at targets that another entry owns. */
    foreignLoads(): ForeignLoad[];
    /** Moving average of the time that a request holds a slot. */
    meanServiceTimeMs(): number;
    /** Returns the figures about the local targets to report to peers. */
    report(): PoolReport;
    /** Periodic maintenance: completes warm-ups, probes dead targets and enforces the ejection cap. */
    tick(): void;
    status(): TargetStatus[];
}

export interface TargetPoolOptions {
    readonly timer: Timer;
    readonly random: Random;
    readonly pick: TargetPicker;
    /** Whether slow targets are ejected. */
    readonly isEjectionEnabled: boolean;
    readonly allowance: (target: TargetId, slots: number) => number;
    readonly ownsTarget: (target: TargetId) => boolean;
    /** Returns what peers reported about their targets of this service. */
    readonly peerTargetSummary: () => PeerTargetSummary;
    readonly sendProbe: (target: TargetId, address: Address) => void;
    readonly onStateChange: (target: TargetId, from: string, to: string, cause: string) => void;
}

interface PoolTarget {
    readonly id: TargetId;
    readonly address: Address;
    readonly slots: number;
    readonly health: TargetHealth;
    inFlight: number;
    /** Requests in flight of the long and deferrable lanes. */
    longInFlight: number;
    drainStartedAt: number | undefined;
    drainMs: number | undefined;
    readonly availability: TargetAvailability;
}

/** Ratio of its slots that a target may use at the start of its warm-up. */
const warmUpStartRatio = 0.25;
/** Interval at which a leaving target's health is checked, to see whether its process has ended. */
const leavingProbeIntervalMs = 1_000;
/** Smoothing factor of the moving average of the service time. */
const meanSmoothingFactor = 0.05;

export function createTargetPool(options: TargetPoolOptions): TargetPool {
    const { timer, random } = options;
    let targets: PoolTarget[] = [];
    /** Targets that were removed from the document but still have requests in flight. */
    const removedTargets = new Map<TargetId, PoolTarget>();
    let shortShare = 0;
    let warmUpMs = 0;
    let meanServiceTimeMs = 0;

    const find = (id: TargetId): PoolTarget | undefined => targets.find(target => target.id === id) ?? removedTargets.get(id);
    const applyEvent = (target: PoolTarget, event: Parameters<typeof applyTargetEvent>[1]): void => {
        const from = target.health.state;
        if (applyTargetEvent(target.health, event, timer.now())) {
            options.onStateChange(target.id, from, target.health.state, event);
        }
    };
    const warmUpRatio = (target: PoolTarget): number => {
        if (target.health.state === "serving" || warmUpMs === 0) {
            return 1;
        }
        return Math.min(1, warmUpStartRatio + (1 - warmUpStartRatio) * ((timer.now() - target.health.warmingSince) / warmUpMs));
    };
    const isAvailable = (target: PoolTarget): boolean => isOpen(target.availability, timer.now());
    const isUsable = (target: PoolTarget): boolean =>
        isAvailable(target) && (target.health.state === "serving" || target.health.state === "warming");
    const isEjectedAsSlow = (target: PoolTarget): boolean => target.health.state === "ejected" && !target.health.isDead;
    const ownedTargets = (): PoolTarget[] => targets.filter(target => options.ownsTarget(target.id));
    const allowanceOf = (target: PoolTarget): number => {
        const allowed = options.allowance(target.id, target.slots);
        return allowed === 0 ? 0 : Math.min(allowed, Math.max(1, Math.floor(target.slots * warmUpRatio(target))));
    };
    const laneLimit = (target: PoolTarget, lane: Lane): number =>
        lane === "short" ? target.slots : Math.max(1, Math.floor(target.slots * (1 - shortShare)));
    const freeSlotsAt = (target: PoolTarget, lane: Lane): number => {
        const unusedSlots = allowanceOf(target) - target.inFlight;
        return lane === "short" ? unusedSlots : Math.min(unusedSlots, laneLimit(target, lane) - target.longInFlight);
    };
    const referenceMs = (): number | undefined => poolMedianMs([...localMediansMs(), ...options.peerTargetSummary().mediansMs]);
    const localMediansMs = (): number[] =>
        targets.map(target => medianLatencyMs(target.health)).filter(median => median !== undefined);

    const takeSlot = (target: PoolTarget, lane: Lane): AcquiredSlot => {
        target.inFlight++;
        if (lane !== "short") {
            target.longInFlight++;
        }
        return { target: target.id, address: target.address };
    };
    const acquireProbe = (lane: Lane, excludedTargets: readonly TargetId[]): AcquiredSlot | undefined => {
        const probe = targets.find(target =>
            isAvailable(target) && isProbeDue(target.health, timer.now()) && !target.health.isDead && target.inFlight === 0
            && !excludedTargets.includes(target.id) && options.allowance(target.id, target.slots) > 0
        );
        if (probe === undefined) {
            return undefined;
        }
        probe.health.lastProbeAt = timer.now();
        return takeSlot(probe, lane);
    };
    const acquire = (
        lane: Lane,
        { excludedTargets, mayProbe, isLastResort }: AcquireOptions,
    ): AcquiredSlot | undefined => {
        const probe = mayProbe ? acquireProbe(lane, excludedTargets) : undefined;
        if (probe !== undefined) {
            return probe;
        }
        const isEligible = (target: PoolTarget): boolean =>
            isUsable(target) || (isLastResort && isAvailable(target) && isEjectedAsSlow(target));
        const freeTargets = targets.filter(target =>
            isEligible(target) && !excludedTargets.includes(target.id) && freeSlotsAt(target, lane) > 0
        );
        if (freeTargets.length === 0) {
            return undefined;
        }
        const candidates: Candidate[] = freeTargets.map(target => ({
            inFlight: target.inFlight,
            allowance: allowanceOf(target),
            latencyMs: medianLatencyMs(target.health) ?? 0,
        }));
        return takeSlot(freeTargets[options.pick(candidates, random)]!, lane);
    };
    /**
     * Whether one more target may be ejected, counted over all entries; peers report their ejections with
     * their grants. The last of several local targets is never ejected: when all are slow, as after a cold start, a slow
     * target is better than none.
     */
    const mayEject = (): boolean => {
        const peerSummary = options.peerTargetSummary();
        const owned = ownedTargets();
        if (owned.length > 1 && owned.filter(isUsable).length <= 1) {
            return false;
        }
        const ejected = owned.filter(isEjectedAsSlow).length + peerSummary.ejected;
        return ejected < maxEjected(owned.length + peerSummary.owned);
    };
    const ejectIfSlow = (target: PoolTarget): void => {
        if (options.isEjectionEnabled && isSlow(target.health, referenceMs()) && mayEject()) {
            applyEvent(target, "foundSlow");
        }
    };
    /** Reinstates targets above the cap, which several entries can exceed together by ejecting at the same time. */
    const restoreBeyondCap = (): void => {
        const ejectedTargets = ownedTargets().filter(isEjectedAsSlow);
        const peerSummary = options.peerTargetSummary();
        const excess = ejectedTargets.length + peerSummary.ejected - maxEjected(ownedTargets().length + peerSummary.owned);
        ejectedTargets.slice(0, Math.max(0, excess)).forEach(target => applyEvent(target, "probeGood"));
    };
    const recordLatency = (target: PoolTarget, latencyMs: number): void => {
        if (target.health.state === "ejected") {
            if (recordProbeLatency(target.health, latencyMs, referenceMs())) {
                applyEvent(target, "probeGood");
            }
            return;
        }
        target.health.latencyWindow.record(latencyMs);
        ejectIfSlow(target);
    };
    const releaseSlot = (target: PoolTarget, lane: Lane): void => {
        target.inFlight--;
        if (lane !== "short") {
            target.longInFlight--;
        }
        if (target.inFlight === 0) {
            removedTargets.delete(target.id);
            finishDrain(target);
        }
    };
    const finishDrain = (target: PoolTarget): void => {
        if (target.health.state === "draining") {
            target.drainMs = timer.now() - (target.drainStartedAt ?? timer.now());
            applyEvent(target, "emptied");
        }
    };
    const release = (id: TargetId, lane: Lane, outcome: ReleaseOutcome): void => {
        const target = find(id);
        if (target === undefined) {
            return;
        }
        if (outcome.kind === "cancelled") {
            recordLatency(target, outcome.latencyMs);
            timer.after(cancelledSlotHoldMs, () => releaseSlot(target, lane));
            return;
        }
        releaseSlot(target, lane);
        if (outcome.kind === "answered") {
            meanServiceTimeMs += (meanServiceTimeMs === 0 ? 1 : meanSmoothingFactor) * (outcome.latencyMs - meanServiceTimeMs);
            recordLatency(target, outcome.latencyMs);
        }
        if (outcome.kind === "died") {
            target.availability.hasEnded = true;
            target.health.isDead = true;
            applyEvent(target, "died");
        }
    };
    const applyConfiguredState = (target: PoolTarget, state: Target["state"]): void => {
        const event = state === "serving" ? "serveOrdered" : state === "draining" ? "drainOrdered" : "stopOrdered";
        if (state !== "serving") {
            target.availability.leavingUntil = -Infinity;
        }
        const wasDraining = target.health.state === "draining" || target.health.state === "drained";
        applyEvent(target, event);
        if (target.health.state === "draining" && !wasDraining) {
            target.drainStartedAt = timer.now();
            if (target.inFlight === 0) {
                finishDrain(target);
            }
        }
    };
    const configure = (service: Service, configuredTargets: readonly Target[], isFirst: boolean): void => {
        const hasShortLane = service.classes.some(requestClass => requestClass.lane === "short");
        shortShare = hasShortLane ? service.shortShare : 0;
        warmUpMs = service.warmUpMs;
        const nextTargets = configuredTargets.map(target => {
            const id = toTargetId(target.id);
            const existing = find(id);
            const isUnchanged = existing !== undefined && existing.address === target.address && existing.slots === target.slots;
            const poolTarget = isUnchanged ? existing : createPoolTarget(target, isFirst, timer.now(), existing);
            removedTargets.delete(id);
            applyConfiguredState(poolTarget, target.state);
            return poolTarget;
        });
        targets.filter(target => !nextTargets.some(poolTarget => poolTarget.id === target.id) && target.inFlight > 0)
            .forEach(target => removedTargets.set(target.id, target));
        targets = nextTargets;
    };
    const tick = (): void => {
        restoreBeyondCap();
        for (const target of targets) {
            if (target.health.state === "warming" && warmUpRatio(target) >= 1) {
                applyEvent(target, "warmedUp");
            }
            const isLeavingProbeDue = isLeaving(target.availability, timer.now())
                && timer.now() >= target.health.lastProbeAt + leavingProbeIntervalMs;
            if (isLeavingProbeDue || (target.health.isDead && isProbeDue(target.health, timer.now()))) {
                target.health.lastProbeAt = timer.now();
                options.sendProbe(target.id, target.address);
            }
        }
    };
    const capacity = (): number => targets.reduce((sum, target) => sum + (isUsable(target) ? allowanceOf(target) : 0), 0);
    return {
        configure,
        acquire,
        release,
        recordNotice: (id, notice) => {
            const target = find(id);
            const state = target === undefined ? undefined : applyNotice(target.availability, notice, timer.now());
            if (target !== undefined && state !== undefined) {
                options.onStateChange(id, target.health.state, state, "the target's own notice");
            }
        },
        recordProbeResult: (id, isHealthy) => {
            const target = find(id);
            if (target !== undefined && isLeaving(target.availability, timer.now())) {
                recordLeavingHealth(target.availability, isHealthy);
            }
            if (target?.health.isDead) {
                applyEvent(target, isHealthy ? "probeGood" : "probeBad");
            }
        },
        freeSlots: lane =>
            targets.reduce((sum, target) => sum + (isUsable(target) ? Math.max(0, freeSlotsAt(target, lane)) : 0), 0),
        capacity,
        inFlight: () => targets.reduce((sum, target) => sum + target.inFlight, 0),
        foreignLoads: () =>
            [...targets, ...removedTargets.values()]
                .filter(target => target.inFlight > 0 && !options.ownsTarget(target.id))
                .map(target => ({ target: target.id, inFlight: target.inFlight })),
        meanServiceTimeMs: () => meanServiceTimeMs,
        report: () => ({
            medianMs: poolMedianMs(localMediansMs()) ?? localMediansMs()[0],
            owned: ownedTargets().length,
            ejected: ownedTargets().filter(isEjectedAsSlow).length,
        }),
        tick,
        status: () => targets.map(target => toStatus(target, allowanceOf(target))),
    };
}

function createPoolTarget(target: Target, isFirst: boolean, now: number, existing: PoolTarget | undefined): PoolTarget {
    return {
        id: toTargetId(target.id),
        address: toAddress(target.address),
        slots: target.slots,
        health: createTargetHealth(isFirst ? "serving" : "warming", now),
        inFlight: existing?.inFlight ?? 0,
        longInFlight: existing?.longInFlight ?? 0,
        drainStartedAt: undefined,
        drainMs: undefined,
        availability: createTargetAvailability(),
    };
}

function toStatus(target: PoolTarget, allowance: number): TargetStatus {
    return {
        target: target.id,
        address: target.address,
        state: target.health.state,
        inFlight: target.inFlight,
        allowance,
        slots: target.slots,
        medianMs: medianLatencyMs(target.health),
        drainMs: target.drainMs,
    };
}
