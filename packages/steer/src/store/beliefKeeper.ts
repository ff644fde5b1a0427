/** Turns the store's items into what the daemon believes: configuration, targets, emptied data centres, other entries. */
import type { DataCentreId, InstanceId, TargetId } from "@pimentospring/core/ids";
import type { Members } from "@pimentospring/core/steering/members";
import type { SteeringDocument } from "@pimentospring/core/steering/steeringDocument";
import type { TargetRegistry } from "@pimentospring/core/steering/targetRegistry";
import type { Timer } from "@pimentospring/core/time/timer";
import type { Log } from "@pimentospring/runtime/logs/log";
import { logEvents } from "@pimentospring/runtime/logs/logEvents";
import { decodeMember, type Decoder, subjectOf } from "./beliefs.js";
import { createRemovals } from "./removals.js";
import type { StoreEvent, StoreItem } from "./store.js";

export interface BeliefKeeperOptions {
    readonly timer: Timer;
    readonly log: Log;
    readonly decoder: Decoder;
    readonly registry: TargetRegistry;
    readonly members: Members;
    readonly self: InstanceId;
    /** Whether removals may be lapses during an outage of the store. */
    readonly isUnsettled: () => boolean;
    /** This entry's own record is gone from the store. */
    readonly lostRegistration: () => void;
    /** A newer configuration comes into force. */
    readonly accepted: (document: SteeringDocument) => void;
}

export interface BeliefKeeper {
    changed(event: StoreEvent): void;
    /** Decodes again the items that name no target yet: changed settings may make sense of them. */
    retry(items: readonly StoreItem[]): void;
    isEvacuated(dataCentre: DataCentreId): boolean;
}

export function createBeliefKeeper(options: BeliefKeeperOptions): BeliefKeeper {
    const { timer, log, decoder, registry, members } = options;
    const evacuated = new Set<DataCentreId>();
    const removals = createRemovals({ timer, isUnsettled: options.isUnsettled, remove: registry.remove });
    let version = -Infinity;

    const refused = (item: StoreItem, reason: string): void =>
        log.write(logEvents.itemRefused, { key: item.key, revision: item.revision, reason });
    const takeDocument = (item: StoreItem): void => {
        const decoded = decoder.document(item.value);
        if (!decoded.isValid) {
            refused(item, decoded.reason);
            return;
        }
        if (decoded.value.version <= version) {
            refused(item, `version ${decoded.value.version} is not newer than ${version}`);
            return;
        }
        version = decoded.value.version;
        options.accepted(decoded.value);
        log.write(logEvents.inForce, { version, revision: item.revision, routes: decoded.value.routes.length });
    };
    const takeTarget = (id: TargetId, item: StoreItem): void => {
        const decoded = decoder.target(id, item.value);
        if (!decoded.isValid) {
            // A record that can't be read names no target to use.
            refused(item, decoded.reason);
            registry.remove(id);
            return;
        }
        removals.written(id);
        registry.put(decoded.value);
    };
    const takeMember = (id: InstanceId, item: StoreItem): void => {
        const decoded = decodeMember(id, item.value);
        if (!decoded.isValid) {
            refused(item, decoded.reason);
            return;
        }
        members.addRegistered(decoded.value);
    };
    const written = (item: StoreItem): void => {
        const subject = subjectOf(item.key, decoder);
        switch (subject.kind) {
            case "document":
                takeDocument(item);
                break;
            case "target":
                takeTarget(subject.id, item);
                break;
            case "evacuation":
                evacuated.add(subject.dataCentre);
                log.write(logEvents.evacuation, { dataCentre: subject.dataCentre, isEvacuated: true, revision: item.revision });
                break;
            case "member":
                takeMember(subject.id, item);
                break;
            case "other":
                break;
        }
    };
    const removed = (key: string, revision: number): void => {
        const subject = subjectOf(key, decoder);
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
                removals.removed(subject.id);
                break;
            case "evacuation":
                evacuated.delete(subject.dataCentre);
                log.write(logEvents.evacuation, { dataCentre: subject.dataCentre, isEvacuated: false, revision });
                break;
            case "member":
                members.markUnregistered(subject.id);
                if (subject.id === options.self) {
                    options.lostRegistration();
                }
                break;
            case "other":
                break;
        }
    };
    return {
        changed: event => (event.kind === "written" ? written(event.item) : removed(event.key, event.revision)),
        retry: items => {
            for (const item of items) {
                const subject = subjectOf(item.key, decoder);
                if (subject.kind === "target" && registry.find(subject.id) === undefined) {
                    takeTarget(subject.id, item);
                }
            }
        },
        isEvacuated: dataCentre => evacuated.has(dataCentre),
    };
}
