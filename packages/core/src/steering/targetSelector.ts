/**
 * Chooses the target for a request: the one where it earns most, from the chance that it is answered in time, the
 * price of the bytes on the way, and the slot time that it takes from others.
 */
import { hashText } from "../hash/hash.js";
import type { DataCentreId, RegionId, ServiceId } from "../ids.js";
import type { Random } from "../random/random.js";
import type { Timer } from "../time/timer.js";
import { recentArrivalCount } from "./coldTargetLimit.js";
import type { Job } from "./job.js";
import type { Locality } from "./locality.js";
import type { ObjectAffinity } from "./objectAffinity.js";
import type { RegionShiftLimiter } from "./regionShiftLimiter.js";
import type { RemoteObjects } from "./remoteObjects.js";
import type { Spillover } from "./spillover.js";
import type { Route } from "./steeringDocument.js";
import { expectedSlowness, freeSlots, isCold, objectKey, type Target } from "./target.js";
import type { TargetRegistry } from "./targetRegistry.js";
import type { WorkTimes } from "./workTimes.js";

export interface ScoredTarget {
    readonly target: Target;
    /** When the answer is expected, on the entry's clock. */
    readonly expectedAt: number;
    /** Expected worth: 1 for an answer in time for sure, down to that of a late one. */
    readonly value: number;
    /** What places are compared by: the worth, less the price of the way and of the slot's time. */
    readonly score: number;
    /** Whether the target remembers the request's object. */
    readonly isWarm: boolean;
    /** Whether the target would get to know the object by this run. */
    readonly isFirstRun: boolean;
}

export interface TargetSelection {
    /** The best target with room, if any may be used now. */
    readonly bestFree: ScoredTarget | undefined;
    /** Gain at the best target that has no room, were a slot free there now; -Infinity if there is none. */
    readonly bestFullScore: number;
}

export interface TargetSelector<Answer> {
    select(job: Job<Answer>): TargetSelection;
    /** Whether any target of the service has a free slot, as far as is known. */
    hasFreeSlot(service: ServiceId): boolean;
    /** Work that the job takes at the target that knows its object best, in milliseconds. */
    minWorkMs(job: Job<Answer>): number;
}

export interface TargetSelectorOptions {
    readonly timer: Timer;
    readonly random: Random;
    readonly self: Locality;
    readonly registry: TargetRegistry;
    readonly spillover: Spillover;
    readonly regionShift: RegionShiftLimiter;
    readonly workTimes: WorkTimes;
    readonly objectAffinity: ObjectAffinity;
    readonly remoteObjects: RemoteObjects;
    /** Region of a data centre, if it is known. */
    readonly regionOf: (dataCentre: DataCentreId) => RegionId | undefined;
    readonly isEvacuated: (dataCentre: DataCentreId) => boolean;
    /** Data centres whose targets this entry fills on its own judgement, since no entry there tells their room. */
    readonly coversDataCentre: (dataCentre: DataCentreId) => boolean;
    /** Requests a second that this entry may send to a cold target. */
    readonly coldRateLimit: (target: Target) => number;
    /** Round trip to a data centre, in milliseconds. */
    readonly roundTripMs: (dataCentre: DataCentreId) => number;
    /** Round trip to another region, in milliseconds. */
    readonly remoteRoundTripMs: number;
    readonly inFlightCountAt: (service: Job<unknown>["service"], dataCentre: DataCentreId) => number;
    readonly prices: TransferPrices;
    /** How long a request usually stays at a target of the service, in milliseconds. */
    readonly meanWorkMs: (service: ServiceId) => number;
}

/** Price of a kilobyte on the way to a target, as a share of a request's worth. */
export interface TransferPrices {
    readonly dataCentre: number;
    readonly region: number;
}

/** Worth of a late answer as a share of one in time. */
const lateWorth = 0.2;
/** Routes of this rank or above are worth more than others, so the way to a target may cost more. */
const urgentPriority = 1;
const urgentWorth = 2;
/** Spread of work around what is expected, as a share. */
const workSpread = 0.12;
/** Makes the logistic curve follow the normal distribution. */
const normalSlope = 1.7;
/** Price of the slot's time for work on an object that the target does not know. */
const slotPrice = 0.2;
/** Price of making a target forget another object. */
const forgetting = 0.25;
/** A target that joined is tried soon, or it would never be known. */
const untriedWorth = 1;
/** Weight of the agreed order of targets. */
const agreement = 0.06;
const twoTo32 = 2 ** 32;
/** Slots that must be free for a request to be sent at once. */
const roomNeeded = 0.6;
/** An object that is served elsewhere is kept there although its target is full, for this part of the objective. */
const farHoldShare = 0.3;
/** Requests in flight elsewhere may exceed the agreed slots by this factor for a moment. */
const farFluctuation = 1.5;
/** Work at a cold target takes this many times longer. */
const coldFactor = 2;

