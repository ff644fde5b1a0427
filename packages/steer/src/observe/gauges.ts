/** Figures of the moment, read whenever the metrics are. */
import type { SteerMetrics } from "./metrics.js";

export interface GaugeSources {
    /** Version of the configuration in force; 0 before the first. */
    readonly documentVersion: () => number;
    readonly inFlightRequests: () => number;
    readonly liveEntries: () => number;
    readonly targetConnections: () => number;
    readonly meshSentBytes: () => number;
    readonly isStoreConnected: () => boolean;
    readonly waitingRequests: () => number;
}

export function registerGauges(metrics: SteerMetrics, sources: GaugeSources): void {
    metrics.registerGauge("pimento_document_version", "Version of the configuration in force", sources.documentVersion);
    metrics.registerGauge("pimento_in_flight", "Requests without a final answer", sources.inFlightRequests);
    metrics.registerGauge("pimento_entries_live", "Other entries that are taken to live", sources.liveEntries);
    metrics.registerGauge("pimento_target_connections", "Open connections to targets", sources.targetConnections);
    metrics.registerGauge("pimento_mesh_sent_bytes", "Bytes of datagrams sent to other entries", sources.meshSentBytes);
    metrics.registerGauge(
        "pimento_store_connected",
        "1 while the platform's store answers",
        () => (sources.isStoreConnected() ? 1 : 0),
    );
    metrics.registerGauge("pimento_waiting", "Requests that wait for a slot", sources.waitingRequests);
}
