/** In-memory store whose calls tests can make fail. */
import { err, ok } from "true-myth/result";
import type { StoreChanges, StoreEvent, StoreFailure, StoreItem, StoreResult, StoreWrite } from "../store.js";
import type { StoreCalls } from "../storeCalls.js";

export interface FakeStore extends StoreCalls {
    readonly calls: string[];
    readonly writes: StoreWrite[];
    /** Error returned by every call while set. */
    failure: StoreFailure | undefined;
    /** Era that responses show. */
    currentEra: number;
    /** Revision before which the history is compacted. */
    compactedBefore: number;
    /** Leaves watch calls without a response from now on. */
    silence(): void;
    /** Responds to the watch calls left without a response. */
    speak(): void;
    put(key: string, value: string): void;
    remove(key: string): void;
    /** Expires all leases. */
    expireLeases(): void;
}

const itemsPerPage = 2;

export function createFakeStore(): FakeStore {
    let revision = 1;
    let lastLease = 0;
    const liveLeases = new Set<number>();
    const items = new Map<string, StoreItem>();
    const history: StoreEvent[] = [];
    const calls: string[] = [];
    const writes: StoreWrite[] = [];
    const revisionOf = (event: StoreEvent): number => (event.kind === "written" ? event.item.revision : event.revision);
    const respond = <Value>(name: string, value: () => Value): StoreResult<Value> => {
        calls.push(name);
        return Promise.resolve(store.failure === undefined ? ok(value()) : err(store.failure));
    };
    let silentCalls: (() => void)[] | undefined;
    const whenSpeaking = (): Promise<void> =>
        silentCalls === undefined ? Promise.resolve() : new Promise(resolve => silentCalls!.push(resolve));
    const store: FakeStore = {
        calls,
        writes,
        failure: undefined,
        currentEra: 0,
        compactedBefore: 0,
        put: (key, value) => {
            const item = { key, value: Buffer.from(value), revision: ++revision };
            items.set(key, item);
            history.push({ kind: "written", item });
        },
        remove: key => {
            items.delete(key);
            history.push({ kind: "removed", key, revision: ++revision });
        },
        silence: () => {
            silentCalls = [];
        },
        speak: () => {
            silentCalls?.forEach(resume => resume());
            silentCalls = undefined;
        },
        expireLeases: () => liveLeases.clear(),
        range: (prefix, after) =>
            respond("range", () => {
                const found = [...items.values()].filter(item => item.key.startsWith(prefix) && item.key > (after ?? ""));
                found.sort((a, b) => (a.key < b.key ? -1 : 1));
                return { items: found.slice(0, itemsPerPage), hasMore: found.length > itemsPerPage, revision };
            }),
        watch: (_prefix, after) => {
            if (after < store.compactedBefore) {
                calls.push("watch");
                return Promise.resolve(err<StoreChanges, StoreFailure>({ kind: "compacted", reason: "status 410" }));
            }
            return whenSpeaking().then(() =>
                respond("watch", () => ({ events: history.filter(event => revisionOf(event) > after), revision }))
            );
        },
        write: write => {
            const lease = write.puts[0]?.lease ?? 0;
            if (lease !== 0 && !liveLeases.has(lease)) {
                return Promise.resolve(err<number, StoreFailure>({ kind: "noLease", reason: "status 404" }));
            }
            return respond("write", () => {
                writes.push(write);
                write.puts.forEach(put => store.put(put.key, put.value.toString()));
                return revision;
            });
        },
        grantLease: () =>
            respond("grantLease", () => {
                liveLeases.add(++lastLease);
                return lastLease;
            }),
        renewLease: lease =>
            liveLeases.has(lease)
                ? respond("renewLease", () => {})
                : Promise.resolve(err<void, StoreFailure>({ kind: "noLease", reason: "status 404" })),
        revokeLease: lease => respond("revokeLease", () => void liveLeases.delete(lease)),
        era: () => store.currentEra,
        close: () => {},
        lastResponseAt: () => -Infinity,
    };
    return store;
}
