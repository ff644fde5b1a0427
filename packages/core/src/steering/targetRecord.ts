/** What a target says of itself, or what the document says of it, in the product's terms. */
import {
    type DataCentreId,
    type RegionId,
    type ServiceId,
    type TargetId,
    type TargetIncarnationId,
    toTargetIncarnationId,
} from "../ids.js";

export interface TargetRecord {
    readonly id: TargetId;
    readonly service: ServiceId;
    /** `host:port`. Another target may have it later. */
    readonly address: string;
    readonly dataCentre: DataCentreId;
    readonly region: RegionId;
    readonly slots: number;
    readonly isDraining: boolean;
    /** How long it stays cold, counted from when the record was written; 0 when warm. */
    readonly coldMs: number;
    /** Unix milliseconds of its start: tells two runs under one id apart. */
    readonly startedAt: number;
}

/** A target's load as it reported it with an answer. */
export interface LoadReport {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
    /** How long work takes at this moment, as a factor of usual; 1 when it does not say. */
    readonly slowness: number;
}

/** Two starts under one id are two runs. */
export const targetIncarnationOf = (record: TargetRecord): TargetIncarnationId =>
    toTargetIncarnationId(`${record.id}@${record.startedAt}`);
