/**
 * Bounds how fast an entry moves requests to other regions and back. Of the next requests, the share that leaves may lie
 * only so far above or below the share of the last two seconds; fractions of requests are carried on, so that few
 * requests are dealt evenly too.
 */
import type { Timer } from "../time/timer.js";

export interface RegionShiftLimiter {
    /** Whether one more request may be sent to another region. */
    mayLeaveRegion(): boolean;
    /** Whether one more request may stay, or too many would come back at once. */
    mayStayInRegion(): boolean;
    /** A request was sent to a target. */
    recordSent(isLeaving: boolean): void;
}

export interface RegionShiftLimiterOptions {
    readonly timer: Timer;
    /** Largest change of the share between two windows of two seconds. */
    readonly maxFractionChange: () => number;
}

const windowMs = 2_000;
const slices = 8;
/**
 * Part of the bound by which a share may differ from the window before. A share that moves steadily by this moves by
 * twice as much from window to window.
 */
const usedChangeFraction = 0.45;
/** Share that may leave from the first request on, when nothing was sent in the window before. */
const initialFraction = 0.35;
/** Requests that may be made up for at once, after moments in which nothing elsewhere was free. */
const maxCarriedRequests = 2;

interface Slice {
    all: number;
    left: number;
}

export function createRegionShiftLimiter(options: RegionShiftLimiterOptions): RegionShiftLimiter {
    const { timer, maxFractionChange: most } = options;
    const sliceMs = windowMs / slices;
    const past: Slice[] = [];
    let current: Slice = { all: 0, left: 0 };
    let currentNumber = Math.floor(timer.now() / sliceMs);
    /** Requests that may leave, and that have to. */
    let mayLeave = 1;
    let mustLeave = 0;
    /** When the entry's requests began, after none for a window. */
    let begunAt = -Infinity;
    const roll = (): void => {
        const number = Math.floor(timer.now() / sliceMs);
        const steps = Math.min(number - currentNumber, 2 * slices);
        for (let step = 0; step < steps; step++) {
            past.push(current);
            current = { all: 0, left: 0 };
        }
        past.splice(0, Math.max(0, past.length - slices));
        currentNumber = number;
    };
    const sum = (part: readonly Slice[]): Slice =>
        part.reduce((total, slice) => ({ all: total.all + slice.all, left: total.left + slice.left }), { all: 0, left: 0 });
    const lastWindow = (): Slice => sum(past.slice(-slices));
    return {
        mayLeaveRegion: () => {
            roll();
            return mayLeave >= 1;
        },
        mayStayInRegion: () => {
            roll();
            return mustLeave < 1;
        },
        recordSent: isLeaving => {
            roll();
            const window = lastWindow();
            const share = window.all === 0 ? 0 : window.left / window.all;
            const gone = isLeaving ? 1 : 0;
            if (window.all + current.all === 0) {
                begunAt = timer.now();
            }
            const isFirstWindow = timer.now() - begunAt < windowMs;
            const highest = Math.max(share + usedChangeFraction * most(), isFirstWindow ? initialFraction : 0);
            mayLeave = Math.min(maxCarriedRequests, Math.max(0, mayLeave + highest - gone));
            mustLeave = Math.min(maxCarriedRequests, Math.max(0, mustLeave + share - usedChangeFraction * most() - gone));
            current.all++;
            current.left += gone;
        },
    };
}
