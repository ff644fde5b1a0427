/** Selects the entries that a caller should use: those in its data centre, else in its region, else any. */
import type { DataCentreId, RegionId } from "../ids.js";
import type { MemberRecord } from "./members.js";

/** Maximum number of entries in one response. */
const maxEntries = 64;

/** `entries` are the live ones, including the entry that answers while it accepts requests. */
export function nearestEntries(
    entries: readonly MemberRecord[],
    region: RegionId | undefined,
    dataCentre: DataCentreId | undefined,
): readonly MemberRecord[] {
    const sameDataCentre = entries.filter(entry => entry.dataCentre === dataCentre);
    if (sameDataCentre.length > 0) {
        return sameDataCentre.slice(0, maxEntries);
    }
    const sameRegion = entries.filter(entry => entry.region === region);
    return (sameRegion.length > 0 ? sameRegion : entries).slice(0, maxEntries);
}
