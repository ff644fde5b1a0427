/**
 * Limits how fast requests change their region because targets are full, besides the objects that move as planned. Of a group
 * of requests that usually run in one region, only those whose position is below a threshold may run in another one. The
 * threshold follows the fraction that lately did, so that it changes by a limited amount; as it does not count requests, the
 * limits of many entries with few requests each add up to no more than that of one with all of them.
 */
import type { ServiceId } from "../ids.js";
import type { Timer } from "../time/timer.js";

export interface RegionShiftLimiter {
    /** Whether a request at a position from 0 to 1 in its group may run outside its usual region. */
    mayMove(service: ServiceId, position: number): boolean;
    /** Whether the request has to run outside its usual region if it can, as too many would return at once. */
    hasToMove(service: ServiceId, position: number): boolean;
    /** Fraction of the group's requests that have to run outside their usual region if they can. */
    minMovedFraction(service: ServiceId): number;
    /** Records a request of the group, whether or not it finds a target. */
    recordArrival(service: ServiceId): void;
    /** Records that a request of the group was sent to a target outside its usual region. */
    recordMoved(service: ServiceId): void;
}

export interface RegionShiftLimiterOptions {
    readonly timer: Timer;
    /** Maximum change of the fraction between two windows of two seconds. */
    readonly maxFractionChange: (service: ServiceId) => number;
}

const windowMs = 2_000;
const sliceCount = 8;
const sliceMs = windowMs / sliceCount;
/**
 * Fraction of the limit by which the current fraction may differ from that of the previous window. A fraction that
 * changes steadily by this much changes by twice as much from window to window.
 */
const usedChangeFraction = 0.45;
/** Fraction that may move within the first window, before it is known how many do. */
const initialFraction = 0.35;

interface Slice {
    all: number;
    moved: number;
}

/** Requests of a service in the current slice and in the window before it. */
interface Counts {
    readonly past: Slice[];
    current: Slice;
    currentIndex: number;
    /** Time of the first request; `undefined` before it. */
    startedAt: number | undefined;
}

export function createRegionShiftLimiter(options: RegionShiftLimiterOptions): RegionShiftLimiter {
    const { timer } = options;
    const countsByService = new Map<ServiceId, Counts>();
    const countsOf = (service: ServiceId): Counts => {
        const index = Math.floor(timer.now() / sliceMs);
        const counts = countsByService.get(service)
            ?? { past: [], current: { all: 0, moved: 0 }, currentIndex: index, startedAt: undefined };
        countsByService.set(service, counts);
        const steps = Math.min(index - counts.currentIndex, sliceCount + 1);
        for (let step = 0; step < steps; step++) {
            counts.past.push(counts.current);
            counts.current = { all: 0, moved: 0 };
        }
        counts.past.splice(0, Math.max(0, counts.past.length - sliceCount));
        counts.currentIndex = index;
        return counts;
    };
    const sum = (slices: readonly Slice[]): Slice =>
        slices.reduce((total, slice) => ({ all: total.all + slice.all, moved: total.moved + slice.moved }), { all: 0, moved: 0 });
    const movedFraction = ({ past }: Counts): number => {
        const { all, moved } = sum(past);
        return all === 0 ? 0 : Math.min(1, moved / all);
    };
    const maxChange = (service: ServiceId): number => usedChangeFraction * options.maxFractionChange(service);
    const maxMovedFraction = (service: ServiceId): number => {
        const counts = countsOf(service);
        const isFirstWindow = counts.startedAt === undefined || timer.now() - counts.startedAt < windowMs;
        return Math.max(movedFraction(counts) + maxChange(service), isFirstWindow ? initialFraction : 0);
    };
    const minMovedFraction = (service: ServiceId): number => Math.max(0, movedFraction(countsOf(service)) - maxChange(service));
    return {
        mayMove: (service, position) => position < maxMovedFraction(service),
        hasToMove: (service, position) => position < minMovedFraction(service),
        minMovedFraction,
        recordArrival: service => {
            const counts = countsOf(service);
            counts.startedAt ??= timer.now();
            counts.current.all++;
        },
        recordMoved: service => void countsOf(service).current.moved++,
    };
}
