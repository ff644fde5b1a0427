/** Chooses the peer that gets a request which the own targets don't take. */
import type { DocumentIndex } from "../document/documentIndex.js";
import type { Service } from "../document/schema.js";
import type { DataCentreId, InstanceId, RegionId, ServiceId } from "../ids.js";
import type { Peer } from "../membership/peers.js";
import type { ReceivedGrants } from "./grants.js";

export interface PeerQuery {
    readonly index: DocumentIndex;
    readonly serviceId: ServiceId;
    readonly service: Service;
    /** Region that a shift moves the request to. */
    readonly shiftDestination: RegionId | undefined;
    /** Peers that refused it or broke. */
    readonly excludedPeers: readonly InstanceId[];
    /** Region whose peers don't come into question. */
    readonly excludedRegion?: RegionId | undefined;
}

export interface RouterOptions {
    readonly ownDataCentre: DataCentreId;
    readonly peers: () => readonly Peer[];
    readonly grants: ReceivedGrants;
}

/** Distance of a peer by what the document allows: lower is better, undefined is not allowed. */
function tierOf(wish: PeerQuery, own: DataCentreId, peer: Peer): number | undefined {
    const region = wish.index.regionOf(peer.dataCentre);
    if (region !== undefined && region === wish.excludedRegion) {
        return undefined;
    }
    if (region !== undefined && region === wish.shiftDestination) {
        return 0;
    }
    if (peer.dataCentre === own) {
        return 1;
    }
    if (region === wish.index.regionOf(own)) {
        return 2;
    }
    const place = wish.service.regions.indexOf(region ?? "");
    return place < 0 ? undefined : 3 + place;
}

/** The nearest peer with a grant, the most room first among equals; undefined when there is none. */
export function choosePeer(options: RouterOptions, wish: PeerQuery): Peer | undefined {
    let best: Peer | undefined;
    let bestTier = Infinity;
    let bestRoom = 0;
    for (const peer of options.peers()) {
        const room = peer.state === "alive" ? options.grants.availableSlots(wish.serviceId, peer.instance) : 0;
        const tier = room > 0 && !wish.excludedPeers.includes(peer.instance)
            ? tierOf(wish, options.ownDataCentre, peer)
            : undefined;
        if (tier !== undefined && (tier < bestTier || (tier === bestTier && room > bestRoom))) {
            best = peer;
            bestTier = tier;
            bestRoom = room;
        }
    }
    return best;
}
