/** Data centre and region of an entry. */
import type { DataCentreId, RegionId } from "../ids.js";

export interface Locality {
    readonly dataCentre: DataCentreId;
    readonly region: RegionId;
}
