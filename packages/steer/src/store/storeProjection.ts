/** Applies store events to the daemon's state: configuration, targets, evacuated data centres and members. */
import type { DataCentreId, InstanceId, TargetId } from "@pimentospring/core/ids";
import type { Members } from "@pimentospring/core/steering/members";
import type { SteeringDocument } from "@pimentospring/core/steering/steeringDocument";
import type { TargetRegistry } from "@pimentospring/core/steering/targetRegistry";
import type { Timer } from "@pimentospring/core/time/timer";
import type { Log } from "@pimentospring/runtime/logs/log";
import { logEvents } from "@pimentospring/runtime/logs/logEvents";
import { createDeferredRemovals } from "./deferredRemovals.js";
import type { StoreEvent, StoreItem } from "./store.js";
import { decodeMember, parseStoreKey, type StoreItemDecoder } from "./storeItems.js";

export interface StoreProjectionOptions {
    readonly timer: Timer;
    readonly log: Log;
    readonly decoder: StoreItemDecoder;
    readonly registry: TargetRegistry;
    readonly members: Members;
    readonly self: InstanceId;
    /** Time since the store's last failure, in milliseconds, if removed records may have expired in it. */
    readonly storeFailureAgeMs: () => number | undefined;
    /** Called when this entry's own record was removed from the store. */
    readonly onRegistrationLost: () => void;
    /** Called with each newer configuration. */
    readonly onDocumentAccepted: (document: SteeringDocument) => void;
}

export interface StoreProjection {
    apply(event: StoreEvent): void;
    /** Called after all events of a batch. */
    onBatchApplied(): void;
    /** Decodes items of unknown targets again; changed settings may have made them valid. */
    retryUnknownTargets(items: readonly StoreItem[]): void;
    isEvacuated(dataCentre: DataCentreId): boolean;
}

/** Faults logged of one document; the rest are counted and shown in the entry's status. */
const maxLoggedFaults = 20;

export function createStoreProjection(options: StoreProjectionOptions): StoreProjection {
    const { timer, log, decoder, registry, members } = options;
    const evacuatedDataCentres = new Set<DataCentreId>();
    const removals = createDeferredRemovals({
        timer,
        storeFailureAgeMs: options.storeFailureAgeMs,
        targetCount: registry.count,
        isDraining: id => registry.find(id)?.record.isDraining === true,
        remove: registry.remove,
        onDeferred: (count, failureAgeMs) => log.write(logEvents.removalDeferred, { count, failureAgeMs }),
    });
    let version = -Infinity;

    const logRefusal = (item: StoreItem, reason: string): void =>
        log.write(logEvents.itemRefused, { key: item.key, revision: item.revision, reason });
    const applyDocument = (item: StoreItem): void => {
        const decoded = decoder.decodeDocument(item.value);
        if (!decoded.isValid) {
            logRefusal(item, decoded.reason);
            return;
        }
        if (decoded.value.version <= version) {
            logRefusal(item, `version ${decoded.value.version} is not newer than ${version}`);
            return;
        }
        version = decoded.value.version;
        options.onDocumentAccepted(decoded.value);
        const { routes, workspaces, faults } = decoded.value;
        log.write(logEvents.inForce, {
            version,
            revision: item.revision,
            routes: routes.length,
            workspaces: workspaces.length === 0 ? undefined : workspaces.length,
            faults: faults.length,
        });
        faults.slice(0, maxLoggedFaults).forEach(fault => log.write(logEvents.documentFault, { version, ...fault }));
    };
    const applyTarget = (id: TargetId, item: StoreItem): void => {
        const decoded = decoder.decodeTarget(id, item.value);
        if (!decoded.isValid) {
            // A target whose record is malformed must not be used.
            logRefusal(item, decoded.reason);
            registry.remove(id);
            return;
        }
        removals.cancel(id);
        registry.put(decoded.value);
    };
    const applyMember = (id: InstanceId, item: StoreItem): void => {
        const decoded = decodeMember(id, item.value);
        if (!decoded.isValid) {
            logRefusal(item, decoded.reason);
            return;
        }
        members.addRegistered(decoded.value);
    };
    const applyWritten = (item: StoreItem): void => {
        const storeKey = parseStoreKey(item.key, decoder);
        switch (storeKey.kind) {
            case "document":
                applyDocument(item);
                break;
            case "target":
                applyTarget(storeKey.id, item);
                break;
            case "evacuation":
                evacuatedDataCentres.add(storeKey.dataCentre);
                log.write(logEvents.evacuation, { dataCentre: storeKey.dataCentre, isEvacuated: true, revision: item.revision });
                break;
            case "member":
                applyMember(storeKey.id, item);
                break;
            case "other":
                break;
        }
    };
    const applyRemoved = (key: string, revision: number): void => {
        const storeKey = parseStoreKey(key, decoder);
        switch (storeKey.kind) {
            case "document":
                // The active configuration stays until a newer one is accepted.
                log.write(logEvents.itemRefused, {
                    key,
                    revision,
                    reason: "configuration removed from the store; the active version stays",
                });
                break;
            case "target":
                removals.schedule(storeKey.id);
                break;
            case "evacuation":
                evacuatedDataCentres.delete(storeKey.dataCentre);
                log.write(logEvents.evacuation, { dataCentre: storeKey.dataCentre, isEvacuated: false, revision });
                break;
            case "member":
                members.markUnregistered(storeKey.id);
                if (storeKey.id === options.self) {
                    options.onRegistrationLost();
                }
                break;
            case "other":
                break;
        }
    };
    return {
        apply: event => (event.kind === "written" ? applyWritten(event.item) : applyRemoved(event.key, event.revision)),
        onBatchApplied: removals.decide,
        retryUnknownTargets: items => {
            for (const item of items) {
                const storeKey = parseStoreKey(item.key, decoder);
                if (storeKey.kind === "target" && registry.find(storeKey.id) === undefined) {
                    applyTarget(storeKey.id, item);
                }
            }
        },
        isEvacuated: dataCentre => evacuatedDataCentres.has(dataCentre),
    };
}
