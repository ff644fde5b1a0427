/** In-memory key-value store with revisions, transactions and watches, as the platform's service has them. */

export interface KeyValuePair {
    readonly key: string;
    readonly value: string;
    readonly createRevision: number;
    readonly modRevision: number;
    readonly version: number;
    /** Lease whose expiry deletes the pair; 0 if there is none. */
    readonly lease: number;
}

export interface KeyValueChange {
    readonly type: "PUT" | "DELETE";
    readonly pair: KeyValuePair;
}

export type WatchListener = (changes: readonly KeyValueChange[], revision: number) => void;

export interface KeyValueStore {
    revision(): number;
    /** Pairs with keys from `key` up to but excluding `end`; without `end`, the pair of `key`. */
    range(key: string, end: string | undefined): KeyValuePair[];
    /** Applies all writes as one revision. */
    commit(batch: readonly Write[]): void;
    watch(key: string, end: string | undefined, watcher: WatchListener): () => void;
    deleteLease(lease: number): void;
}

export type Write =
    | { readonly kind: "put"; readonly key: string; readonly value: string; readonly lease: number; }
    | { readonly kind: "delete"; readonly key: string; readonly end: string | undefined; };

interface Subscription {
    readonly key: string;
    readonly end: string | undefined;
    readonly watcher: WatchListener;
}

const isWithin = (name: string, key: string, end: string | undefined): boolean =>
    end === undefined ? name === key : name >= key && name < end;

export function createKeyValueStore(): KeyValueStore {
    const pairs = new Map<string, KeyValuePair>();
    const subscriptions = new Set<Subscription>();
    let revision = 1;

    const range = (key: string, end: string | undefined): KeyValuePair[] =>
        [...pairs.values()].filter(pair => isWithin(pair.key, key, end)).sort((a, b) => (a.key < b.key ? -1 : 1));
    const apply = (write: Write): KeyValueChange[] => {
        if (write.kind === "delete") {
            return range(write.key, write.end).map(pair => {
                pairs.delete(pair.key);
                return { type: "DELETE" as const, pair: { ...pair, modRevision: revision } };
            });
        }
        const old = pairs.get(write.key);
        const pair: KeyValuePair = {
            key: write.key,
            value: write.value,
            createRevision: old?.createRevision ?? revision,
            modRevision: revision,
            version: (old?.version ?? 0) + 1,
            lease: write.lease,
        };
        pairs.set(write.key, pair);
        return [{ type: "PUT", pair }];
    };
    const commit = (batch: readonly Write[]): void => {
        if (batch.length === 0) {
            return;
        }
        revision++;
        const changes = batch.flatMap(apply);
        for (const { key, end, watcher } of subscriptions) {
            const matching = changes.filter(change => isWithin(change.pair.key, key, end));
            if (matching.length > 0) {
                watcher(matching, revision);
            }
        }
    };
    return {
        revision: () => revision,
        range,
        commit,
        watch: (key, end, watcher) => {
            const subscription = { key, end, watcher };
            subscriptions.add(subscription);
            return () => subscriptions.delete(subscription);
        },
        deleteLease: lease => {
            const ended = [...pairs.values()].filter(pair => pair.lease === lease);
            commit(ended.map(pair => ({ kind: "delete", key: pair.key, end: undefined })));
        },
    };
}
