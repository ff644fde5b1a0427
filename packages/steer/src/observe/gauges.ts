/** Figures of the moment, read whenever the metrics are. */
import type { SteerMetrics } from "./metrics.js";

export interface GaugeSources {
    /** Version of the configuration in force; 0 before the first. */
    readonly version: () => number;
    readonly inFlight: () => number;
    readonly liveEntries: () => number;
    readonly targetConnections: () => number;
    readonly meshSentBytes: () => number;
    readonly isStoreAnswering: () => boolean;
    readonly waiting: () => number;
}

export function registerGauges(metrics: SteerMetrics, sources: GaugeSources): void {
    metrics.gauge("pimento_document_version", "Version of the configuration in force", sources.version);
    metrics.gauge("pimento_in_flight", "Requests without a final answer", sources.inFlight);
    metrics.gauge("pimento_entries_live", "Other entries that are taken to live", sources.liveEntries);
    metrics.gauge("pimento_target_connections", "Open connections to targets", sources.targetConnections);
    metrics.gauge("pimento_mesh_sent_bytes", "Bytes of datagrams sent to other entries", sources.meshSentBytes);
    metrics.gauge(
        "pimento_store_connected",
        "1 while the platform's store answers",
        () => (sources.isStoreAnswering() ? 1 : 0),
    );
    metrics.gauge("pimento_waiting", "Requests that wait for a slot", sources.waiting);
}
