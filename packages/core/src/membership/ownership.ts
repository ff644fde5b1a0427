/**
 * Decides how many of a target's slots this entry may fill. Each target of a data centre has one owner among the
 * data centre's entries: the targets of a service are dealt out in turn to the entries, ranked by rendezvous hashing. The owner counts all slots while every other entry of the
 * view holds the same view and has acknowledged it lately; otherwise each entry keeps to a share that can't add up to
 * more than the slots. See `docs/design/ownership.md`.
 */
import { cancellationGraceMs, leaseDurationMs, leaseMarginMs, maxListLagMs } from "../constants.js";
import { hashText } from "../hash/hash.js";
import type { InstanceId, ServiceId, TargetId } from "../ids.js";
import { rankByRendezvous } from "../lookup/rendezvous.js";
import type { Timer } from "../time/timer.js";
import type { Peer } from "./peers.js";

/** The entries of the own data centre that an entry counts in, itself included. */
export interface MembershipView {
    readonly members: readonly InstanceId[];
    /** Members that may own targets: those that are not leaving, or all where everyone is. */
    readonly candidates: readonly InstanceId[];
    readonly digest: string;
}

/** The targets of one service in the own data centre. */
export interface ServiceTargets {
    readonly service: ServiceId;
    readonly targets: readonly TargetId[];
}

export interface Ownership {
    /** Digest to tell peers. */
    digest(): string;
    /** Whether every entry of the view holds the same view now. */
    isAgreed(): boolean;
    members(): readonly InstanceId[];
    /** Peers or leases changed; returns true when the view did. */
    update(peers: readonly Peer[]): boolean;
    /** The platform's list or a peer was heard: the entry knows who else might be there. */
    recordDiscovery(): void;
    /** A document with these targets is in force. */
    configure(groups: readonly ServiceTargets[]): void;
    /** Slots of a target that this entry may fill now. */
    allowance(target: TargetId, slots: number): number;
    /** Whether this entry owns the target in its current view. */
    ownsTarget(target: TargetId): boolean;
}

export interface OwnershipOptions {
    readonly timer: Timer;
    readonly self: InstanceId;
    /** Most entries alive at once in the data centre, from the document; undefined without one. */
    readonly maxEntries: () => number | undefined;
    /** Longest time a request may run at a target, in milliseconds. */
    readonly maxRunMs: () => number;
    /** Whether this entry is leaving. */
    readonly isLeaving: () => boolean;
    /** Entries of the data centre that the platform lists and nobody here has met yet. */
    readonly undiscoveredCount: () => number;
}

