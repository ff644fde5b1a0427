/** The load that this entry's callers offer for each service: arrivals a second times the work of one, in slots. */
import type { ServiceId } from "../ids.js";
import type { Timer } from "../time/timer.js";

export interface OfferedLoad {
    /** A request arrived whose work is expected to take `workMs`; returns of refused ones are not told. */
    recordArrival(service: ServiceId, workMs: number): void;
    /** Work of the service took a target this long. */
    recordWork(service: ServiceId, workMs: number): void;
    /** Slots that serving all of it would keep busy. */
    requiredSlots(service: ServiceId): number;
    /** How long requests for the service have been arriving, in milliseconds; 0 before the first. */
    loadAgeMs(service: ServiceId): number;
    /** Usual time of a request at a target, in milliseconds. */
    meanWorkMs(service: ServiceId): number;
}

/** Time constant with which arrivals are forgotten. */
const decayTimeConstantMs = 2_000;
const minSpanMs = 250;
/** Work of a request before the first one. */
const initialWorkMs = 300;
const smoothingFactor = 0.05;

interface Load {
    /** Arrivals, faded. */
    arrivals: number;
    at: number;
    readonly since: number;
    workMs: number;
}

export function createOfferedLoad(timer: Timer): OfferedLoad {
    const loads = new Map<ServiceId, Load>();
    const fade = (load: Load): void => {
        load.arrivals *= Math.exp(-(timer.now() - load.at) / decayTimeConstantMs);
        load.at = timer.now();
    };
    return {
        recordArrival: (service, workMs) => {
            const known = loads.get(service);
            if (known === undefined) {
                loads.set(service, { arrivals: 1, at: timer.now(), since: timer.now(), workMs });
                return;
            }
            fade(known);
            known.arrivals++;
        },
        recordWork: (service, workMs) => {
            const load = loads.get(service);
            if (load !== undefined) {
                load.workMs += smoothingFactor * (workMs - load.workMs);
            }
        },
        requiredSlots: service => {
            const load = loads.get(service);
            if (load === undefined) {
                return 0;
            }
            fade(load);
            // What is remembered covers less than the whole span at first.
            const covered = decayTimeConstantMs *
                (1 - Math.exp(-Math.max(minSpanMs, timer.now() - load.since) / decayTimeConstantMs));
            return (load.arrivals / covered) * load.workMs;
        },
        loadAgeMs: service => {
            const load = loads.get(service);
            return load === undefined ? 0 : timer.now() - load.since;
        },
        meanWorkMs: service => loads.get(service)?.workMs ?? initialWorkMs,
    };
}
