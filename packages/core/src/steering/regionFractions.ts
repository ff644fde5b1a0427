/**
 * Fractions of a service's load that this region's entries serve in each other region. This is the only place that limits how
 * fast load moves between regions: the objects that are served elsewhere and the slots that they may fill there follow from it,
 * so that neither changes faster than the limit on region shifts allows.
 */
import type { RegionId, ServiceId } from "../ids.js";
import type { Timer } from "../time/timer.js";
import type { ServiceLoad } from "./spillover.js";

/** Fraction of a service's load by the region that serves it; the entry's own region serves the rest. */
export type FractionsByRegion = ReadonlyMap<RegionId, number>;

export interface RegionFractions {
    current(service: ServiceId): FractionsByRegion;
    /** Fraction of the service's load that leaves the region. */
    total(service: ServiceId): number;
    /** Part of the limit that the fractions have not used within two seconds. */
    unusedChange(service: ServiceId): number;
    /** Current fractions for the entry's peers; `undefined` before its first request for the service. */
    known(service: ServiceId): FractionsByRegion | undefined;
    /** Records what another entry of the region reports. An entry that has just started continues from its fractions. */
    recordPeerLoads(loads: readonly ServiceLoad[]): void;
}

export interface RegionFractionsOptions {
    readonly timer: Timer;
    /** Fractions that the spillover plan wants. */
    readonly plannedFractions: (service: ServiceId) => FractionsByRegion;
    /** Whether a region has a target of the service that may be used. */
    readonly isServed: (service: ServiceId, region: RegionId) => boolean;
    /** Maximum change between two windows of two seconds. */
    readonly maxFractionChange: () => number;
}

const windowMs = 2_000;
/**
 * Fraction of the limit that is used; the rest is left for requests that move between regions because a target is full.
 */
const usedChangeFraction = 0.6;
/** Upper bound of the initial fraction, since the load is not known yet. Later changes are slow: it has to be high enough. */
const maxInitialFraction = 0.7;
/** Plans that differ from the current fractions by less than this change nothing. */
const deadBandFraction = 0.04;
/** A peer's fractions are used within this time. */
const peerRetentionMs = 3_000;
/** An entry takes over its peers' fractions if it hears of them within this time of its first request. */
const startMs = 2_000;
const snapshotIntervalMs = 250;

interface Snapshot {
    readonly fractions: FractionsByRegion;
    readonly at: number;
}

interface State {
    fractions: FractionsByRegion;
    /** Earlier fractions, oldest first. */
    readonly history: Snapshot[];
    /** The same without regions that have no target. */
    served: FractionsByRegion;
    updatedAt: number;
    readonly startedAt: number;
}

export function sumOfFractions(fractions: FractionsByRegion): number {
    let sum = 0;
    for (const fraction of fractions.values()) {
        sum += fraction;
    }
    return sum;
}

export function createRegionFractions(options: RegionFractionsOptions): RegionFractions {
    const { timer } = options;
    const states = new Map<ServiceId, State>();
    const peerFractions = new Map<ServiceId, { readonly fractions: FractionsByRegion; readonly receivedAt: number; }>();

    const initialFractions = (service: ServiceId): FractionsByRegion => {
        const peer = peerFractions.get(service);
        if (peer !== undefined && timer.now() - peer.receivedAt < peerRetentionMs) {
            return peer.fractions;
        }
        const planned = options.plannedFractions(service);
        const sum = sumOfFractions(planned);
        return scaled(planned, Math.min(1, maxInitialFraction / sum));
    };
    const stateOf = (service: ServiceId): State => {
        const known = states.get(service);
        if (known !== undefined) {
            return known;
        }
        const now = timer.now();
        const fractions = initialFractions(service);
        const state: State = {
            fractions,
            history: [{ fractions, at: now }],
            served: servedPart(service, fractions),
            updatedAt: now,
            startedAt: now,
        };
        states.set(service, state);
        return state;
    };
    const servedPart = (service: ServiceId, fractions: FractionsByRegion): FractionsByRegion =>
        withoutUnserved(fractions, region => options.isServed(service, region));
    const current = (service: ServiceId): FractionsByRegion => {
        const state = stateOf(service);
        const elapsedMs = timer.now() - state.updatedAt;
        if (elapsedMs > 0) {
            const maxStep = (usedChangeFraction * options.maxFractionChange() * elapsedMs) / windowMs;
            state.updatedAt = timer.now();
            state.fractions = moveTowards(state.fractions, options.plannedFractions(service), maxStep);
            state.served = servedPart(service, state.fractions);
            remember(state);
        }
        return state.served;
    };
    const remember = ({ history, fractions }: State): void => {
        const now = timer.now();
        if (now - history.at(-1)!.at < snapshotIntervalMs) {
            return;
        }
        history.push({ fractions, at: now });
        while (history.length > 1 && history[1]!.at <= now - windowMs) {
            history.shift();
        }
    };
    const recordPeer = (service: ServiceId, fractions: FractionsByRegion): void => {
        const state = states.get(service);
        if (state === undefined) {
            peerFractions.set(service, { fractions, receivedAt: timer.now() });
        }
        else if (timer.now() - state.startedAt < startMs && !peerFractions.has(service)) {
            peerFractions.set(service, { fractions, receivedAt: timer.now() });
            state.fractions = fractions;
            state.served = servedPart(service, fractions);
        }
    };
    return {
        current,
        total: service => sumOfFractions(current(service)),
        unusedChange: service => {
            current(service);
            const { history, fractions } = stateOf(service);
            return Math.max(0, options.maxFractionChange() - changeBetween(history[0]!.fractions, fractions));
        },
        known: service => states.has(service) ? current(service) : undefined,
        recordPeerLoads: loads => {
            for (const { service, remoteFractions } of loads) {
                if (remoteFractions !== undefined) {
                    recordPeer(service, remoteFractions);
                }
            }
        },
    };
}

const scaled = (fractions: FractionsByRegion, factor: number): FractionsByRegion =>
    factor === 1 ? fractions : new Map([...fractions].map(([region, fraction]) => [region, factor * fraction]));

/** Part of the load that changes its region between the two distributions. */
function changeBetween(from: FractionsByRegion, to: FractionsByRegion): number {
    const differences = [...new Set([...from.keys(), ...to.keys()])].map(region =>
        (to.get(region) ?? 0) - (from.get(region) ?? 0)
    );
    const sumOf = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0);
    const moved = sumOf(differences.map(Math.abs)) + Math.abs(sumOf(differences));
    return moved / 2;
}

function moveTowards(from: FractionsByRegion, to: FractionsByRegion, maxStep: number): FractionsByRegion {
    const change = changeBetween(from, to);
    if (change <= deadBandFraction) {
        return from;
    }
    const weight = Math.min(1, maxStep / change);
    return new Map(
        [...new Set([...from.keys(), ...to.keys()])].map(region => {
            const before = from.get(region) ?? 0;
            return [region, before + weight * ((to.get(region) ?? 0) - before)];
        }),
    );
}

/** The load of a region without targets goes to the others at once. */
function withoutUnserved(fractions: FractionsByRegion, isServed: (region: RegionId) => boolean): FractionsByRegion {
    const served = [...fractions].filter(([region, fraction]) => fraction > 0 && isServed(region));
    if (served.length === fractions.size) {
        return fractions;
    }
    const servedSum = sumOfFractions(new Map(served));
    return servedSum === 0 ? new Map() : scaled(new Map(served), sumOfFractions(fractions) / servedSum);
}
