/** Gauges that are read on each scrape. */
import type { Freshness } from "../store/replicaFreshness.js";
import type { MemoryUsage } from "./memoryUsage.js";
import type { SteerMetrics } from "./metrics.js";

export interface GaugeSources {
    /** Fraction of the time for which the event loop was busy lately, how late its timers were, and their calls so far. */
    readonly loopUtilization: () => number;
    readonly loopDelayMs: () => number;
    readonly timerCalls: () => number;
    /** Version of the active configuration; 0 before the first. */
    readonly documentVersion: () => number;
    /** Parts of the active configuration that can't be read. */
    readonly documentFaults: () => number;
    readonly inFlightRequests: () => number;
    readonly liveEntries: () => number;
    readonly targetConnections: () => number;
    /** Targets that want no requests at the moment, and targets that have said that they leave. */
    readonly pausedTargets: () => number;
    readonly leavingTargets: () => number;
    readonly meshSentBytes: () => number;
    readonly isStoreConnected: () => boolean;
    readonly freshness: () => Freshness;
    readonly waitingRequests: () => number;
    readonly memoryUsage: () => MemoryUsage;
    readonly heldBytes: () => HeldBytes;
    readonly cutResponses: () => number;
    readonly memoryRefusals: () => number;
    readonly droppedConnections: () => number;
    readonly callerConnections: () => number;
    readonly openDescriptors: () => number;
}

/** Bytes that the daemon counts itself. */
export interface HeldBytes {
    /** Request bodies, from their first byte until their requests have ended. */
    readonly requestBodyBytes: number;
    /** Responses of targets that are being received. */
    readonly receivedResponseBytes: number;
    /** Responses that their callers have not read whole. */
    readonly unreadResponseBytes: number;
}

export function registerGauges(metrics: SteerMetrics, sources: GaugeSources): void {
    metrics.registerGauge(
        "pimento_loop_utilization",
        "Part of the time for which the event loop was busy",
        sources.loopUtilization,
    );
    metrics.registerGauge(
        "pimento_loop_delay_seconds",
        "Lateness of the event loop's timers",
        () => sources.loopDelayMs() / 1_000,
    );
    metrics.registerGauge("pimento_timer_calls", "Calls of timers since the start", sources.timerCalls);
    metrics.registerGauge("pimento_document_version", "Version of the active configuration", sources.documentVersion);
    metrics.registerGauge(
        "pimento_document_faults",
        "Parts of the active configuration that can't be read",
        sources.documentFaults,
    );
    metrics.registerGauge("pimento_in_flight", "Requests in progress, without a final response yet", sources.inFlightRequests);
    metrics.registerGauge("pimento_entries_live", "Other entries that are considered live", sources.liveEntries);
    metrics.registerGauge("pimento_target_connections", "Open connections to targets", sources.targetConnections);
    metrics.registerGauge("pimento_targets_paused", "Targets that want no requests at the moment", sources.pausedTargets);
    metrics.registerGauge("pimento_targets_leaving", "Known targets that have said that they leave", sources.leavingTargets);
    metrics.registerGauge("pimento_mesh_sent_bytes", "Bytes of heartbeat datagrams sent to other entries", sources.meshSentBytes);
    metrics.registerGauge(
        "pimento_store_connected",
        "1 while the platform's store responds, otherwise 0",
        () => (sources.isStoreConnected() ? 1 : 0),
    );
    const { freshness } = sources;
    metrics.registerGauge("pimento_store_revision", "Revision of this entry's copy of the store", () => freshness().revision);
    metrics.registerGauge(
        "pimento_store_era",
        "Era of this entry's copy of the store; it rises each time the store comes back from an older copy",
        () => freshness().era,
    );
    metrics.registerGauge(
        "pimento_store_peer_revision",
        "Highest store revision heard of from other entries",
        () => Math.max(freshness().peerRevision, freshness().unknownPeerRevision),
    );
    metrics.registerGauge(
        "pimento_store_pending_seconds",
        "Age of the pending call for changes; 0 if none is pending",
        () => (freshness().pendingMs ?? 0) / 1_000,
    );
    metrics.registerGauge(
        "pimento_store_silent_seconds",
        "Time since the store's last response to any call of this entry; 0 before the first",
        () => (freshness().silentMs ?? 0) / 1_000,
    );
    metrics.registerGauge(
        "pimento_store_stale_seconds",
        "Time for which this entry's copy of the store has been stale; 0 if it is fresh",
        () => freshness().staleMs / 1_000,
    );
    metrics.registerGauge("pimento_waiting", "Requests queued for a slot", sources.waitingRequests);
    registerMemoryGauges(metrics, sources);
}

function registerMemoryGauges(metrics: SteerMetrics, { memoryUsage, heldBytes, ...sources }: GaugeSources): void {
    metrics.registerGauge("pimento_resident_bytes", "Resident size of the process", () => memoryUsage().residentBytes);
    metrics.registerGauge("pimento_heap_used_bytes", "Used part of the runtime's heap", () => memoryUsage().heapUsedBytes);
    metrics.registerGauge(
        "pimento_external_bytes",
        "Memory outside the heap, buffers included",
        () => memoryUsage().externalBytes,
    );
    metrics.registerGauge("pimento_buffer_bytes", "Memory of buffers", () => memoryUsage().bufferBytes);
    metrics.registerGauge(
        "pimento_request_body_bytes",
        "Request bodies, from their first byte until their requests have ended",
        () => heldBytes().requestBodyBytes,
    );
    metrics.registerGauge(
        "pimento_received_response_bytes",
        "Responses of targets that are being received",
        () => heldBytes().receivedResponseBytes,
    );
    metrics.registerGauge(
        "pimento_unread_response_bytes",
        "Responses that their callers have not read whole",
        () => heldBytes().unreadResponseBytes,
    );
    metrics.registerGauge("pimento_responses_cut", "Responses cut so far for lack of memory", sources.cutResponses);
    metrics.registerGauge("pimento_memory_refusals", "Requests refused so far for lack of memory", sources.memoryRefusals);
    metrics.registerGauge("pimento_caller_connections", "Open connections of callers", sources.callerConnections);
    metrics.registerGauge(
        "pimento_callers_dropped",
        "Connections of callers closed so far as there were too many",
        sources.droppedConnections,
    );
    metrics.registerGauge("pimento_open_descriptors", "Open file descriptors", sources.openDescriptors);
}
