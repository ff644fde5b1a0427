/**
 * Planned shifts of traffic between regions. The cap of a shift is divided among the seats of the region that it moves
 * from, and each entry keeps to its own part, so the sum holds whoever is cut off from whom.
 */
import type { DocumentIndex } from "../document/documentIndex.js";
import { hashText } from "../hash/hash.js";
import { type RegionId, type RequestId, type ServiceId, toRegionId } from "../ids.js";
import { createTokenBucket, type TokenBucket } from "../policy/budget.js";
import type { Timer } from "../time/timer.js";

/** Requests that a shift may save up, as time at its rate, in milliseconds. */
const burstMs = 100;
const twoTo32 = 2 ** 32;

export interface Shifts {
    /** A new document is in force. */
    configure(index: DocumentIndex): void;
    /** Region to which the request is to be moved; undefined when it stays or the cap is used up. */
    resolveDestination(index: DocumentIndex, service: ServiceId, request: RequestId): RegionId | undefined;
    /**
     * Whether one more request of the service may go to a region for want of room here. While a shift leads there, all
     * that goes there counts against its cap: the caches there are cold for it.
     */
    tryTakeOverflow(index: DocumentIndex, service: ServiceId, to: RegionId): boolean;
}

export function createShifts(timer: Timer, ownRegion: () => RegionId | undefined): Shifts {
    const buckets = new Map<string, TokenBucket>();

    const configure = (index: DocumentIndex): void => {
        const region = ownRegion();
        const mine = index.accepted.document.shifts.filter(shift => shift.from === region);
        [...buckets.keys()].filter(id => !mine.some(shift => shift.id === id)).forEach(id => buckets.delete(id));
        for (const shift of mine) {
            const rate = shift.capPerSecond / Math.max(1, index.maxEntriesIn(toRegionId(shift.from)));
            const bucket = buckets.get(shift.id);
            if (bucket === undefined) {
                buckets.set(shift.id, createTokenBucket(timer, rate, burstMs));
            }
            else {
                bucket.setRate(rate);
            }
        }
    };
    const destination = (index: DocumentIndex, service: ServiceId, request: RequestId): RegionId | undefined => {
        const region = ownRegion();
        const shifts = region === undefined ? [] : index.shiftsFrom(service, region);
        if (shifts.length === 0) {
            return undefined;
        }
        let point = hashText(request) / twoTo32;
        const shift = shifts.find(candidate => {
            point -= candidate.share;
            return point < 0;
        });
        return shift !== undefined && buckets.get(shift.id)?.take(1) ? toRegionId(shift.to) : undefined;
    };
    const mayOverflow = (index: DocumentIndex, service: ServiceId, to: RegionId): boolean => {
        const region = ownRegion();
        const shift = region === undefined ? undefined : index.shiftsFrom(service, region).find(found => found.to === to);
        return shift === undefined || buckets.get(shift.id)!.take(1);
    };
    return { configure, resolveDestination: destination, tryTakeOverflow: mayOverflow };
}
