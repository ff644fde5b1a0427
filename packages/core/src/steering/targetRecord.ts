/** Description of a target, from the target itself or from the configuration document, in the product's terms. */
import {
    type DataCentreId,
    type RegionId,
    type ServiceId,
    type TargetId,
    type TargetIncarnationId,
    toTargetId,
    toTargetIncarnationId,
} from "../ids.js";

export interface TargetRecord {
    readonly id: TargetId;
    readonly service: ServiceId;
    /** `host:port`; may be reused by another target later. */
    readonly address: string;
    readonly dataCentre: DataCentreId;
    readonly region: RegionId;
    readonly slots: number;
    readonly isDraining: boolean;
    /** Duration of its cold start, counted from when the record was written; 0 when it is warm. */
    readonly coldMs: number;
    /** Start time in Unix milliseconds; distinguishes two incarnations with the same id. */
    readonly startedAt: number;
}

/** Load that a target reported with a response. */
export interface LoadReport {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
    /** Factor by which work currently takes longer than usual; 1 if the target does not report it. */
    readonly slowness: number;
}

/** What a target says of its own availability in a response. */
export interface TargetNotice {
    /** It leaves: running work ends, and nothing new may be sent. */
    readonly isLeaving: boolean;
    /** It wants no requests for this long. */
    readonly pauseMs: number | undefined;
}

export const noNotice: TargetNotice = { isLeaving: false, pauseMs: undefined };

/** Identifies one incarnation of a target: each start under the same id is a new one. */
export const targetIncarnationOf = (record: TargetRecord): TargetIncarnationId =>
    toTargetIncarnationId(`${record.id}@${record.startedAt}`);

export const targetOfIncarnation = (incarnation: TargetIncarnationId): TargetId =>
    toTargetId(incarnation.slice(0, incarnation.lastIndexOf("@")));
