/** Gauges that are read on each scrape. */
import type { SteerMetrics } from "./metrics.js";

export interface GaugeSources {
    /** Version of the active configuration; 0 before the first. */
    readonly documentVersion: () => number;
    /** Parts of the active configuration that can't be read. */
    readonly documentFaults: () => number;
    readonly inFlightRequests: () => number;
    readonly liveEntries: () => number;
    readonly targetConnections: () => number;
    readonly meshSentBytes: () => number;
    readonly isStoreConnected: () => boolean;
    readonly waitingRequests: () => number;
}

export function registerGauges(metrics: SteerMetrics, sources: GaugeSources): void {
    metrics.registerGauge("pimento_document_version", "Version of the active configuration", sources.documentVersion);
    metrics.registerGauge(
        "pimento_document_faults",
        "Parts of the active configuration that can't be read",
        sources.documentFaults,
    );
    metrics.registerGauge("pimento_in_flight", "Requests in progress, without a final response yet", sources.inFlightRequests);
    metrics.registerGauge("pimento_entries_live", "Other entries that are considered live", sources.liveEntries);
    metrics.registerGauge("pimento_target_connections", "Open connections to targets", sources.targetConnections);
    metrics.registerGauge("pimento_mesh_sent_bytes", "Bytes of heartbeat datagrams sent to other entries", sources.meshSentBytes);
    metrics.registerGauge(
        "pimento_store_connected",
        "1 while the platform's store responds, otherwise 0",
        () => (sources.isStoreConnected() ? 1 : 0),
    );
    metrics.registerGauge("pimento_waiting", "Requests queued for a slot", sources.waitingRequests);
}
