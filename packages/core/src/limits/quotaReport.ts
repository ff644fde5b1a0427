/**
 * What instances tell each other about the use of shared limits. Counts are those of the last window and replace earlier
 * ones, so that the next report makes up for a lost one. Keys and instances are named by 32-bit hashes.
 */
import type { DataCentreId } from "../ids.js";

/** Use of one key, as one instance or one data centre counts it. */
export interface KeyUse {
    /** Hash of the key. */
    readonly key: number;
    /** Requests admitted in the last window. */
    readonly count: number;
}

/** What an instance sends to the relay of its data centre. */
export interface InstanceReport {
    readonly kind: "instance";
    /** Increases with each report of the sender. */
    readonly sequence: number;
    /** Whether totals that include the sender's reports arrive at the sender. */
    readonly hasContact: boolean;
    readonly uses: readonly KeyUse[];
}

/** What a relay sends to the relays of the other data centres. */
export interface DataCentreReport {
    readonly kind: "dataCentre";
    readonly dataCentre: DataCentreId;
    /** Instances whose counts are included and that receive the totals. */
    readonly instanceCount: number;
    /** Instances that the sender knows to exist, also those that it can't reach. */
    readonly knownCount: number;
    /** Hashes of the relays that the sender receives reports from. */
    readonly heardRelays: readonly number[];
    /** Whether keys that are not named are unused; otherwise their counts have not changed. */
    readonly isComplete: boolean;
    readonly uses: readonly KeyUse[];
}

/** Use of one key over all data centres. */
export interface TotalUse extends KeyUse {
    /** Requests admitted by instances that were heard from in the last window, but not recently. */
    readonly silentCount: number;
}

/** The last report of an instance that a total includes. */
export interface IncludedReport {
    readonly instance: number;
    readonly sequence: number;
}

/** What a relay sends to the instances of its data centre. */
export interface TotalReport {
    readonly kind: "total";
    /** Instances in contact with each other, in all data centres. */
    readonly instanceCount: number;
    /** Instances known to exist, also those that can't be reached. */
    readonly knownCount: number;
    readonly included: readonly IncludedReport[];
    readonly uses: readonly TotalUse[];
}

export type QuotaReport = InstanceReport | DataCentreReport | TotalReport;
