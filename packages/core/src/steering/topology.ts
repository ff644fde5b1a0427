/** Distances between data centres and this entry, and which data centres it serves besides its own. */
import type { DataCentreId, InstanceId, RegionId } from "../ids.js";
import type { Locality } from "./locality.js";
import type { Members } from "./members.js";

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
            const live = members.liveMembers();
            if (dataCentre === self.dataCentre || live.some(member => member.record.dataCentre === dataCentre)) {
                return false;
            }
            const region = regionOf(dataCentre);
            return region === self.region || !live.some(member => member.record.region === region);
        },
        hasLowestIdInRegion: () =>
            !members.liveMembers().some(member => member.record.region === self.region && member.record.id < self.id),
    };
}
