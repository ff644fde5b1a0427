/** Answers callers: which entries to use, in which order, and for how long to keep the answer. */
import { lookupLifetimeMs, maxLookupEntries } from "../constants.js";
import type { DocumentIndex } from "../document/documentIndex.js";
import { addressOf, type DataCentreId, type InstanceId, type RegionId } from "../ids.js";
import { rankByRendezvous } from "./rendezvous.js";

/** An entry as look-ups see it. */
export interface LookupEntry {
    readonly instance: InstanceId;
    readonly dataCentre: DataCentreId;
    readonly url: string;
    readonly isAnswering: boolean;
    readonly isLeaving: boolean;
}

export interface LookupAnswer {
    /** Data centre that the caller's block belongs to. */
    readonly dataCentre: DataCentreId;
    /** Whether a block names the caller; otherwise the answer is the answering entry's own data centre. */
    readonly isKnownCaller: boolean;
    /** Callers' URLs, best first. */
    readonly entries: readonly string[];
    /** Time for which the caller may keep the answer, in milliseconds. */
    readonly lifetimeMs: number;
    readonly revision: number;
}

export interface LookupOptions {
    readonly index: DocumentIndex;
    readonly ownDataCentre: DataCentreId;
    readonly entries: readonly LookupEntry[];
}

/** Creates a look-up over one revision and one set of entries; answers are kept by caller's data centre and bucket. */
export function createLookup(options: LookupOptions): (caller: number) => LookupAnswer {
    const { index, ownDataCentre } = options;
    const usable = options.entries.filter(entry => !entry.isLeaving && !index.leavingEntries.has(addressOf(entry.instance)));
    const answering = usable.filter(entry => entry.isAnswering);
    const offered = answering.length > 0 ? answering : options.entries;
    const answerCache = new Map<number, LookupAnswer>();

    const build = (dataCentre: DataCentreId, isKnownCaller: boolean, bucket: number): LookupAnswer => {
        const region = index.regionOf(dataCentre);
        const ranked = rankByRendezvous(`caller ${bucket}`, offered, entry => entry.instance);
        const tier = (entry: LookupEntry): number => tierOf(index, entry, dataCentre, region);
        ranked.sort((a, b) => tier(a) - tier(b));
        return {
            dataCentre,
            isKnownCaller,
            entries: ranked.slice(0, maxLookupEntries).map(entry => entry.url),
            lifetimeMs: lookupLifetimeMs,
            revision: index.accepted.revision,
        };
    };
    return caller => {
        const place = index.callerBlocks.find(caller);
        const bucket = (caller >>> callerBucketShift) % callerBuckets;
        const key = (place + 1) * callerBuckets + bucket;
        let answer = answerCache.get(key);
        if (answer === undefined) {
            answer = build(place < 0 ? ownDataCentre : index.blockDataCentres[place]!, place >= 0, bucket);
            answerCache.set(key, answer);
        }
        return answer;
    };
}

/** Callers of one /24 get the same answer; the buckets spread them over the entries. */
const callerBucketShift = 8;
const callerBuckets = 256;

function tierOf(index: DocumentIndex, entry: LookupEntry, dataCentre: DataCentreId, region: RegionId | undefined): number {
    if (entry.dataCentre === dataCentre) {
        return 0;
    }
    return index.regionOf(entry.dataCentre) === region ? 1 : 2;
}
