/**
 * Configured shifts of traffic between regions. The cap of a shift is divided by the maximum number of entries of the
 * source region, and each entry enforces its own part. The cap therefore also holds during a network partition.
 */
import type { DocumentIndex } from "../document/documentIndex.js";
import { hashText } from "../hash/hash.js";
import { type RegionId, type RequestId, type ServiceId, toRegionId } from "../ids.js";
import { createTokenBucket, type TokenBucket } from "../policy/budget.js";
import type { Timer } from "../time/timer.js";

/** Burst size of a shift's token bucket, as time at its rate. */
const burstMs = 100;
const twoTo32 = 2 ** 32;

export interface Shifts {
    /** Applies the shifts of a new document. */
    configure(index: DocumentIndex): void;
    /** Takes a token and returns the region to move the request to; undefined when it stays or the cap is used up. */
    resolveDestination(index: DocumentIndex, service: ServiceId, request: RequestId): RegionId | undefined;
    /**
     * Whether one more request of the service may overflow to a region. While a shift leads to that region, overflow
     * takes tokens from the cap of the shift as well, because the caches there are cold for this traffic.
     */
    tryTakeOverflow(index: DocumentIndex, service: ServiceId, to: RegionId): boolean;
}

export function createShifts(timer: Timer, ownRegion: () => RegionId | undefined): Shifts {
    const buckets = new Map<string, TokenBucket>();

    const configure = (index: DocumentIndex): void => {
        const region = ownRegion();
        const ownShifts = index.accepted.document.shifts.filter(shift => shift.from === region);
        [...buckets.keys()].filter(id => !ownShifts.some(shift => shift.id === id)).forEach(id => buckets.delete(id));
        for (const shift of ownShifts) {
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
    const resolveDestination = (index: DocumentIndex, service: ServiceId, request: RequestId): RegionId | undefined => {
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
    const tryTakeOverflow = (index: DocumentIndex, service: ServiceId, to: RegionId): boolean => {
        const region = ownRegion();
        const shift = region === undefined ? undefined : index.shiftsFrom(service, region).find(found => found.to === to);
        return shift === undefined || buckets.get(shift.id)!.take(1);
    };
    return { configure, resolveDestination, tryTakeOverflow };
}