export function createOwnership(options: OwnershipOptions): Ownership {
    const { timer, self } = options;
    const startedAt = timer.now();
    let peers: readonly Peer[] = [];
    let groups: readonly ServiceTargets[] = [];
    let currentView = createView([self], [], groups);
    let owners = assignTargets(currentView.candidates, groups);
    /** Owners when the installed view was agreed on. */
    let installedOwners: ReadonlyMap<TargetId, InstanceId> = new Map();
    let leavingMembers: readonly InstanceId[] = [];
    let installedView: MembershipView | undefined;
    /** Targets taken over from an entry that is gone; what it had in flight ends a little later than it. */
    let inherited: ReadonlySet<TargetId> = new Set();
    let inheritedUntil = -Infinity;
    let disagreedSince = startedAt;
    let isInformed = false;
    let unmetSince = Infinity;

    const isMembershipKnown = (): boolean =>
        isInformed && options.maxEntries() !== undefined
        && (installedView !== undefined || currentView.members.length >= options.maxEntries()! ||
            timer.now() >= startedAt + maxListLagMs);
    const holdsLease = (peer: Peer): boolean => peer.leaseExpiresAt > timer.now();
    const isAgreed = (): boolean =>
        isMembershipKnown() && options.undiscoveredCount() === 0 &&
        peers.every(peer => holdsLease(peer) && peer.viewDigest === currentView.digest);
    const installCurrentView = (): void => {
        if (installedView?.digest === currentView.digest) {
            return;
        }
        const lost = installedView?.members.some(member => !currentView.members.includes(member)) ?? false;
        if (lost) {
            inheritedUntil = timer.now() + cancellationGraceMs;
            inherited = new Set(
                [...owners].filter(([target, owner]) => owner === self && !ownedInInstalledView(target)).map(([target]) =>
                    target
                ),
            );
        }
        installedView = currentView;
        installedOwners = owners;
    };
    /** Recomputes the view; returns whether it moved. */
    const recomputeView = (): boolean => {
        unmetSince = options.undiscoveredCount() === 0 ? Infinity : Math.min(unmetSince, timer.now());
        const view = createView([self, ...peers.map(peer => peer.instance)], leavingMembers, groups);
        const moved = view.digest !== currentView.digest;
        if (moved) {
            currentView = view;
            owners = assignTargets(view.candidates, groups);
        }
        if (isAgreed()) {
            installCurrentView();
            disagreedSince = Infinity;
        }
        else if (disagreedSince === Infinity) {
            disagreedSince = timer.now();
        }
        return moved;
    };
    const update = (all: readonly Peer[]): boolean => {
        peers = all.filter(peer => peer.state !== "gone");
        const leaving = peers.filter(peer => peer.state === "leaving").map(peer => peer.instance);
        leavingMembers = options.isLeaving() ? [self, ...leaving] : leaving;
        return recomputeView();
    };
    const owns = (target: TargetId): boolean => owners.get(target) === self;
    const ownedInInstalledView = (target: TargetId): boolean => installedOwners.get(target) === self;
    const foreignLoad = (target: TargetId): number => {
        let sum = 0;
        for (const peer of peers) {
            sum += peer.foreignLoads.find(load => load.target === target)?.inFlight ?? 0;
        }
        return sum;
    };
    const ownerAllowance = (target: TargetId, slots: number): number => {
        const isInherited = timer.now() < inheritedUntil && inherited.has(target);
        return isInherited ? 0 : Math.max(0, slots - foreignLoad(target));
    };
    const baseAllowance = (slots: number): number =>
        Math.floor(slots / Math.max(options.maxEntries() ?? 1, currentView.members.length));
    const allowance = (target: TargetId, slots: number): number => {
        if (isAgreed()) {
            return owns(target) ? ownerAllowance(target, slots) : 0;
        }
        if (owns(target) && ownedInInstalledView(target)) {
            const stays = timer.now() < unmetSince + leaseDurationMs &&
                peers.every(peer => holdsLease(peer) || !installedView!.members.includes(peer.instance));
            return stays ? ownerAllowance(target, slots) : baseAllowance(slots);
        }
        return timer.now() >= othersStoppedAt() ? baseAllowance(slots) : 0;
    };
    /** When entries that acted on the view shared with us have stopped, and what they had in flight has ended. */
    const othersStoppedAt = (): number => {
        const acknowledgedAt = peers.reduce((latest, peer) => Math.max(latest, peer.lastAckSentAt), disagreedSince);
        return acknowledgedAt + leaseDurationMs + leaseMarginMs + options.maxRunMs();
    };
    return {
        digest: () => currentView.digest,
        isAgreed,
        members: () => currentView.members,
        update,
        configure: next => {
            groups = next;
            recomputeView();
        },
        recordDiscovery: () => {
            isInformed = true;
        },
        allowance,
        ownsTarget: owns,
    };
}

function createView(
    members: readonly InstanceId[],
    leaving: readonly InstanceId[],
    groups: readonly ServiceTargets[],
): MembershipView {
    const sorted = [...members].sort();
    const staying = sorted.filter(member => !leaving.includes(member));
    const candidates = staying.length > 0 ? staying : sorted;
    const dealt = groups.map(group => `${group.service}:${group.targets.join(",")}`).join(";");
    return { members: sorted, candidates, digest: hashText(`${sorted.join(" ")}|${candidates.join(" ")}|${dealt}`).toString(16) };
}

/** Deals each service's targets to the members in turn, so that none of them is left without slots by chance. */
function assignTargets(members: readonly InstanceId[], groups: readonly ServiceTargets[]): ReadonlyMap<TargetId, InstanceId> {
    const owners = new Map<TargetId, InstanceId>();
    for (const { service, targets } of groups) {
        const ranked = rankByRendezvous(service, members, member => member);
        [...targets].sort().forEach((target, at) => owners.set(target, ranked[at % ranked.length]!));
    }
    return owners;
}
