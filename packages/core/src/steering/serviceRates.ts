/** How fast a service's requests get slots through this entry. */
import type { ServiceId } from "../ids.js";
import type { Timer } from "../time/timer.js";
import type { OfferedLoad } from "./offeredLoad.js";
import { createSlidingWindowCounter, type SlidingWindowCounter } from "./slidingWindowCounter.js";

export interface ServiceRates {
    /** Requests at the service's targets changed by this number. */
    adjustInFlight(service: ServiceId, by: number): void;
    /** A request started that can only be late. */
    recordLateStart(service: ServiceId): void;
    /** Requests that get a slot in a second: all, by Little's law, and those that could only be late. */
    ratesOf(service: ServiceId): { readonly allPerSecond: number; readonly latePerSecond: number; };
}

/** Span over which late starts are counted. */
const lateWindowMs = 2_000;
const slices = 8;

export function createServiceRates(timer: Timer, offered: OfferedLoad): ServiceRates {
    const counts = new Map<ServiceId, number>();
    const late = new Map<ServiceId, SlidingWindowCounter>();
    return {
        adjustInFlight: (service, by) => {
            counts.set(service, (counts.get(service) ?? 0) + by);
        },
        recordLateStart: service => {
            let count = late.get(service);
            if (count === undefined) {
                count = createSlidingWindowCounter(timer, lateWindowMs, slices);
                late.set(service, count);
            }
            count.add();
        },
        ratesOf: service => ({
            allPerSecond: ((counts.get(service) ?? 0) / offered.meanWorkMs(service)) * 1_000,
            latePerSecond: ((late.get(service)?.total() ?? 0) / lateWindowMs) * 1_000,
        }),
    };
}
