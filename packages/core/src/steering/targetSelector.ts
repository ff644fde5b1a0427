/**
 * Selects the target for a request: the one with the highest score, from the probability that the response meets the
 * latency objective, the cost of transferring the bytes, and the slot time that it takes from other requests.
 */
import { hashText } from "../hash/hash.js";
import type { DataCentreId, RegionId, ServiceId } from "../ids.js";
import type { Random } from "../random/random.js";
import type { Timer } from "../time/timer.js";
import { recentArrivalCount } from "./coldTargetLimit.js";
import type { Job } from "./job.js";
import type { Locality } from "./locality.js";
import type { ObjectAffinity, TargetGroup } from "./objectAffinity.js";
import type { RegionShiftLimiter } from "./regionShiftLimiter.js";
import type { RemoteObjects } from "./remoteObjects.js";
import type { Spillover } from "./spillover.js";
import type { Route } from "./steeringDocument.js";
import { expectedSlowness, freeSlots, hasRoomForBody, isCold, objectKey, type Target } from "./target.js";
import type { TargetRegistry } from "./targetRegistry.js";
import type { WorkTimes } from "./workTimes.js";

export interface ScoredTarget {
    readonly target: Target;
    /** Time at which the response is expected, on the entry's clock. */
    readonly expectedAt: number;
    /** Expected value: from 1 for a response that certainly meets the objective down to the value of a late one. */
    readonly value: number;
    /** Value less the cost of the transfer and of the slot time; targets are compared by it. */
    readonly score: number;
    /** Whether the target has the request's object cached. */
    readonly isWarm: boolean;
    /** Whether the object is, as far as is known, cached at no target that the request may use. */
    readonly isFirstRun: boolean;
}

export interface TargetSelection {
    /** The best target with a free slot, if there is one that may be used now. */
    readonly bestFree: ScoredTarget | undefined;
    /** Score of the best target without a free slot, as if it had one; -Infinity if there is none. */
    readonly bestFullScore: number;
}

export interface TargetSelector<Answer> {
    select(job: Job<Answer>): TargetSelection;
    /** Whether any target of the service has a free slot, as far as is known. */
    hasFreeSlot(service: ServiceId): boolean;
    /**
     * Time at which the first target of the service accepts requests again: now if any does or none is known, `Infinity` if
     * all are leaving.
     */
    opensAt(job: Job<Answer>): number;
    /** Work of the job at the target that is most likely to have its object cached, in milliseconds. */
    minWorkMs(job: Job<Answer>): number;
    recordArrival(job: Job<Answer>): void;
    /** Records that the job was sent to the target. */
    recordSent(job: Job<Answer>, target: Target): void;
}

export interface TargetSelectorOptions {
    readonly timer: Timer;
    readonly random: Random;
    readonly self: Locality;
    readonly registry: TargetRegistry;
    readonly spillover: Spillover;
    /** Limits the requests that leave the region although their objects are served in it. */
    readonly leavingRequests: RegionShiftLimiter;
    /** Limits the requests that run in the region although their objects are served in another one. */
    readonly returningRequests: RegionShiftLimiter;
    readonly workTimes: WorkTimes;
    readonly objectAffinity: ObjectAffinity;
    readonly remoteObjects: RemoteObjects;
    /** Slots that this entry's load of the objects that are served in other regions keeps busy. */
    readonly remoteLoadSlots: (service: ServiceId) => number;
    /** Region of a data centre, if it is known. */
    readonly regionOf: (dataCentre: DataCentreId) => RegionId | undefined;
    readonly isEvacuated: (dataCentre: DataCentreId) => boolean;
    /**
     * Whether this entry serves the data centre's targets without a slot allowance, because no entry there reports
     * their free slots.
     */
    readonly coversDataCentre: (dataCentre: DataCentreId) => boolean;
    /** Maximum number of requests a second that this entry may send to a cold target. */
    readonly coldRateLimit: (target: Target) => number;
    /** Round trip to a data centre, in milliseconds. */
    readonly roundTripMs: (dataCentre: DataCentreId) => number;
    /** Round trip to another region, in milliseconds. */
    readonly remoteRoundTripMs: number;
    readonly inFlightCountAt: (service: Job<unknown>["service"], dataCentre: DataCentreId) => number;
    readonly prices: TransferPrices;
    /** Typical time of a request at a target of the service, in milliseconds. */
    readonly meanWorkMs: (service: ServiceId) => number;
}

/** Price of transferring a kilobyte to a target, as a fraction of a request's value. */
export interface TransferPrices {
    readonly dataCentre: number;
    readonly region: number;
}

