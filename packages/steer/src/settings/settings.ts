/** Settings of a steering daemon. A platform's adapter decodes them from the platform's settings file. */
import type { DataCentreId, RegionId } from "@pimentospring/core/ids";
import type { TransferPrices } from "@pimentospring/core/steering/targetSelector";

export interface SteerSettings {
    /** Name of the instance; it stays the same after a restart. */
    readonly name: string;
    readonly dataCentre: DataCentreId;
    readonly region: RegionId;
    /** Region of each data centre. */
    readonly regions: ReadonlyMap<DataCentreId, RegionId>;
    /** `host:port` for callers' requests. */
    readonly callers: string;
    /** `host:port` for heartbeat datagrams between entries. */
    readonly mesh: string;
    /** `host:port` of the control address, for operators and other entries. */
    readonly control: string;
    /** Control addresses (`host:port`) of entries to synchronise from while the store is unavailable. */
    readonly seeds: readonly string[];
    /** Retry budget of a service over a window, shared by all entries. */
    readonly repeats: { readonly ratio: number; readonly slack: number; readonly windowMs: number; };
    /** Limit on requests per second to a cold target: its declared rate times `overshoot`, plus `slack`. */
    readonly cold: { readonly overshoot: number; readonly slack: number; };
    /** Largest change, from one 2 s window to the next, of the share of a region's requests that run elsewhere. */
    readonly regionShift: number;
    /** When requests that need a key are refused for lack of contact: removed keys may be unknown to this entry. */
    readonly revocation: { readonly maxContactAgeMs: number; readonly isStrict: boolean; };
    /** Tolerance of the quotas of workspaces in any window: a share of the quota, and a number of requests. */
    readonly quota: { readonly windowMs: number; readonly overshoot: number; readonly slack: number; };
    /** Time from the stop request until the process is killed. */
    readonly stopGraceMs: number;
    /** Fraction of the time for which the event loop may be busy before it is logged. */
    readonly maxLoopUtilization: number;
    readonly prices: TransferPrices;
    readonly limits: ProcessLimits;
}

/** What the process may use; beyond it the platform ends it or refuses calls. Changes need a restart. */
export interface ProcessLimits {
    /** Resident size. */
    readonly memoryBytes: number;
    readonly fileDescriptors: number;
}

/** Cost of transferring a kilobyte, as a fraction of a request's value. */
export const defaultTransferPrices: TransferPrices = { dataCentre: 0.12, region: 0.045 };
