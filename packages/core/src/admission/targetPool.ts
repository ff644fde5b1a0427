/** The targets of one service in the own data centre: who has a free slot, and who gets the next request. */
import { cancelledSlotHoldMs } from "../constants.js";
import type { Lane, Service, Target } from "../document/schema.js";
import { type Address, type TargetId, toAddress, toTargetId } from "../ids.js";
import type { ForeignLoad } from "../membership/messages.js";
import type { Candidate, TargetPicker } from "../policy/pick.js";
import type { Random } from "../random/random.js";
import type { PeerTargetSummary } from "../routing/grants.js";
import type { Timer } from "../time/timer.js";
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

/** A target as `status` shows it. */
export interface TargetStatus {
    readonly target: TargetId;
    readonly address: Address;
    readonly state: string;
    readonly inFlight: number;
    readonly allowance: number;
    readonly slots: number;
    readonly medianMs: number | undefined;
    /** Milliseconds that the drain took, once drained. */
    readonly drainMs: number | undefined;
}

/** How a try at a target ended, as far as the pool cares. */
export type ReleaseOutcome =
    | { readonly kind: "answered"; readonly latencyMs: number; }
    | { readonly kind: "shed"; }
    | { readonly kind: "cancelled"; readonly latencyMs: number; }
    | { readonly kind: "died"; }
    | { readonly kind: "broken"; };

/** What an entry tells others of its targets of a service. */
export interface PoolReport {
    readonly medianMs: number | undefined;
    readonly owned: number;
    readonly ejected: number;
}

/** Who may be given a request besides the healthy targets. */
export interface AcquireOptions {
    /** Targets that had the request already. */
    readonly excludedTargets: readonly TargetId[];
    /** The request may be the probe of a target that is out for slowness. */
    readonly mayProbe: boolean;
    /** Nothing else can take it: a slow target is better than none. */
    readonly isLastResort: boolean;
}

export interface AcquiredSlot {
    readonly target: TargetId;
    readonly address: Address;
}

export interface TargetPool {
    configure(service: Service, targets: readonly Target[], isFirst: boolean): void;
    /** Takes a slot at a target, or nothing. */
    acquire(lane: Lane, options: AcquireOptions): AcquiredSlot | undefined;
    release(target: TargetId, lane: Lane, release: ReleaseOutcome): void;
    /** The answer to an active probe of a dead target. */
    recordProbeResult(target: TargetId, isHealthy: boolean): void;
    /** Free slots for a lane. */
    freeSlots(lane: Lane): number;
    /** Slots that this entry may fill at all now. */
    capacity(): number;
    inFlight(): number;
    /** In flight at targets that another entry owns. */
    foreignLoads(): ForeignLoad[];
    /** Mean time a request holds a slot, in milliseconds. */
    meanServiceTimeMs(): number;
    /** What to tell other entries of the own targets. */
    report(): PoolReport;
    /** Warm-ups, probes of the dead, drains; called a few times a second. */
    tick(): void;
    status(): TargetStatus[];
}

export interface TargetPoolOptions {
    readonly timer: Timer;
    readonly random: Random;
    readonly pick: TargetPicker;
    /** Whether slow targets are taken out. */
    readonly isEjectionEnabled: boolean;
    readonly allowance: (target: TargetId, slots: number) => number;
    readonly ownsTarget: (target: TargetId) => boolean;
    /** What other entries told of their targets of this service. */
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
    /** In flight of the long and deferrable lanes. */
    longInFlight: number;
    drainStartedAt: number | undefined;
    drainMs: number | undefined;
}

/** Share of its slots that a target gets at the start of its warm-up. */
const warmUpStartRatio = 0.25;
/** Weight of a new sample in the mean time that a request holds a slot. */
const meanSmoothingFactor = 0.05;

