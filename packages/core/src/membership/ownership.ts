/**
 * Decides how many slots of each target this entry may use. Every target of a data centre has exactly one owner among
 * the entries there: the entries are ranked by rendezvous hashing for each service, and the targets of the service are
 * assigned to them round-robin. While all entries hold leases on the same view, the owner may use all slots of a target.
 * Otherwise each entry is limited to a share, chosen so that the shares of all entries never exceed the slots. See
 * `docs/design/ownership.md`.
 */
import { cancellationGraceMs, leaseDurationMs, leaseMarginMs, maxListLagMs } from "../constants.js";
import { hashText } from "../hash/hash.js";
import type { InstanceId, ServiceId, TargetId } from "../ids.js";
import { rankByRendezvous } from "../lookup/rendezvous.js";
import type { Timer } from "../time/timer.js";
import type { Peer } from "./peers.js";

/** Membership of the local data centre as one entry sees it, the entry itself included. */
export interface MembershipView {
    readonly members: readonly InstanceId[];
    /** Members that may own targets: those that are not leaving, or all members if every one is leaving. */
    readonly candidates: readonly InstanceId[];
    readonly digest: string;
}

/** The targets of one service in the local data centre. */
export interface ServiceTargets {
    readonly service: ServiceId;
    readonly targets: readonly TargetId[];
}

export interface Ownership {
    /** Digest of the current view, reported to peers. */
    digest(): string;
    /** Whether every entry of the view currently holds a lease and reports the same view. */
    isAgreed(): boolean;
    members(): readonly InstanceId[];
    /** Applies changes of peers or leases; returns whether the view changed. */
    update(peers: readonly Peer[]): boolean;
    /** Records that the platform's list or a peer has answered, so that other entries can be known by now. */
    recordDiscovery(): void;
    /** Sets the targets of the document in force. */
    configure(groups: readonly ServiceTargets[]): void;
    /** Number of slots of a target that this entry may use now. */
    allowance(target: TargetId, slots: number): number;
    /** Whether this entry owns the target in its current view. */
    ownsTarget(target: TargetId): boolean;
}

export interface OwnershipOptions {
    readonly timer: Timer;
    readonly self: InstanceId;
    /** Maximum number of entries alive at once in the data centre, from the document; undefined without a document. */
    readonly maxEntries: () => number | undefined;
    /** Longest time that a request may run at a target. */
    readonly maxRunMs: () => number;
    readonly isLeaving: () => boolean;
    /** Number of entries of the data centre that the platform lists but this entry has not yet connected to. */
    readonly undiscoveredCount: () => number;
}

export function createOwnership(options: OwnershipOptions): Ownership {
    const { timer, self } = options;
    const startedAt = timer.now();
    let peers: readonly Peer[] = [];
    let groups: readonly ServiceTargets[] = [];
    let currentView = createView([self], [], groups);
    let owners = assignTargets(currentView.candidates, groups);
    /** Owners according to the installed view. */
    let installedOwners: ReadonlyMap<TargetId, InstanceId> = new Map();
    let leavingMembers: readonly InstanceId[] = [];
    /** The last view that all its members agreed on. */
    let installedView: MembershipView | undefined;
    /** Targets taken over from an entry that is gone; its requests in flight end a little after the entry itself. */
    let inherited: ReadonlySet<TargetId> = new Set();
    let inheritedUntil = -Infinity;
    let disagreedSince = startedAt;
    let hasDiscoveryAnswer = false;
    let undiscoveredSince = Infinity;

    const isMembershipKnown = (): boolean =>
        hasDiscoveryAnswer && options.maxEntries() !== undefined
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
        const hasLostMember = installedView?.members.some(member => !currentView.members.includes(member)) ?? false;
        if (hasLostMember) {
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
    /** Recomputes the view; returns whether it changed. */
    const recomputeView = (): boolean => {
        undiscoveredSince = options.undiscoveredCount() === 0 ? Infinity : Math.min(undiscoveredSince, timer.now());
        const view = createView([self, ...peers.map(peer => peer.instance)], leavingMembers, groups);
        const hasChanged = view.digest !== currentView.digest;
        if (hasChanged) {
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
        return hasChanged;
    };
    const update = (allPeers: readonly Peer[]): boolean => {
        peers = allPeers.filter(peer => peer.state !== "gone");
        const leavingPeers = peers.filter(peer => peer.state === "leaving").map(peer => peer.instance);
        leavingMembers = options.isLeaving() ? [self, ...leavingPeers] : leavingPeers;
        return recomputeView();
    };
    const ownsTarget = (target: TargetId): boolean => owners.get(target) === self;
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
            return ownsTarget(target) ? ownerAllowance(target, slots) : 0;
        }
        if (ownsTarget(target) && ownedInInstalledView(target)) {
            const isUncontested = timer.now() < undiscoveredSince + leaseDurationMs &&
                peers.every(peer => holdsLease(peer) || !installedView!.members.includes(peer.instance));
            return isUncontested ? ownerAllowance(target, slots) : baseAllowance(slots);
        }
        return timer.now() >= othersStoppedAt() ? baseAllowance(slots) : 0;
    };
    /** Time at which every entry that acted on a view shared with this one has stopped and its requests in flight have ended. */
    const othersStoppedAt = (): number => {
        const acknowledgedAt = peers.reduce((latest, peer) => Math.max(latest, peer.lastAckSentAt), disagreedSince);
        return acknowledgedAt + leaseDurationMs + leaseMarginMs + options.maxRunMs();
    };
    return {
        digest: () => currentView.digest,
        isAgreed,
        members: () => currentView.members,
        update,
        configure: nextGroups => {
            groups = nextGroups;
            recomputeView();
        },
        recordDiscovery: () => {
            hasDiscoveryAnswer = true;
        },
        allowance,
        ownsTarget,
    };
}

function createView(
    members: readonly InstanceId[],
    leaving: readonly InstanceId[],
    groups: readonly ServiceTargets[],
): MembershipView {
    const sorted = [...members].sort();
    const nonLeaving = sorted.filter(member => !leaving.includes(member));
    const candidates = nonLeaving.length > 0 ? nonLeaving : sorted;
    const targetsText = groups.map(group => `${group.service}:${group.targets.join(",")}`).join(";");
    return {
        members: sorted,
        candidates,
        digest: hashText(`${sorted.join(" ")}|${candidates.join(" ")}|${targetsText}`).toString(16),
    };
}

/** Assigns the targets of each service round-robin, so that the hash can't leave a member without any. */
function assignTargets(members: readonly InstanceId[], groups: readonly ServiceTargets[]): ReadonlyMap<TargetId, InstanceId> {
    const owners = new Map<TargetId, InstanceId>();
    for (const { service, targets } of groups) {
        const ranked = rankByRendezvous(service, members, member => member);
        [...targets].sort().forEach((target, index) => owners.set(target, ranked[index % ranked.length]!));
    }
    return owners;
}