/** Value of a late response as a fraction of one that meets the objective. */
const lateResponseValue = 0.2;
/** Requests of this priority or more urgent ones have a higher value, which justifies a more expensive transfer. */
const urgentPriority = 1;
const urgentWeight = 2;
/** Standard deviation of the work, as a fraction of the expected work. */
const workSpreadRatio = 0.12;
/** Slope at which the logistic curve approximates the normal distribution. */
const logisticSlope = 1.7;
/** Price of the slot time of one run on an object that the target has not cached. */
const slotTimePrice = 0.2;
/** Price of making a target evict another object. */
const evictionPrice = 0.25;
/** Makes entries try a new target soon; otherwise nothing would ever be learned about it. */
const untriedBonus = 1;
/** By how much a copy that the region's data centres share is preferred to a further one in this data centre. */
const sharedCopyMargin = 0.06;
/** Weight of the rendezvous order of targets, on which all entries agree. */
const rendezvousWeight = 0.06;
const hashRange = 2 ** 32;
/** Free slots that a target must have for a request to be sent at once. */
const minFreeSlots = 0.6;
/** An object that is served in another region waits there for a full target, for this fraction of the objective. */
const remoteHoldRatio = 0.3;
/** Requests in flight in other regions may briefly exceed the slot allowance by this factor. */
const remoteBurstFactor = 1.5;
/** Factor by which work takes longer at a cold target. */
const coldSlowdownFactor = 2;

const higherScored = (
    current: ScoredTarget | undefined,
    other: ScoredTarget,
): ScoredTarget => (current === undefined || other.score > current.score ? other : current);

/** Targets of the data centres that a request may use, by data centre. */
interface ReachableTargets {
    local: TargetGroup;
    /** In other data centres of the region. */
    readonly sameRegion: TargetGroup[];
    readonly remote: TargetGroup[];
    readonly dataCentres: Set<DataCentreId>;
}

interface CopyState {
    /** Whether the target would hold a further copy of the object in the region. */
    readonly isCopy: boolean;
    /** Whether a target that the request may use has the object cached. */
    readonly isCachedElsewhere: () => boolean;
}

interface Candidates {
    readonly targets: Iterable<Target>;
    /** The one that would hold a further copy of the object in the region. */
    readonly copy: Target | undefined;
}

