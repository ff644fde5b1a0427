/** What a steering daemon is told at its start. Adapters fill it from the platform's own file. */
import type { DataCentreId, RegionId } from "@pimentospring/core/ids";
import type { TransferPrices } from "@pimentospring/core/steering/targetSelector";

export interface SteerSettings {
    /** Names the machine; a restart keeps it. */
    readonly name: string;
    readonly dataCentre: DataCentreId;
    readonly region: RegionId;
    /** Region of each data centre. */
    readonly regions: ReadonlyMap<DataCentreId, RegionId>;
    /** `host:port` for callers. */
    readonly callers: string;
    /** `host:port` for datagrams between entries. */
    readonly mesh: string;
    /** `host:port` for what entries ask of each other. */
    readonly control: string;
    /** `host:port` at which other entries may be asked for what they know while the store does not answer. */
    readonly seeds: readonly string[];
    /** Repeats that all entries may send to a service's targets in a window. */
    readonly repeats: { readonly ratio: number; readonly slack: number; readonly windowMs: number; };
    /** Requests a second that reach a cold target: its own figure times `overshoot`, plus `slack`. */
    readonly cold: { readonly overshoot: number; readonly slack: number; };
    /** Largest change of the share of a region's requests that run elsewhere, between two windows of 2 s. */
    readonly regionShift: number;
    /** Time from the order to stop until the process is ended by force. */
    readonly stopGraceMs: number;
    readonly prices: TransferPrices;
}

/** Prices of a kilobyte as a share of a request's worth. */
export const defaultBytePrices: TransferPrices = { dataCentre: 0.12, region: 0.045 };
