/**
 * Applies store events to the daemon's state: configuration, targets, evacuated data centres and members. What is in force does
 * not go back when the store comes back from an older copy: what the copy lacks stays until its owner has had the time to write
 * it again, and what was removed lately is not taken from the copy.
 */
import type { DataCentreId, InstanceId, TargetId } from "@pimentospring/core/ids";
import type { MemberRecord, Members } from "@pimentospring/core/steering/members";
import type { SteeringDocument } from "@pimentospring/core/steering/steeringDocument";
import type { TargetRecord } from "@pimentospring/core/steering/targetRecord";
import type { TargetRegistry } from "@pimentospring/core/steering/targetRegistry";
import type { Timer } from "@pimentospring/core/time/timer";
import type { Log } from "@pimentospring/runtime/logs/log";
import { logEvents } from "@pimentospring/runtime/logs/logEvents";
import { createDeferredRemovals } from "./deferredRemovals.js";
import { createDelayedChanges } from "./delayedChanges.js";
import { createRemovalRecord } from "./removalRecord.js";
import type { StoreEvent, StoreItem } from "./store.js";
import { decodeMember, parseStoreKey, type StoreItemDecoder } from "./storeItems.js";
import { eraOf, revisionFields } from "./storeRevision.js";

export interface StoreProjectionOptions {
    readonly timer: Timer;
    readonly log: Log;
    readonly decoder: StoreItemDecoder;
    readonly registry: TargetRegistry;
    readonly members: Members;
    readonly self: InstanceId;
    /** Time since the store's last failure, in milliseconds, if removed records may have expired in it. */
    readonly storeFailureAgeMs: () => number | undefined;
    /** Time since the store last failed this entry itself, whatever peers tell; `undefined` if it served the entry throughout. */
    readonly ownStoreFailureAgeMs: () => number | undefined;
    /** Who saw that failure: `own`, or the address of the peer that told of it. */
    readonly storeFailureSource: () => string;
    /** Revision up to which items may stem from an older copy of the store; 0 if it never came back from one. */
    readonly copyRevision: () => number;
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
const maxLoggedTargets = 20;
/** Time within which the entries that an older copy lacks register again: two renewals of a lease, and their way here. */
const memberReturnMs = 6_000;
/** Time within which the operator writes again what an older copy lacks. */
const operatorReturnMs = 10_000;

export function createStoreProjection(options: StoreProjectionOptions): StoreProjection {
    const { timer, log, decoder, registry, members } = options;
    const evacuatedDataCentres = new Set<DataCentreId>();
    const removals = createDeferredRemovals({
        timer,
        storeFailureAgeMs: options.storeFailureAgeMs,
        ownFailureAgeMs: options.ownStoreFailureAgeMs,
        targetCount: registry.count,
        isDraining: id => registry.find(id)?.record.isDraining === true,
        remove: id => removeTarget(id),
        isDispensable: id => isDispensable(registry, id),
        retire: id => {
            const target = registry.find(id);
            if (target !== undefined) {
                registry.retire(target);
            }
        },
        onDeferred: ({ ids, inUse, failureAgeMs }) =>
            log.write(logEvents.removalDeferred, {
                count: ids.length,
                inUse: inUse.length,
                targets: ids.slice(0, maxLoggedTargets),
                failureAgeMs,
                failureSource: failureAgeMs === undefined ? undefined : options.storeFailureSource(),
            }),
    });
    const delayed = createDelayedChanges(timer);
    const removed = createRemovalRecord(timer);
    let version = -Infinity;

    const isFromCopy = (revision: number): boolean => revision <= options.copyRevision();
    const logRefusal = (item: StoreItem, reason: string): void =>
        log.write(logEvents.itemRefused, { key: item.key, ...revisionFields(item.revision), reason });
    const targetName = (id: TargetId): string => `target ${id}`;
    const removeTarget = (id: TargetId): void => {
        const target = registry.find(id);
        if (target !== undefined) {
            removed.add(targetName(id), target.record.startedAt);
        }
        registry.remove(id);
    };
    const applyDocument = (item: StoreItem): void => {
        const decoded = decoder.decodeDocument(item.value);
        if (!decoded.isValid) {
            logRefusal(item, decoded.reason);
            return;
        }
        // After a return from an older copy, the copy or the operator brings the version in force once more.
        if (decoded.value.version === version && eraOf(item.revision) > 0) {
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
            ...revisionFields(item.revision),
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
            removeTarget(id);
            return;
        }
        if (!isFromCopy(item.revision)) {
            removed.delete(targetName(id));
        }
        else if (!isNewerThanKnown(decoded.value)) {
            return;
        }
        removals.cancel(id);
        registry.put(decoded.value);
    };
    /** Whether a record in an older copy is newer than what is known of its target. */
    const isNewerThanKnown = (record: TargetRecord): boolean => {
        const known = registry.find(record.id)?.record;
        if (removed.has(targetName(record.id), record.startedAt)) {
            return false;
        }
        return known === undefined || record.startedAt > known.startedAt
            || (record.startedAt === known.startedAt && record.isDraining && !known.isDraining);
    };
    const evacuationKey = (dataCentre: DataCentreId): string => `evacuation ${dataCentre}`;
    const setEvacuated = (dataCentre: DataCentreId, isEvacuated: boolean, revision: number): void => {
        delayed.cancel(evacuationKey(dataCentre));
        if (isEvacuated) {
            evacuatedDataCentres.add(dataCentre);
            removed.delete(evacuationKey(dataCentre));
        }
        else {
            evacuatedDataCentres.delete(dataCentre);
            removed.add(evacuationKey(dataCentre));
        }
        log.write(logEvents.evacuation, { dataCentre, isEvacuated, ...revisionFields(revision) });
    };
    /** The operator writes again what a copy lacks, or removes what it holds again; until then what was in force holds. */
    const applyEvacuation = (dataCentre: DataCentreId, isEvacuated: boolean, revision: number): void => {
        if (!isFromCopy(revision)) {
            setEvacuated(dataCentre, isEvacuated, revision);
            return;
        }
        if (evacuatedDataCentres.has(dataCentre) === isEvacuated) {
            delayed.cancel(evacuationKey(dataCentre));
        }
        else if (isEvacuated && !removed.has(evacuationKey(dataCentre))) {
            setEvacuated(dataCentre, true, revision);
        }
        else {
            delayed.schedule(
                evacuationKey(dataCentre),
                operatorReturnMs,
                () => setEvacuated(dataCentre, isEvacuated, revision),
            );
        }
    };
    const isAddressTaken = ({ id, mesh }: MemberRecord): boolean =>
        [...members.all()].some(({ record }) => record.mesh === mesh && record.id !== id);
    const applyMember = (id: InstanceId, item: StoreItem): void => {
        const decoded = decodeMember(id, item.value);
        if (!decoded.isValid) {
            logRefusal(item, decoded.reason);
            return;
        }
        delayed.cancel(item.key);
        if (!isFromCopy(item.revision)) {
            removed.delete(item.key);
        }
        else if (removed.has(item.key) || isAddressTaken(decoded.value)) {
            // An entry that has left since, or whose successor is known.
            return;
        }
        members.addRegistered(decoded.value);
    };
    const unregister = (id: InstanceId, key: string): void => {
        removed.add(key);
        members.markUnregistered(id);
    };
    const applyMemberRemoved = (id: InstanceId, key: string, revision: number): void => {
        if (id === options.self) {
            options.onRegistrationLost();
        }
        delayed.cancel(key);
        if (isFromCopy(revision)) {
            delayed.schedule(key, memberReturnMs, () => members.markUnregistered(id));
        }
        else {
            unregister(id, key);
        }
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
                applyEvacuation(storeKey.dataCentre, true, item.revision);
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
                    ...revisionFields(revision),
                    reason: "configuration removed from the store; the active version stays",
                });
                break;
            case "target":
                if (isFromCopy(revision)) {
                    removals.scheduleMissing(storeKey.id);
                }
                else {
                    removals.schedule(storeKey.id);
                }
                break;
            case "evacuation":
                applyEvacuation(storeKey.dataCentre, false, revision);
                break;
            case "member":
                applyMemberRemoved(storeKey.id, key, revision);
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

/** Fraction of a service's targets in a region that can do the work of all of them. */
const minRemainingFraction = 2 / 3;

/** Whether the service's targets that remain in use in the target's region can do its work. */
function isDispensable(registry: TargetRegistry, id: TargetId): boolean {
    const target = registry.find(id);
    if (target === undefined) {
        return true;
    }
    const { service, region } = target.record;
    const known = [...registry.all()].filter(({ record }) => record.service === service && record.region === region);
    const remaining = known.filter(other =>
        other !== target && !other.isRemoved && !other.isLeaving && !other.isSuspect && !other.record.isDraining
    );
    return remaining.length >= minRemainingFraction * known.length;
}
