/** Chooses the peer for a request that the local targets can't take. */
import type { DocumentIndex } from "../document/documentIndex.js";
import type { Service } from "../document/schema.js";
import type { DataCentreId, InstanceId, RegionId, ServiceId } from "../ids.js";
import type { Peer } from "../membership/peers.js";
import type { ReceivedGrants } from "./grants.js";

export interface PeerQuery {
    readonly index: DocumentIndex;
    readonly serviceId: ServiceId;
    readonly service: Service;
    /** Region that a traffic shift moves the request to. */
    readonly shiftDestination: RegionId | undefined;
    /** Peers that the request was sent to before. */
    readonly excludedPeers: readonly InstanceId[];
    /** Region whose peers are excluded. */
    readonly excludedRegion?: RegionId | undefined;
}

export interface RouterOptions {
    readonly ownDataCentre: DataCentreId;
    readonly peers: () => readonly Peer[];
    readonly grants: ReceivedGrants;
}

/** Preference tier of a peer: lower is better; undefined if the document does not allow the peer's region. */
function tierOf(query: PeerQuery, ownDataCentre: DataCentreId, peer: Peer): number | undefined {
    const region = query.index.regionOf(peer.dataCentre);
    if (region !== undefined && region === query.excludedRegion) {
        return undefined;
    }
    if (region !== undefined && region === query.shiftDestination) {
        return 0;
    }
    if (peer.dataCentre === ownDataCentre) {
        return 1;
    }
    if (region === query.index.regionOf(ownDataCentre)) {
        return 2;
    }
    const rank = query.service.regions.indexOf(region ?? "");
    return rank < 0 ? undefined : 3 + rank;
}

/** Returns the live peer with a grant in the best tier, and within it the one with the most available slots. */
export function choosePeer(options: RouterOptions, query: PeerQuery): Peer | undefined {
    let best: Peer | undefined;
    let bestTier = Infinity;
    let bestSlots = 0;
    for (const peer of options.peers()) {
        const slots = peer.state === "alive" ? options.grants.availableSlots(query.serviceId, peer.instance) : 0;
        const tier = slots > 0 && !query.excludedPeers.includes(peer.instance)
            ? tierOf(query, options.ownDataCentre, peer)
            : undefined;
        if (tier !== undefined && (tier < bestTier || (tier === bestTier && slots > bestSlots))) {
            best = peer;
            bestTier = tier;
            bestSlots = slots;
        }
    }
    return best;
}
