/** How far data centres are from an entry, and which of them it serves besides its own. */
import type { DataCentreId, InstanceId, RegionId } from "../ids.js";
import type { Members } from "./members.js";
import type { Place } from "./place.js";

export interface Reach {
    /** Region of a data centre, if it is known. */
    regionOf(dataCentre: DataCentreId): RegionId | undefined;
    isOwnRegion(dataCentre: DataCentreId): boolean;
    /** Round trip to a data centre, in milliseconds. */
    roundTripMs(dataCentre: DataCentreId): number;
    /** Whether no entry stands there, so that those of its region serve it, or all when the region has none. */
    isUnattended(dataCentre: DataCentreId): boolean;
    /** Whether this entry is the first by id of those of its region that live. */
    isFirstOfRegion(): boolean;
}

export interface ReachOptions {
    readonly self: Place & { readonly id: InstanceId; };
    readonly regions: () => ReadonlyMap<DataCentreId, RegionId>;
    readonly members: Members;
}

/** Round trips, in milliseconds, used to judge whether an answer can come in time. */
export const roundTrips = { dataCentre: 1, region: 3, far: 73 } as const;

export function createReach(options: ReachOptions): Reach {
    const { self, members } = options;
    const regionOf = (dataCentre: DataCentreId): RegionId | undefined => options.regions().get(dataCentre);
    const isOwnRegion = (dataCentre: DataCentreId): boolean => regionOf(dataCentre) === self.region;
    return {
        regionOf,
        isOwnRegion,
        roundTripMs: dataCentre => {
            if (dataCentre === self.dataCentre) {
                return roundTrips.dataCentre;
            }
            return isOwnRegion(dataCentre) ? roundTrips.region : roundTrips.far;
        },
        isUnattended: dataCentre => {
            const live = members.live();
            if (dataCentre === self.dataCentre || live.some(member => member.record.dataCentre === dataCentre)) {
                return false;
            }
            const region = regionOf(dataCentre);
            return region === self.region || !live.some(member => member.record.region === region);
        },
        isFirstOfRegion: () => !members.live().some(member => member.record.region === self.region && member.record.id < self.id),
    };
}
