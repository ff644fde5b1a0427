/**
 * Passes on the digests of a data centre's entries. Each entry sends its own to one of them, the relay, which sends those
 * of all in few datagrams, so that what an entry sends and receives doesn't grow with the number of entries.
 */
import { digestBytes, type PeerDigest } from "./digestCodec.js";

export interface DigestRelay {
    /** Keeps a digest until the next call of `takeGroups`. */
    add(digest: PeerDigest): void;
    /** Returns what was kept, in groups that each fit into a datagram, in the order of arrival. */
    takeGroups(): readonly (readonly PeerDigest[])[];
}

/** A datagram stays below the common MTU. */
const maxGroupBytes = 1_300;

export function createDigestRelay(): DigestRelay {
    let groups: PeerDigest[][] = [];
    let lastGroupBytes = 0;
    return {
        add: digest => {
            const bytes = digestBytes(digest);
            const lastGroup = groups.at(-1);
            if (lastGroup === undefined || lastGroupBytes + bytes > maxGroupBytes) {
                groups.push([digest]);
                lastGroupBytes = bytes;
                return;
            }
            lastGroup.push(digest);
            lastGroupBytes += bytes;
        },
        takeGroups: () => {
            const taken = groups;
            groups = [];
            return taken;
        },
    };
}
