/** Turns the store's items into what the daemon believes: configuration, targets, emptied data centres, other entries. */
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
    /** Whether removals may be lapses during an outage of the store. */
    readonly hasStoreFailedRecently: () => boolean;
    /** This entry's own record is gone from the store. */
    readonly onRegistrationLost: () => void;
    /** A newer configuration comes into force. */
    readonly onDocumentAccepted: (document: SteeringDocument) => void;
}

export interface StoreProjection {
    apply(event: StoreEvent): void;
    /** Decodes again the items that name no target yet: changed settings may make sense of them. */
    retryUnknownTargets(items: readonly StoreItem[]): void;
    isEvacuated(dataCentre: DataCentreId): boolean;
}

export function createStoreProjection(options: StoreProjectionOptions): StoreProjection {
    const { timer, log, decoder, registry, members } = options;
    const evacuatedDataCentres = new Set<DataCentreId>();
    const removals = createDeferredRemovals({
        timer,
        hasStoreFailedRecently: options.hasStoreFailedRecently,
        remove: registry.remove,
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
        log.write(logEvents.inForce, { version, revision: item.revision, routes: decoded.value.routes.length });
    };
    const applyTarget = (id: TargetId, item: StoreItem): void => {
        const decoded = decoder.decodeTarget(id, item.value);
        if (!decoded.isValid) {
            // A record that can't be read names no target to use.
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
        const subject = parseStoreKey(item.key, decoder);
        switch (subject.kind) {
            case "document":
                applyDocument(item);
                break;
            case "target":
                applyTarget(subject.id, item);
                break;
            case "evacuation":
                evacuatedDataCentres.add(subject.dataCentre);
                log.write(logEvents.evacuation, { dataCentre: subject.dataCentre, isEvacuated: true, revision: item.revision });
                break;
            case "member":
                applyMember(subject.id, item);
                break;
            case "other":
                break;
        }
    };
    const applyRemoved = (key: string, revision: number): void => {
        const subject = parseStoreKey(key, decoder);
        switch (subject.kind) {
            case "document":
                // The configuration in force stays until there is a newer one.
                log.write(logEvents.itemRefused, {
                    key,
                    revision,
                    reason: "the configuration was removed; the one in force stays",
                });
                break;
            case "target":
                removals.schedule(subject.id);
                break;
            case "evacuation":
                evacuatedDataCentres.delete(subject.dataCentre);
                log.write(logEvents.evacuation, { dataCentre: subject.dataCentre, isEvacuated: false, revision });
                break;
            case "member":
                members.markUnregistered(subject.id);
                if (subject.id === options.self) {
                    options.onRegistrationLost();
                }
                break;
            case "other":
                break;
        }
    };
    return {
        apply: event => (event.kind === "written" ? applyWritten(event.item) : applyRemoved(event.key, event.revision)),
        retryUnknownTargets: items => {
            for (const item of items) {
                const subject = parseStoreKey(item.key, decoder);
                if (subject.kind === "target" && registry.find(subject.id) === undefined) {
                    applyTarget(subject.id, item);
                }
            }
        },
        isEvacuated: dataCentre => evacuatedDataCentres.has(dataCentre),
    };
}