export function createTargetSelector<Answer>(options: TargetSelectorOptions): TargetSelector<Answer> {
    const { timer, random, self, registry, spillover, workTimes, objectAffinity, remoteObjects } = options;
    const { leavingRequests, returningRequests } = options;

    /** If a region has no target left, all requests that arrive there must leave it at once. */
    const hasOwnRegionTarget = (service: ServiceId): boolean => {
        for (const dataCentre of registry.dataCentresOf(service)) {
            const isOwn = options.regionOf(dataCentre) === self.region && !options.isEvacuated(dataCentre);
            if (isOwn && registry.targetsIn(service, dataCentre).some(target => !target.isSuspect)) {
                return true;
            }
        }
        return false;
    };
    let keyedJob: Job<Answer> | undefined;
    let keyOfJob = 0;
    /** Hash of the job's object. A selection needs it for each data centre and target, and computing it takes longer than its use. */
    const keyFor = (job: Job<Answer>, objectId: string): number => {
        if (job !== keyedJob) {
            keyedJob = job;
            keyOfJob = objectKey(job.route, objectId);
        }
        return keyOfJob;
    };
    /** Region in which the job's object is served; `undefined` if that is the entry's own. */
    const remoteRegionOf = (job: Job<Answer>): RegionId | undefined =>
        job.route.isSticky && job.request.objectId !== undefined
            ? remoteObjects.regionOf(job.service, keyFor(job, job.request.objectId))
            : undefined;
    const isRemoteObject = (job: Job<Answer>): boolean => remoteRegionOf(job) !== undefined;
    /** Position of the job, from 0 to 1, among those whose objects are served in the same region as its own. */
    const positionOf = (job: Job<Answer>): number =>
        job.route.isSticky && job.request.objectId !== undefined
            ? remoteObjects.positionOf(job.service, keyFor(job, job.request.objectId))
            : hashText(job.request.id) / hashRange;
    /** Limits the jobs that run in another region than the one in which their objects are served. */
    const limiterOf = (job: Job<Answer>): RegionShiftLimiter => isRemoteObject(job) ? returningRequests : leavingRequests;
    const isInHomeRegion = (job: Job<Answer>, dataCentre: DataCentreId): boolean => {
        const region = options.regionOf(dataCentre);
        const homes = job.terms.homeRegions;
        return !options.isEvacuated(dataCentre) && (homes.length === 0 || (region !== undefined && homes.includes(region)));
    };
    /** Its requests run in other regions whatever their load, so that neither allowances nor the limit on shifts apply. */
    const mustLeaveRegion = ({ terms }: Job<Answer>): boolean =>
        terms.homeRegions.length > 0 && !terms.homeRegions.includes(self.region);
    const allowanceIn = (job: Job<Answer>, dataCentre: DataCentreId): number =>
        spillover.slotAllowance(job.service, dataCentre) ?? 0;
    const isAllowed = (job: Job<Answer>, dataCentre: DataCentreId): boolean =>
        isInHomeRegion(job, dataCentre)
        && (mustLeaveRegion(job) || options.coversDataCentre(dataCentre) || allowanceIn(job, dataCentre) > 0);
    /**
     * Whether this entry may run another remote object. The allowances of all data centres count together: the objects are spread
     * over them by hash, and the share of an entry in a single one is often below one slot. They are at least what the objects
     * need, as those move to other regions and back slowly, whatever the plan says.
     */
    const hasRemoteRoom = (job: Job<Answer>): boolean => {
        let allowance = 0;
        let inFlight = 0;
        for (const dataCentre of registry.dataCentresOf(job.service)) {
            if (options.regionOf(dataCentre) !== self.region) {
                allowance += allowanceIn(job, dataCentre);
                inFlight += options.inFlightCountAt(job.service, dataCentre);
            }
        }
        return inFlight + 1 <= remoteBurstFactor * Math.max(allowance, options.remoteLoadSlots(job.service)) + 1;
    };
    const mayUseDataCentre = (job: Job<Answer>, dataCentre: DataCentreId): boolean => {
        const region = options.regionOf(dataCentre);
        if (!isInHomeRegion(job, dataCentre)) {
            return false;
        }
        if (mustLeaveRegion(job)) {
            return true;
        }
        // Within a region load reports are recent, and its few entries use the same targets anyway.
        if (region === self.region) {
            return true;
        }
        // The limit on region shifts is applied to remote objects where they are selected.
        const isRemote = isRemoteObject(job);
        const isShiftLimited = !isRemote && hasOwnRegionTarget(job.service);
        if (isShiftLimited && !leavingRequests.mayMove(job.service, positionOf(job))) {
            return false;
        }
        if (options.coversDataCentre(dataCentre)) {
            return true;
        }
        return isRemote || leavingRequests.hasToMove(job.service, positionOf(job))
            ? hasRemoteRoom(job)
            : options.inFlightCountAt(job.service, dataCentre) + 1 <= allowanceIn(job, dataCentre);
    };
    const mayUseTarget = (job: Job<Answer>, target: Target, now: number): boolean => {
        if (
            target.isSuspect || Math.max(target.ejectedUntil, target.pausedUntil) > now || job.triedTargets.has(target.record.id)
        ) {
            return false;
        }
        if (isCold(target, now) && recentArrivalCount(target) + 1 > options.coldRateLimit(target)) {
            return false;
        }
        return true;
    };
    const isFreeNow = (target: Target, now: number): boolean =>
        freeSlots(target, now, options.meanWorkMs(target.record.service)) >= minFreeSlots;
    /** Entries in its data centre send the first requests to a new target. */
    const needsFirstRequest = (target: Target): boolean => target.isUntried && target.record.dataCentre === self.dataCentre;
    const isWarmAt = (job: Job<Answer>, target: Target): boolean =>
        job.route.isSticky && job.request.objectId !== undefined &&
        target.cache.isCached(keyFor(job, job.request.objectId));
    const scoreTarget = (
        job: Job<Answer>,
        target: Target,
        { isCopy, isCachedElsewhere }: CopyState,
        now: number,
    ): ScoredTarget => {
        const { route } = job;
        const isWarm = isWarmAt(job, target);
        const coldMs = workTimes.coldObjectMs(route);
        const usualMs = isWarm ? workTimes.warmMs(route) : expectedFirstRunMs(route);
        const isColdRun = route.isSticky && !isWarm;
        const workMs = usualMs * expectedSlowness(target, now) * (isCold(target, now) ? coldSlowdownFactor : 1);
        const expectedAt = now + options.roundTripMs(target.record.dataCentre) + workMs;
        const margin = (job.objectiveAt - expectedAt) / (workSpreadRatio * workMs + 1);
        const value = lateResponseValue + (1 - lateResponseValue) / (1 + Math.exp(-logisticSlope * margin));
        const score = value - transferPrice(job, target) - slotTimePrice * (workMs / coldMs) + rendezvousPreference(job, target)
            + (isColdRun && isCopy ? copyPreference(job) : 0)
            + (needsFirstRequest(target) ? untriedBonus : 0) - (isColdRun && target.cache.isFull() ? evictionPrice : 0);
        return { target, expectedAt, value, score, isWarm, isFirstRun: isColdRun && !isCachedElsewhere() };
    };
    /** Expected work on an object at a target to which this entry has not sent it; other entries may have. */
    const expectedFirstRunMs = (route: Route): number => {
        const cachedFraction = route.isSticky ? workTimes.alreadyCachedFraction(route) : 0;
        return cachedFraction * workTimes.warmMs(route) + (1 - cachedFraction) * workTimes.coldObjectMs(route);
    };
    /**
     * Preference against a further copy of an object at a local target: its slow run would be late for its caller, and the copy
     * evicts another object. It is made only where the targets that have the object are full.
     */
    const copyPreference = (job: Job<Answer>): number => -transferPriceOf(job, options.prices.dataCentre) - sharedCopyMargin;
    /** Makes entries without better information agree on a target for each object. */
    const rendezvousPreference = (job: Job<Answer>, target: Target): number => {
        const { objectId } = job.request;
        return objectId === undefined
            ? 0.01 * random.next()
            : rendezvousWeight * (hashText(objectId, target.hashSeed) / hashRange);
    };
    const transferPrice = (job: Job<Answer>, target: Target): number => {
        if (target.record.dataCentre === self.dataCentre) {
            return 0;
        }
        return transferPriceOf(
            job,
            options.prices.dataCentre + (target.record.region === self.region ? 0 : options.prices.region),
        );
    };
    const transferPriceOf = (job: Job<Answer>, perKilobyte: number): number => {
        const kilobytes = workTimes.transferBytes(job.route) / 1_000;
        return (kilobytes * perKilobyte) / (job.terms.priority <= urgentPriority ? urgentWeight : 1);
    };
    const reachableTargets = (job: Job<Answer>): ReachableTargets => {
        const found: ReachableTargets = { local: [], sameRegion: [], remote: [], dataCentres: new Set() };
        for (const dataCentre of registry.dataCentresOf(job.service)) {
            if (!mayUseDataCentre(job, dataCentre)) {
                continue;
            }
            found.dataCentres.add(dataCentre);
            const group = registry.targetsIn(job.service, dataCentre);
            if (dataCentre === self.dataCentre) {
                found.local = group;
            }
            else {
                (options.regionOf(dataCentre) === self.region ? found.sameRegion : found.remote).push(group);
            }
        }
        return found;
    };
    /**
     * Targets in other regions in which this entry has an allowance, used up or not: an object's home must not move whenever
     * the allowance of a data centre is used up. An object that is served in a region stays there without an allowance too.
     */
    const allowedInOtherRegions = (job: Job<Answer>): TargetGroup[] => {
        const remoteRegion = remoteRegionOf(job);
        const remote = [...registry.dataCentresOf(job.service)].filter(dataCentre =>
            options.regionOf(dataCentre) !== self.region
            && (remoteRegion === undefined || mustLeaveRegion(job) || options.regionOf(dataCentre) === remoteRegion)
        );
        const allowed = remote.filter(dataCentre => isAllowed(job, dataCentre));
        return (allowed.length > 0 || remoteRegion === undefined
            ? allowed
            : remote.filter(dataCentre => isInHomeRegion(job, dataCentre)))
            .map(dataCentre => registry.targetsIn(job.service, dataCentre));
    };
    /** Targets of the service that are likely to have the request's object cached, whether or not they may be used. */
    const cachingTargets = (job: Job<Answer>): Target[] => {
        const { objectId } = job.request;
        if (!job.route.isSticky || objectId === undefined) {
            return [];
        }
        const key = keyFor(job, objectId);
        const isCaching = ({ record, isLeaving, isRemoved, cache }: Target): boolean =>
            record.service === job.service && !record.isDraining && !isLeaving && !isRemoved && cache.isCached(key);
        return [...registry.holdersOf(key)].filter(isCaching);
    };
    /** All usable targets; for an object, those that have it cached and those that may cache it. */
    const candidateTargets = (job: Job<Answer>, now: number): Candidates => {
        const { local, sameRegion, remote, dataCentres } = reachableTargets(job);
        const isUsable = (target: Target): boolean => mayUseTarget(job, target, now);
        const { objectId } = job.request;
        if (!job.route.isSticky || objectId === undefined) {
            return { targets: [local, ...sameRegion, ...remote].flat().filter(isUsable), copy: undefined };
        }
        const key = keyFor(job, objectId);
        const remoteHome = objectAffinity.homeInOtherRegion(key, allowedInOtherRegions(job), isUsable);
        const isRemoteHomeOpen = remoteHome !== undefined && dataCentres.has(remoteHome.record.dataCentre);
        const mayReturn = now >= job.request.arrivedAt + remoteHoldRatio * job.route.objectiveMs
            && returningRequests.mayMove(job.service, positionOf(job));
        if (remoteHome !== undefined && isRemoteObject(job) && !mayReturn) {
            return { targets: isRemoteHomeOpen ? [remoteHome] : [], copy: undefined };
        }
        const objectCount = objectAffinity.activeObjectCount(job.service);
        const homes = objectAffinity.homesInRegion(key, { local, sameRegion, isUsable }, objectCount);
        const targets = new Set<Target>();
        [homes.first, homes.near, homes.local, isRemoteHomeOpen ? remoteHome : undefined].forEach(home =>
            home !== undefined && targets.add(home)
        );
        cachingTargets(job)
            .filter(target => dataCentres.has(target.record.dataCentre) && isUsable(target))
            .forEach(target => targets.add(target));
        local.filter(target => needsFirstRequest(target) && isUsable(target)).forEach(target => targets.add(target));
        return { targets, copy: homes.local === homes.first ? undefined : homes.local };
    };
    return {
        select: job => {
            const now = timer.now();
            let bestFree: ScoredTarget | undefined;
            let bestFullScore = -Infinity;
            let bestRemote: ScoredTarget | undefined;
            const { targets, copy } = candidateTargets(job, now);
            let isCached: boolean | undefined;
            const isCachedElsewhere = (): boolean =>
                isCached ??= cachingTargets(job).some(target => mayUseTarget(job, target, now));
            for (const target of targets) {
                const scored = scoreTarget(job, target, { isCopy: target === copy, isCachedElsewhere }, now);
                if (!isFreeNow(target, now) || !hasRoomForBody(target, job.request.bodyBytes)) {
                    bestFullScore = Math.max(bestFullScore, scored.score);
                }
                else {
                    bestFree = higherScored(bestFree, scored);
                    bestRemote = target.record.region === self.region ? bestRemote : higherScored(bestRemote, scored);
                }
            }
            return bestRemote !== undefined && !isRemoteObject(job) && leavingRequests.hasToMove(job.service, positionOf(job))
                ? { bestFree: bestRemote, bestFullScore: -Infinity }
                : { bestFree, bestFullScore };
        },
        hasFreeSlot: service => {
            const now = timer.now();
            for (const dataCentre of registry.dataCentresOf(service)) {
                if (
                    registry.targetsIn(service, dataCentre).some(target =>
                        !target.isSuspect && target.pausedUntil <= now && isFreeNow(target, now)
                    )
                ) {
                    return true;
                }
            }
            return false;
        },
        opensAt: job => {
            const now = timer.now();
            let openingAt = Infinity;
            for (const dataCentre of registry.dataCentresOf(job.service)) {
                for (const target of registry.targetsIn(job.service, dataCentre)) {
                    if (target.pausedUntil <= now) {
                        return now;
                    }
                    openingAt = Math.min(openingAt, target.pausedUntil);
                }
            }
            return openingAt === Infinity && !registry.isServiceLeaving(job.service) ? now : openingAt;
        },
        recordArrival: job => {
            if (!mustLeaveRegion(job)) {
                limiterOf(job).recordArrival(job.service);
            }
        },
        recordSent: (job, target) => {
            const isInOwnRegion = target.record.region === self.region;
            if (!mustLeaveRegion(job) && isInOwnRegion === isRemoteObject(job)) {
                limiterOf(job).recordMoved(job.service);
            }
        },
        minWorkMs: job => {
            if (isRemoteObject(job)) {
                return workTimes.warmMs(job.route) + options.remoteRoundTripMs;
            }
            const now = timer.now();
            const isWarmNearby = (target: Target): boolean =>
                target.record.region === self.region && mayUseTarget(job, target, now)
                && mayUseDataCentre(job, target.record.dataCentre);
            const warmTimes = cachingTargets(job)
                .filter(isWarmNearby)
                .map(({ record }) => workTimes.warmMs(job.route) + options.roundTripMs(record.dataCentre));
            return Math.min(expectedFirstRunMs(job.route), ...warmTimes);
        },
    };
}