export function createTargetPool(options: TargetPoolOptions): TargetPool {
    const { timer, random } = options;
    let targets: PoolTarget[] = [];
    /** Targets taken out of the document that still have requests in flight. */
    const removedTargets = new Map<TargetId, PoolTarget>();
    let shortShare = 0;
    let warmUpMs = 0;
    let meanServiceMs = 0;

    const find = (id: TargetId): PoolTarget | undefined => targets.find(target => target.id === id) ?? removedTargets.get(id);
    const move = (target: PoolTarget, event: Parameters<typeof applyTargetEvent>[1]): void => {
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
    const isUsable = (target: PoolTarget): boolean => target.health.state === "serving" || target.health.state === "warming";
    const isOutForSlowness = (target: PoolTarget): boolean => target.health.state === "ejected" && !target.health.isDead;
    const ownedTargets = (): PoolTarget[] => targets.filter(target => options.ownsTarget(target.id));
    const allowanceOf = (target: PoolTarget): number => {
        const allowed = options.allowance(target.id, target.slots);
        return allowed === 0 ? 0 : Math.min(allowed, Math.max(1, Math.floor(target.slots * warmUpRatio(target))));
    };
    const laneLimit = (target: PoolTarget, lane: Lane): number =>
        lane === "short" ? target.slots : Math.max(1, Math.floor(target.slots * (1 - shortShare)));
    const roomAt = (target: PoolTarget, lane: Lane): number => {
        const free = allowanceOf(target) - target.inFlight;
        return lane === "short" ? free : Math.min(free, laneLimit(target, lane) - target.longInFlight);
    };
    const reference = (): number | undefined => poolMedianMs([...ownMedians(), ...options.peerTargetSummary().mediansMs]);
    const ownMedians = (): number[] =>
        targets.map(target => medianLatencyMs(target.health)).filter(median => median !== undefined);

    const take = (target: PoolTarget, lane: Lane): AcquiredSlot => {
        target.inFlight++;
        if (lane !== "short") {
            target.longInFlight++;
        }
        return { target: target.id, address: target.address };
    };
    const acquireProbe = (lane: Lane, except: readonly TargetId[]): AcquiredSlot | undefined => {
        const probe = targets.find(target =>
            isProbeDue(target.health, timer.now()) && !target.health.isDead && target.inFlight === 0
            && !except.includes(target.id) && options.allowance(target.id, target.slots) > 0
        );
        if (probe === undefined) {
            return undefined;
        }
        probe.health.lastProbeAt = timer.now();
        return take(probe, lane);
    };
    const acquire = (
        lane: Lane,
        { excludedTargets: except, mayProbe, isLastResort }: AcquireOptions,
    ): AcquiredSlot | undefined => {
        const probe = mayProbe ? acquireProbe(lane, except) : undefined;
        if (probe !== undefined) {
            return probe;
        }
        const isOffered = (target: PoolTarget): boolean => isUsable(target) || (isLastResort && isOutForSlowness(target));
        const free = targets.filter(target => isOffered(target) && !except.includes(target.id) && roomAt(target, lane) > 0);
        if (free.length === 0) {
            return undefined;
        }
        const candidates: Candidate[] = free.map(target => ({
            inFlight: target.inFlight,
            allowance: allowanceOf(target),
            latencyMs: medianLatencyMs(target.health) ?? 0,
        }));
        return take(free[options.pick(candidates, random)]!, lane);
    };
    /**
     * Whether one more may be out, counted over all entries; peers tell theirs a few times a second. Of several own targets
     * one stays: when all are slow together, as after a cold start, a slow one is better than none.
     */
    const mayEject = (): boolean => {
        const told = options.peerTargetSummary();
        const owned = ownedTargets();
        if (owned.length > 1 && owned.filter(isUsable).length <= 1) {
            return false;
        }
        const ejected = owned.filter(isOutForSlowness).length + told.ejected;
        return ejected < maxEjected(owned.length + told.owned);
    };
    const ejectIfSlow = (target: PoolTarget): void => {
        if (options.isEjectionEnabled && isSlow(target.health, reference()) && mayEject()) {
            move(target, "foundSlow");
        }
    };
    /** Several entries may each have taken the last place; then those beyond the cap come back. */
    const restoreBeyondCap = (): void => {
        const out = ownedTargets().filter(isOutForSlowness);
        const told = options.peerTargetSummary();
        const beyond = out.length + told.ejected - maxEjected(ownedTargets().length + told.owned);
        out.slice(0, Math.max(0, beyond)).forEach(target => move(target, "probeGood"));
    };
    const observe = (target: PoolTarget, latencyMs: number): void => {
        if (target.health.state === "ejected") {
            if (recordProbeLatency(target.health, latencyMs, reference())) {
                move(target, "probeGood");
            }
            return;
        }
        target.health.latencyWindow.record(latencyMs);
        ejectIfSlow(target);
    };
    const freeSlot = (target: PoolTarget, lane: Lane): void => {
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
            move(target, "emptied");
        }
    };
    const release = (id: TargetId, lane: Lane, how: ReleaseOutcome): void => {
        const target = find(id);
        if (target === undefined) {
            return;
        }
        if (how.kind === "cancelled") {
            observe(target, how.latencyMs);
            timer.after(cancelledSlotHoldMs, () => freeSlot(target, lane));
            return;
        }
        freeSlot(target, lane);
        if (how.kind === "answered") {
            meanServiceMs += (meanServiceMs === 0 ? 1 : meanSmoothingFactor) * (how.latencyMs - meanServiceMs);
            observe(target, how.latencyMs);
        }
        if (how.kind === "died") {
            target.health.isDead = true;
            move(target, "died");
        }
    };
    const applyConfiguredState = (target: PoolTarget, state: Target["state"]): void => {
        const event = state === "serving" ? "serveOrdered" : state === "draining" ? "drainOrdered" : "stopOrdered";
        const wasDraining = target.health.state === "draining" || target.health.state === "drained";
        move(target, event);
        if (target.health.state === "draining" && !wasDraining) {
            target.drainStartedAt = timer.now();
            if (target.inFlight === 0) {
                finishDrain(target);
            }
        }
    };
    const configure = (service: Service, wanted: readonly Target[], isFirst: boolean): void => {
        const hasShort = service.classes.some(requestClass => requestClass.lane === "short");
        shortShare = hasShort ? service.shortShare : 0;
        warmUpMs = service.warmUpMs;
        const next = wanted.map(target => {
            const id = toTargetId(target.id);
            const known = find(id);
            const stays = known !== undefined && known.address === target.address && known.slots === target.slots;
            const kept = stays ? known : createPoolTarget(target, isFirst, timer.now(), known);
            removedTargets.delete(id);
            applyConfiguredState(kept, target.state);
            return kept;
        });
        targets.filter(target => !next.some(kept => kept.id === target.id) && target.inFlight > 0)
            .forEach(target => removedTargets.set(target.id, target));
        targets = next;
    };
    const tick = (): void => {
        restoreBeyondCap();
        for (const target of targets) {
            if (target.health.state === "warming" && warmUpRatio(target) >= 1) {
                move(target, "warmedUp");
            }
            if (target.health.isDead && isProbeDue(target.health, timer.now())) {
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
        recordProbeResult: (id, isHealthy) => {
            const target = find(id);
            if (target?.health.isDead) {
                move(target, isHealthy ? "probeGood" : "probeBad");
            }
        },
        freeSlots: lane => targets.reduce((sum, target) => sum + (isUsable(target) ? Math.max(0, roomAt(target, lane)) : 0), 0),
        capacity,
        inFlight: () => targets.reduce((sum, target) => sum + target.inFlight, 0),
        foreignLoads: () =>
            [...targets, ...removedTargets.values()]
                .filter(target => target.inFlight > 0 && !options.ownsTarget(target.id))
                .map(target => ({ target: target.id, inFlight: target.inFlight })),
        meanServiceTimeMs: () => meanServiceMs,
        report: () => ({
            medianMs: poolMedianMs(ownMedians()) ?? ownMedians()[0],
            owned: ownedTargets().length,
            ejected: ownedTargets().filter(isOutForSlowness).length,
        }),
        tick,
        status: () => targets.map(target => toStatus(target, allowanceOf(target))),
    };
}

function createPoolTarget(target: Target, isFirst: boolean, now: number, known: PoolTarget | undefined): PoolTarget {
    return {
        id: toTargetId(target.id),
        address: toAddress(target.address),
        slots: target.slots,
        health: createTargetHealth(isFirst ? "serving" : "warming", now),
        inFlight: known?.inFlight ?? 0,
        longInFlight: known?.longInFlight ?? 0,
        drainStartedAt: undefined,
        drainMs: undefined,
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
