/** How fast a service's requests get slots through this entry. */
import type { ServiceId } from "../ids.js";
import type { Timer } from "../time/timer.js";
import type { OfferedLoad } from "./offeredLoad.js";
import { createSlidingCount, type SlidingCount } from "./slidingCount.js";

export interface ServiceRates {
    /** Requests at the service's targets changed by this number. */
    inFlight(service: ServiceId, by: number): void;
    /** A request started that can only be late. */
    lateStarted(service: ServiceId): void;
    /** Requests that get a slot in a second: all, by Little's law, and those that could only be late. */
    of(service: ServiceId): { readonly all: number; readonly late: number; };
}

/** Span over which late starts are counted. */
const lateWindowMs = 2_000;
const slices = 8;

export function createServiceRates(timer: Timer, offered: OfferedLoad): ServiceRates {
    const counts = new Map<ServiceId, number>();
    const late = new Map<ServiceId, SlidingCount>();
    return {
        inFlight: (service, by) => {
            counts.set(service, (counts.get(service) ?? 0) + by);
        },
        lateStarted: service => {
            let count = late.get(service);
            if (count === undefined) {
                count = createSlidingCount(timer, lateWindowMs, slices);
                late.set(service, count);
            }
            count.add();
        },
        of: service => ({
            all: ((counts.get(service) ?? 0) / offered.workMs(service)) * 1_000,
            late: ((late.get(service)?.total() ?? 0) / lateWindowMs) * 1_000,
        }),
    };
}
