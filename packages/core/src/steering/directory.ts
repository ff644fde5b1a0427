/** Tells callers which entries to use: those of their data centre, else of their region, else any. */
import type { DataCentreId, RegionId } from "../ids.js";
import type { MemberRecord } from "./members.js";

/** Most entries named in one answer. */
const maxEntries = 64;

/** `entries` are the live ones, the asked one included while it takes requests. */
export function nearestEntries(
    entries: readonly MemberRecord[],
    region: RegionId | undefined,
    dataCentre: DataCentreId | undefined,
): readonly MemberRecord[] {
    const near = entries.filter(entry => entry.dataCentre === dataCentre);
    if (near.length > 0) {
        return near.slice(0, maxEntries);
    }
    const sameRegion = entries.filter(entry => entry.region === region);
    return (sameRegion.length > 0 ? sameRegion : entries).slice(0, maxEntries);
}
