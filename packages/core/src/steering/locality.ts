/** Where something stands. */
import type { DataCentreId, RegionId } from "../ids.js";

export interface Locality {
    readonly dataCentre: DataCentreId;
    readonly region: RegionId;
}
