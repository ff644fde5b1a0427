/** Keys and values of the items in the store of a simulated deployment. */
import { type DataCentreId, type TargetId, toDataCentreId, toRegionId, toServiceId, toTargetId } from "@pimentospring/core/ids";
import type { SteeringDocument } from "@pimentospring/core/steering/steeringDocument";
import type { StoreItemDecoder } from "../storeItems.js";

export const configurationKey = "config";
const targetPrefix = "target/";
const evacuationPrefix = "evacuation/";

export const targetKey = (id: TargetId): string => targetPrefix + id;
export const evacuationKey = (dataCentre: DataCentreId): string => evacuationPrefix + dataCentre;
export const formatTarget = (isDraining: boolean): string => (isDraining ? "draining" : "ready");
export const formatConfiguration = (version: number): string => String(version);

/** What a document holds besides its version. */
export const emptyDocument: Omit<SteeringDocument, "version"> = {
    routes: [],
    unreadableRoutes: [],
    services: [],
    workspaces: [],
    hasUnreadableKeys: false,
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    faults: [],
};

export const deploymentItemDecoder: StoreItemDecoder = {
    redact: (_key, value) => value,
    parseKey: key =>
        key === configurationKey
            ? { kind: "document" }
            : key.startsWith(targetPrefix)
            ? { kind: "target", id: toTargetId(key.slice(targetPrefix.length)) }
            : key.startsWith(evacuationPrefix)
            ? { kind: "evacuation", dataCentre: toDataCentreId(key.slice(evacuationPrefix.length)) }
            : { kind: "other" },
    decodeDocument: value => ({
        isValid: true,
        value: { ...emptyDocument, version: Number(value.toString()) },
    }),
    decodeTarget: (id, value) => ({
        isValid: true,
        value: {
            id,
            service: toServiceId("s"),
            address: id,
            dataCentre: toDataCentreId("dc-0"),
            region: toRegionId("r-0"),
            slots: 1,
            isDraining: value.toString() === "draining",
            coldMs: 0,
            startedAt: 1,
        },
    }),
};
