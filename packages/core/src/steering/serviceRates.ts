/** Rates at which a service's requests get slots through this entry. */
import type { ServiceId } from "../ids.js";
import { createSlidingWindowCounter, type SlidingWindowCounter } from "../time/slidingWindowCounter.js";
import type { Timer } from "../time/timer.js";
import type { OfferedLoad } from "./offeredLoad.js";

export interface ServiceRates {
    /** Adds `change` to the number of requests in flight at the service's targets. */
    adjustInFlight(service: ServiceId, change: number): void;
    /** Records the start of a request that can only be late. */
    recordLateStart(service: ServiceId): void;
    ratesOf(service: ServiceId): ServiceRate;
}

/** Requests a second that get a slot. */
export interface ServiceRate {
    /** Estimated by Little's law. */
    readonly allPerSecond: number;
    /** Of those that could only be late. */
    readonly latePerSecond: number;
}

/** Window over which late starts are counted. */
const lateWindowMs = 2_000;
const sliceCount = 8;

export function createServiceRates(timer: Timer, offered: OfferedLoad): ServiceRates {
    const inFlight = new Map<ServiceId, number>();
    const lateStarts = new Map<ServiceId, SlidingWindowCounter>();
    return {
        adjustInFlight: (service, change) => {
            inFlight.set(service, (inFlight.get(service) ?? 0) + change);
        },
        recordLateStart: service => {
            let count = lateStarts.get(service);
            if (count === undefined) {
                count = createSlidingWindowCounter(timer, lateWindowMs, sliceCount);
                lateStarts.set(service, count);
            }
            count.add();
        },
        ratesOf: service => ({
            allPerSecond: ((inFlight.get(service) ?? 0) / offered.meanWorkMs(service)) * 1_000,
            latePerSecond: ((lateStarts.get(service)?.total() ?? 0) / lateWindowMs) * 1_000,
        }),
    };
}
