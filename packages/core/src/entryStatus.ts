/** Status of an entry for operators, served as JSON by `GET /v1/status`. */
import type { TargetStatus } from "./admission/targetPool.js";
import type { DataCentreId, InstanceId, ServiceId } from "./ids.js";
import type { LookupEntry } from "./lookup/lookup.js";
import type { Peer } from "./membership/peers.js";
import type { ServiceRuntime } from "./requests/serviceRuntime.js";

export interface EntryStatus {
    readonly instance: InstanceId;
    readonly url: string;
    readonly dataCentre: DataCentreId;
    readonly revision: number;
    readonly configuration: string;
    readonly isLeaving: boolean;
    readonly isAgreed: boolean;
    readonly members: readonly InstanceId[];
    readonly peers: readonly PeerStatus[];
    readonly services: readonly ServiceStatus[];
    readonly inFlight: number;
    readonly spentTickets: number;
}

export interface PeerStatus {
    readonly instance: InstanceId;
    readonly url: string;
    readonly dataCentre: DataCentreId;
    readonly state: string;
    readonly revision: number;
    readonly roundTripMs: number;
}

export interface ServiceStatus {
    readonly service: ServiceId;
    readonly capacity: number;
    readonly inFlight: number;
    readonly queued: number;
    readonly targets: readonly TargetStatus[];
}

export const toLookupEntry = ({ instance, dataCentre, url, state }: Peer): LookupEntry => ({
    instance,
    dataCentre,
    url,
    isAnswering: state === "alive",
    isLeaving: state === "leaving",
});

export function toPeerStatus(peer: Peer): PeerStatus {
    return {
        instance: peer.instance,
        url: peer.url,
        dataCentre: peer.dataCentre,
        state: peer.state,
        revision: peer.revision,
        roundTripMs: peer.roundTripMs,
    };
}

export function toServiceStatus(runtime: ServiceRuntime): ServiceStatus {
    return {
        service: runtime.id,
        capacity: runtime.pool.capacity(),
        inFlight: runtime.pool.inFlight(),
        queued: runtime.queue.total(),
        targets: runtime.pool.status(),
    };
}
