/** Regions and delays between data centres, which are named `REGION-LETTER`. */
import { type RegionId, toRegionId } from "@pimentospring/core/ids";

/** One-way network delays. */
const oneWayDelaysMs = { sameDataCentre: 0.2, sameRegion: 0.9, remote: 35 } as const;

export const regionOf = (dataCentre: string): RegionId => toRegionId(dataCentre.split("-")[0]!);

export function oneWayDelayMs(from: string, to: string): number {
    if (from === to) {
        return oneWayDelaysMs.sameDataCentre;
    }
    return regionOf(from) === regionOf(to) ? oneWayDelaysMs.sameRegion : oneWayDelaysMs.remote;
}
