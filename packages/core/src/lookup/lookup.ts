/** Look-up of entries for callers: which entries to use, in which order, and for how long the answer is valid. */
import { lookupLifetimeMs, maxLookupEntries } from "../constants.js";
import type { DocumentIndex } from "../document/documentIndex.js";
import { addressOf, type DataCentreId, type InstanceId, type RegionId } from "../ids.js";
import { rankByRendezvous } from "./rendezvous.js";

/** Properties of an entry that look-ups depend on. */
export interface LookupEntry {
    readonly instance: InstanceId;
    readonly dataCentre: DataCentreId;
    readonly url: string;
    readonly isAnswering: boolean;
    readonly isLeaving: boolean;
}

export interface LookupAnswer {
    /** Data centre of the caller's address block. */
    readonly dataCentre: DataCentreId;
    /** Whether an address block contains the caller; if not, `dataCentre` is that of the answering entry. */
    readonly isKnownCaller: boolean;
    /** URLs of entries, in order of preference. */
    readonly entries: readonly string[];
    /** Time for which the caller may cache the answer. */
    readonly lifetimeMs: number;
    readonly revision: number;
}

export interface LookupOptions {
    readonly index: DocumentIndex;
    readonly ownDataCentre: DataCentreId;
    readonly entries: readonly LookupEntry[];
}

/** Creates a look-up over one revision and one set of entries. Answers are cached by data centre and caller bucket. */
export function createLookup(options: LookupOptions): (caller: number) => LookupAnswer {
    const { index, ownDataCentre } = options;
    const notLeaving = options.entries.filter(entry => !entry.isLeaving && !index.leavingEntries.has(addressOf(entry.instance)));
    const answering = notLeaving.filter(entry => entry.isAnswering);
    const candidates = answering.length > 0 ? answering : options.entries;
    const answerCache = new Map<number, LookupAnswer>();

    const build = (dataCentre: DataCentreId, isKnownCaller: boolean, bucket: number): LookupAnswer => {
        const region = index.regionOf(dataCentre);
        const ranked = rankByRendezvous(`caller ${bucket}`, candidates, entry => entry.instance);
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
        const block = index.callerBlocks.find(caller);
        const bucket = (caller >>> callerBucketShift) % callerBuckets;
        const key = (block + 1) * callerBuckets + bucket;
        let answer = answerCache.get(key);
        if (answer === undefined) {
            answer = build(block < 0 ? ownDataCentre : index.blockDataCentres[block]!, block >= 0, bucket);
            answerCache.set(key, answer);
        }
        return answer;
    };
}

/** Callers of the same /24 block share a bucket and thus an answer; the buckets spread callers over the entries. */
const callerBucketShift = 8;
const callerBuckets = 256;

function tierOf(index: DocumentIndex, entry: LookupEntry, dataCentre: DataCentreId, region: RegionId | undefined): number {
    if (entry.dataCentre === dataCentre) {
        return 0;
    }
    return index.regionOf(entry.dataCentre) === region ? 1 : 2;
}
