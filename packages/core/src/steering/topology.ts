/** Distances between data centres and this entry, and which data centres it serves besides its own. */
import { hashText } from "../hash/hash.js";
import type { DataCentreId, InstanceId, RegionId } from "../ids.js";
import type { Locality } from "./locality.js";
import type { Member, Members } from "./members.js";

export interface Topology {
    /** Region of a data centre, if it is known. */
    regionOf(dataCentre: DataCentreId): RegionId | undefined;
    isOwnRegion(dataCentre: DataCentreId): boolean;
    /** Round trip to a data centre, in milliseconds. */
    roundTripMs(dataCentre: DataCentreId): number;
    /**
     * Whether this entry serves the data centre because it has no live entry: entries of the same region serve it, or
     * all entries when the region has none.
     */
    coversDataCentre(dataCentre: DataCentreId): boolean;
    /**
     * Rank of this entry among the live entries of its data centre, from 0, in an order that depends on the seed. Entries
     * that see the same members get different ranks.
     */
    rankInDataCentre(seed: number): number;
    /** Whether this entry has the lowest id of the live entries in its region. */
    hasLowestIdInRegion(): boolean;
}

export interface TopologyOptions {
    readonly self: Locality & { readonly id: InstanceId; };
    readonly regions: () => ReadonlyMap<DataCentreId, RegionId>;
    readonly members: Members;
}

/** Round trips, in milliseconds, that decide whether a response can arrive in time. */
export const roundTripsMs = { dataCentre: 1, region: 3, remote: 73 } as const;

export function createTopology(options: TopologyOptions): Topology {
    const { self, members } = options;
    const regionOf = (dataCentre: DataCentreId): RegionId | undefined => options.regions().get(dataCentre);
    const isOwnRegion = (dataCentre: DataCentreId): boolean => regionOf(dataCentre) === self.region;
    return {
        regionOf,
        isOwnRegion,
        roundTripMs: dataCentre => {
            if (dataCentre === self.dataCentre) {
                return roundTripsMs.dataCentre;
            }
            return isOwnRegion(dataCentre) ? roundTripsMs.region : roundTripsMs.remote;
        },
        coversDataCentre: dataCentre => {
            if (dataCentre === self.dataCentre || members.isDataCentreLive(dataCentre)) {
                return false;
            }
            const region = regionOf(dataCentre);
            return region === self.region || !members.liveMembers().some(member => member.record.region === region);
        },
        rankInDataCentre: seed => {
            const ownScore = hashText(self.id, seed);
            const isBefore = ({ record }: Member): boolean =>
                record.dataCentre === self.dataCentre && hashText(record.id, seed) < ownScore;
            return members.liveMembers().filter(isBefore).length;
        },
        hasLowestIdInRegion: () =>
            !members.liveMembers().some(member => member.record.region === self.region && member.record.id < self.id),
    };
}
