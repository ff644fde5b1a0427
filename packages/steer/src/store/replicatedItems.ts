/**
 * The store's items as this entry knows them, with recent changes for peers. Each key's revision only moves forward, so that a
 * late response never restores an older value. A new era of the store is taken over as a whole, from a snapshot.
 */
import type { Log } from "@pimentospring/runtime/logs/log";
import { logEvents } from "@pimentospring/runtime/logs/logEvents";
import type { StoreEvent, StoreItem } from "./store.js";
import { eraOf, revisionFields, revisionInEraOf } from "./storeRevision.js";

export interface ReplicatedItemsOptions {
    readonly log: Log;
    readonly onEvent: (event: StoreEvent) => void;
    /** Called after all events of a batch. */
    readonly onBatchApplied: () => void;
    /** Replaces secrets in a value before it is kept; values that hold none stay as they are. */
    readonly redact?: (key: string, value: Buffer) => Buffer;
    /** Called before the first snapshot of a new era replaces the items. */
    readonly onNewEra: () => void;
}

export interface ReplicatedItems {
    /** Current items and the revision that they reflect. */
    snapshot(): ItemsSnapshot;
    /** Changes after a revision, or a full snapshot if the kept history does not reach back that far. */
    updateSince(revision: number): ItemsUpdate;
    /** Applies events that are complete up to the revision. */
    applyChanges(events: readonly StoreEvent[], upTo: number): void;
    /** Makes the snapshot's items the current ones, except where a newer revision is known. */
    applySnapshot(snapshot: ItemsSnapshot): void;
    revision(): number;
    /**
     * Revision up to which items may stem from the older copy with which the current era began. What is newer, the store has
     * written since; 0 in era 0.
     */
    copyRevision(): number;
}

export interface ItemsSnapshot {
    readonly revision: number;
    readonly items: readonly StoreItem[];
}

/** What an entry that has reached some revision lacks. */
export type ItemsUpdate =
    | ({ readonly kind: "state"; } & ItemsSnapshot)
    | { readonly kind: "changes"; readonly revision: number; readonly events: readonly StoreEvent[]; };

/** Number of recent events kept for peers. */
const maxHistoryEvents = 1_000;

const revisionOf = (event: StoreEvent): number => (event.kind === "written" ? event.item.revision : event.revision);

export function createReplicatedItems(options: ReplicatedItemsOptions): ReplicatedItems {
    const { log } = options;
    const items = new Map<string, StoreItem>();
    /** Most recent events, complete after revision `historyStart`. */
    let history: StoreEvent[] = [];
    let historyStart = 0;
    /** Revision at which each removed key was removed, kept until the next snapshot. */
    const removalRevisions = new Map<string, number>();
    let revision = 0;
    let copyRevision = 0;

    /** An item that can't be applied must not keep those behind it from being applied. */
    const notify = (event: StoreEvent): void => {
        try {
            options.onEvent(event);
        }
        catch (error) {
            log.write(logEvents.fault, { reason: (error as Error).stack, ...revisionFields(revisionOf(event)) });
        }
    };
    const applyEvent = (event: StoreEvent): void => {
        if (event.kind === "written") {
            const { item } = event;
            if (item.revision > Math.max(items.get(item.key)?.revision ?? 0, removalRevisions.get(item.key) ?? 0)) {
                items.set(item.key, item);
                removalRevisions.delete(item.key);
                notify(event);
            }
        }
        else if (event.revision > (items.get(event.key)?.revision ?? 0)) {
            removalRevisions.set(event.key, event.revision);
            if (items.delete(event.key)) {
                notify(event);
            }
        }
    };
    const redactItem = (item: StoreItem): StoreItem =>
        options.redact === undefined ? item : { ...item, value: options.redact(item.key, item.value) };
    const redactEvent = (event: StoreEvent): StoreEvent =>
        event.kind === "written" ? { ...event, item: redactItem(event.item) } : event;
    /** Everything that the first snapshot of an era holds may stem from the copy. */
    const enterEra = (snapshot: ItemsSnapshot): void => {
        copyRevision = snapshot.revision;
        if (revision > 0) {
            options.onNewEra();
            const known = new Set(snapshot.items.map(({ key }) => key));
            const missingCount = [...items.keys()].filter(key => !known.has(key)).length;
            log.write(logEvents.storeCameBackOlder, {
                ...revisionFields(snapshot.revision),
                previousRevision: revisionInEraOf(revision),
                previousEra: eraOf(revision),
                missingCount,
            });
        }
    };
    return {
        snapshot: () => ({ revision, items: [...items.values()] }),
        updateSince: after =>
            after >= historyStart
                ? { kind: "changes", revision, events: history.filter(event => revisionOf(event) > after) }
                : { kind: "state", revision, items: [...items.values()] },
        applyChanges: (received, upTo) => {
            const events = received.map(redactEvent);
            events.forEach(applyEvent);
            history.push(...events);
            if (history.length > maxHistoryEvents) {
                const dropped = history.splice(0, history.length - maxHistoryEvents);
                historyStart = Math.max(historyStart, ...dropped.map(revisionOf));
            }
            revision = Math.max(revision, upTo);
            if (events.length > 0) {
                options.onBatchApplied();
            }
        },
        applySnapshot: snapshot => {
            if (eraOf(snapshot.revision) > eraOf(revision)) {
                enterEra(snapshot);
            }
            const keys = new Set(snapshot.items.map(item => item.key));
            for (const item of [...items.values()]) {
                if (!keys.has(item.key) && item.revision <= snapshot.revision) {
                    applyEvent({ kind: "removed", key: item.key, revision: snapshot.revision });
                }
            }
            snapshot.items.forEach(item => applyEvent({ kind: "written", item: redactItem(item) }));
            revision = Math.max(revision, snapshot.revision);
            removalRevisions.clear();
            history = [];
            historyStart = revision;
            options.onBatchApplied();
        },
        revision: () => revision,
        copyRevision: () => copyRevision,
    };
}