const better = (
    known: ScoredTarget | undefined,
    other: ScoredTarget,
): ScoredTarget => (known === undefined || other.score > known.score ? other : known);

interface Usable {
    readonly own: Target[];
    /** In other data centres of the region. */
    readonly near: Target[];
    readonly far: Target[];
}

export function createTargetSelector<Answer>(options: TargetSelectorOptions): TargetSelector<Answer> {
    const {
        timer,
        random,
        self,
        registry,
        spillover,
        regionShift: shift,
        workTimes: works,
        objectAffinity: objectHomes,
        remoteObjects: farObjects,
    } = options;

    /** Where a region has no target left, all that arrives there has to leave at once. */
    const hasOwnRegionTarget = (service: ServiceId): boolean => {
        for (const dataCentre of registry.dataCentresOf(service)) {
            const isOwn = options.regionOf(dataCentre) === self.region && !options.isEvacuated(dataCentre);
            if (isOwn && registry.targetsIn(service, dataCentre).some(target => !target.isSuspect)) {
                return true;
            }
        }
        return false;
    };
    const isFarObject = (job: Job<Answer>): boolean =>
        job.route.isSticky && job.request.objectId !== undefined
        && farObjects.isRemote(job.service, objectKey(job.route, job.request.objectId));
    const mayEnter = (job: Job<Answer>, dataCentre: DataCentreId): boolean => {
        const region = options.regionOf(dataCentre);
        const homes = job.route.homeRegions;
        if (options.isEvacuated(dataCentre) || (homes.length > 0 && (region === undefined || !homes.includes(region)))) {
            return false;
        }
        // The share of objects that are served elsewhere is bounded by itself.
        const isBound = region !== self.region && !isFarObject(job) && hasOwnRegionTarget(job.service);
        if (isBound && !shift.mayLeaveRegion()) {
            return false;
        }
        // Within a region reports are fresh, and the few entries there meet at the same targets anyway.
        if (region === self.region || options.coversDataCentre(dataCentre)) {
            return true;
        }
        const allowance = spillover.slotAllowance(job.service, dataCentre) ?? 0;
        const most = isFarObject(job) ? farFluctuation * allowance + 1 : allowance;
        return options.inFlightCountAt(job.service, dataCentre) + 1 <= most;
    };
    const mayUse = (job: Job<Answer>, target: Target, now: number): boolean => {
        if (target.isSuspect || target.ejectedUntil > now || job.triedTargets.has(target.record.id)) {
            return false;
        }
        if (isCold(target, now) && recentArrivalCount(target) + 1 > options.coldRateLimit(target)) {
            return false;
        }
        return true;
    };
    const isFreeNow = (target: Target, now: number): boolean =>
        freeSlots(target, now, options.meanWorkMs(target.record.service)) >= roomNeeded;
    /** The entries of its data centre try a target that joined. */
    const isNewcomer = (target: Target): boolean => target.isUntried && target.record.dataCentre === self.dataCentre;
    const isWarmAt = (job: Job<Answer>, target: Target): boolean =>
        job.route.isSticky && job.request.objectId !== undefined &&
        target.cache.isCached(objectKey(job.route, job.request.objectId));
    const rate = (job: Job<Answer>, target: Target, now: number): ScoredTarget => {
        const { route } = job;
        const isWarm = isWarmAt(job, target);
        const unknown = works.coldObjectMs(route);
        const usual = isWarm ? works.warmMs(route) : firstRunMs(route);
        const isFirst = route.isSticky && !isWarm;
        const work = usual * expectedSlowness(target, now) * (isCold(target, now) ? coldFactor : 1);
        const expectedAt = now + options.roundTripMs(target.record.dataCentre) + work;
        const margin = (job.objectiveAt - expectedAt) / (workSpread * work + 1);
        const value = lateWorth + (1 - lateWorth) / (1 + Math.exp(-normalSlope * margin));
        const gain = value - price(job, target) - slotPrice * (work / unknown) + preference(job, target)
            + (isNewcomer(target) ? untriedWorth : 0) - (isFirst && target.cache.isFull() ? forgetting : 0);
        return { target, expectedAt, value, score: gain, isWarm, isFirstRun: isFirst };
    };
    /** Expected work on an object at a target to which this entry did not send it yet; others may have. */
    const firstRunMs = (route: Route): number => {
        const known = route.isSticky ? works.alreadyCachedFraction(route) : 0;
        return known * works.warmMs(route) + (1 - known) * works.coldObjectMs(route);
    };
    /** Makes entries that don't know better agree on a target for each object. */
    const preference = (job: Job<Answer>, target: Target): number => {
        const { objectId: object } = job.request;
        return object === undefined ? 0.01 * random.next() : agreement * (hashText(object, target.hashSeed) / twoTo32);
    };
    const price = (job: Job<Answer>, target: Target): number => {
        const kilobytes = works.transferBytes(job.route) / 1_000;
        if (target.record.dataCentre === self.dataCentre) {
            return 0;
        }
        const perKilobyte = options.prices.dataCentre + (target.record.region === self.region ? 0 : options.prices.region);
        return (kilobytes * perKilobyte) / (job.route.priority <= urgentPriority ? urgentWorth : 1);
    };
    const usable = (job: Job<Answer>, now: number): Usable => {
        const found: Usable = { own: [], near: [], far: [] };
        for (const dataCentre of registry.dataCentresOf(job.service)) {
            if (!mayEnter(job, dataCentre)) {
                continue;
            }
            const isNear = options.regionOf(dataCentre) === self.region;
            const list = dataCentre === self.dataCentre ? found.own : isNear ? found.near : found.far;
            list.push(...registry.targetsIn(job.service, dataCentre).filter(target => mayUse(job, target, now)));
        }
        return found;
    };
    /** All usable targets; for an object, those that know it and those that may get to know it. */
    const candidates = (job: Job<Answer>, now: number): readonly Target[] => {
        const { own, near, far } = usable(job, now);
        const { objectId: object } = job.request;
        if (!job.route.isSticky || object === undefined) {
            return [...own, ...near, ...far];
        }
        const key = objectKey(job.route, object);
        const homes = objectHomes.homesInRegion(key, own, near, objectHomes.activeObjectCount(job.service));
        const farHome = objectHomes.homeInOtherRegion(key, far);
        if (farHome !== undefined && isFarObject(job) && now < job.request.arrivedAt + farHoldShare * job.route.objectiveMs) {
            return [farHome];
        }
        const isCandidate = (target: Target): boolean =>
            target.cache.isCached(key) || isNewcomer(target) || homes.includes(target) || target === farHome;
        return [...own, ...near, ...far].filter(isCandidate);
    };
    return {
        select: job => {
            const now = timer.now();
            let free: ScoredTarget | undefined;
            let fullGain = -Infinity;
            let far: ScoredTarget | undefined;
            for (const target of candidates(job, now)) {
                const choice = rate(job, target, now);
                if (!isFreeNow(target, now)) {
                    fullGain = Math.max(fullGain, choice.score);
                }
                else {
                    free = better(free, choice);
                    far = target.record.region === self.region ? far : better(far, choice);
                }
            }
            return far !== undefined && !shift.mayStayInRegion()
                ? { bestFree: far, bestFullScore: -Infinity }
                : { bestFree: free, bestFullScore: fullGain };
        },
        hasFreeSlot: service => {
            const now = timer.now();
            for (const dataCentre of registry.dataCentresOf(service)) {
                if (
                    registry.targetsIn(service, dataCentre).some(target => !target.isSuspect && isFreeNow(target, now))
                ) {
                    return true;
                }
            }
            return false;
        },
        minWorkMs: job => {
            if (isFarObject(job)) {
                return works.warmMs(job.route) + options.remoteRoundTripMs;
            }
            for (const target of registry.targetsIn(job.service, self.dataCentre)) {
                if (!target.isSuspect && isWarmAt(job, target)) {
                    return works.warmMs(job.route);
                }
            }
            return firstRunMs(job.route);
        },
    };
}
