/**
 * Limits how fast an entry moves requests to other regions and back. The fraction of upcoming requests that leave the
 * region may differ only by a limited amount from the fraction of the last two seconds. Fractions of a request are
 * carried over, so that low request rates are distributed evenly too.
 */
import type { Timer } from "../time/timer.js";

export interface RegionShiftLimiter {
    /** Whether one more request may be sent to another region. */
    mayLeaveRegion(): boolean;
    /** Whether one more request may stay in the region; false if too many would return at once. */
    mayStayInRegion(): boolean;
    /** Records that a request was sent to a target. */
    recordSent(isLeaving: boolean): void;
}

export interface RegionShiftLimiterOptions {
    readonly timer: Timer;
    /** Maximum change of the fraction between two windows of two seconds. */
    readonly maxFractionChange: () => number;
}

const windowMs = 2_000;
const sliceCount = 8;
/**
 * Fraction of the limit by which the current fraction may differ from that of the previous window. A fraction that
 * changes steadily by this much changes by twice as much from window to window.
 */
const usedChangeFraction = 0.45;
/** Fraction that may leave from the first request on, if no requests were sent in the previous window. */
const initialFraction = 0.35;
/** Maximum number of requests carried over after periods in which no target in other regions was free. */
const maxCarriedRequests = 2;

interface Slice {
    all: number;
    leaving: number;
}

export function createRegionShiftLimiter(options: RegionShiftLimiterOptions): RegionShiftLimiter {
    const { timer, maxFractionChange } = options;
    const sliceMs = windowMs / sliceCount;
    const past: Slice[] = [];
    let current: Slice = { all: 0, leaving: 0 };
    let currentSliceIndex = Math.floor(timer.now() / sliceMs);
    /** Number of requests that may leave the region, and number that must leave it. */
    let leaveCredit = 1;
    let leaveDebt = 0;
    /** Start of the current run of requests, after a window without any. */
    let activeSince = -Infinity;
    const advance = (): void => {
        const sliceIndex = Math.floor(timer.now() / sliceMs);
        const steps = Math.min(sliceIndex - currentSliceIndex, 2 * sliceCount);
        for (let step = 0; step < steps; step++) {
            past.push(current);
            current = { all: 0, leaving: 0 };
        }
        past.splice(0, Math.max(0, past.length - sliceCount));
        currentSliceIndex = sliceIndex;
    };
    const sum = (part: readonly Slice[]): Slice =>
        part.reduce((total, slice) => ({ all: total.all + slice.all, leaving: total.leaving + slice.leaving }), {
            all: 0,
            leaving: 0,
        });
    const lastWindow = (): Slice => sum(past.slice(-sliceCount));
    return {
        mayLeaveRegion: () => {
            advance();
            return leaveCredit >= 1;
        },
        mayStayInRegion: () => {
            advance();
            return leaveDebt < 1;
        },
        recordSent: isLeaving => {
            advance();
            const window = lastWindow();
            const windowFraction = window.all === 0 ? 0 : window.leaving / window.all;
            const leaving = isLeaving ? 1 : 0;
            if (window.all + current.all === 0) {
                activeSince = timer.now();
            }
            const isFirstWindow = timer.now() - activeSince < windowMs;
            const maxLeavingFraction = Math.max(
                windowFraction + usedChangeFraction * maxFractionChange(),
                isFirstWindow ? initialFraction : 0,
            );
            leaveCredit = Math.min(maxCarriedRequests, Math.max(0, leaveCredit + maxLeavingFraction - leaving));
            leaveDebt = Math.min(
                maxCarriedRequests,
                Math.max(0, leaveDebt + windowFraction - usedChangeFraction * maxFractionChange() - leaving),
            );
            current.all++;
            current.leaving += leaving;
        },
    };
}
