/**
 * Estimates the load that this entry's callers offer for each service: arrival rate times work per request, in slots.
 */
import type { ServiceId } from "../ids.js";
import type { Timer } from "../time/timer.js";

export interface OfferedLoad {
    /** Records a request whose work is expected to take `workMs`; not called for caller retries. */
    recordArrival(service: ServiceId, workMs: number): void;
    /** Records how long a target took for a request of the service. */
    recordWork(service: ServiceId, workMs: number): void;
    /** Slots that serving all of the load would keep busy. */
    requiredSlots(service: ServiceId): number;
    /** Time since the first request for the service, in milliseconds; 0 before it. */
    loadAgeMs(service: ServiceId): number;
    /** Moving average of a request's time at a target, in milliseconds. */
    meanWorkMs(service: ServiceId): number;
}

/** Time constant of the exponential decay of arrivals. */
const decayTimeConstantMs = 2_000;
const minSpanMs = 250;
/** Work of a request that is assumed before the first request. */
const initialWorkMs = 300;
const smoothingFactor = 0.05;

interface ServiceArrivals {
    /** Exponentially decayed number of arrivals. */
    arrivals: number;
    decayedAt: number;
    readonly firstArrivalAt: number;
    meanWorkMs: number;
}

export function createOfferedLoad(timer: Timer): OfferedLoad {
    const loads = new Map<ServiceId, ServiceArrivals>();
    const decay = (load: ServiceArrivals): void => {
        load.arrivals *= Math.exp(-(timer.now() - load.decayedAt) / decayTimeConstantMs);
        load.decayedAt = timer.now();
    };
    return {
        recordArrival: (service, workMs) => {
            const known = loads.get(service);
            if (known === undefined) {
                loads.set(service, { arrivals: 1, decayedAt: timer.now(), firstArrivalAt: timer.now(), meanWorkMs: workMs });
                return;
            }
            decay(known);
            known.arrivals++;
        },
        recordWork: (service, workMs) => {
            const load = loads.get(service);
            if (load !== undefined) {
                load.meanWorkMs += smoothingFactor * (workMs - load.meanWorkMs);
            }
        },
        requiredSlots: service => {
            const load = loads.get(service);
            if (load === undefined) {
                return 0;
            }
            decay(load);
            // Until arrivals span several time constants, the decayed count covers less than a full one.
            const effectiveSpanMs = decayTimeConstantMs *
                (1 - Math.exp(-Math.max(minSpanMs, timer.now() - load.firstArrivalAt) / decayTimeConstantMs));
            return (load.arrivals / effectiveSpanMs) * load.meanWorkMs;
        },
        loadAgeMs: service => {
            const load = loads.get(service);
            return load === undefined ? 0 : timer.now() - load.firstArrivalAt;
        },
        meanWorkMs: service => loads.get(service)?.meanWorkMs ?? initialWorkMs,
    };
}
