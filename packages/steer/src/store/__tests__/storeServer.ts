/**
 * A store under virtual time that can fail for some of its clients, and come back from an older copy: calls take time, and
 * unanswered ones never end.
 */
import type { Timer } from "@pimentospring/core/time/timer";
import { err, ok, type Result } from "true-myth/result";
import type { Store, StoreChanges, StoreEvent, StoreFailure, StoreItem, StoreResult } from "../store.js";
import { memberPrefix } from "../storeItems.js";
import { eraOf, revisionInEraOf, toStoreRevision } from "../storeRevision.js";

/** How the store treats calls: `silent` drops them, `reset` breaks their connection, `busy` refuses them. */
export type StoreMode = "up" | "silent" | "reset" | "busy" | "slow";

export interface StoreServerOptions {
    readonly timer: Timer;
    /** One-way delay between a client and the store. */
    readonly delayMs: (client: number) => number;
}

export interface StoreCall {
    readonly at: number;
    readonly client: number;
    readonly name: string;
}

export interface StoreServer {
    /** Calls that reached the store or were dropped, in order. */
    readonly calls: StoreCall[];
    clientOf(client: number): Store;
    /** Sets how calls of a client are treated. Silence, or a reset, also ends its pending watches. */
    setMode(client: number, mode: StoreMode): void;
    put(key: string, value: string): void;
    remove(key: string): void;
    /**
     * Returns a function that makes the store come back as it is now, in a new era. Pending watches break, or get a 410 if the
     * return is `quiet`.
     */
    copy(): (way?: "quiet") => void;
    /** Members' records in the store. */
    memberCount(): number;
    /** Drops what a stopped client waits for. */
    disconnect(client: number): void;
    /** Times at which clients got a response. */
    readonly responseTimes: { readonly at: number; readonly client: number; }[];
}

interface PendingWatch {
    readonly client: number;
    readonly after: number;
    readonly respond: () => void;
    readonly drop: (isReset: boolean) => void;
    readonly refuse: () => void;
}

const serviceMs = 4;
const slowServiceMs = 200;
const busyFailure: StoreFailure = { kind: "refused", reason: "status 503" };
const compactedFailure: StoreFailure = { kind: "compacted", reason: "status 410" };
const resetFailure: StoreFailure = { kind: "unknown", reason: "connection reset" };

export function createStoreServer({ timer, delayMs }: StoreServerOptions): StoreServer {
    let era = 0;
    /** As this store counts; responses show it together with the era. */
    let revision = 1;
    let lastLease = 0;
    let liveLeases = new Set<number>();
    let items = new Map<string, StoreItem>();
    let history: StoreEvent[] = [];
    const shownEras = new Map<number, number>();
    const shownItem = (item: StoreItem): StoreItem => ({ ...item, revision: toStoreRevision(era, item.revision) });
    const shownEvent = (event: StoreEvent): StoreEvent =>
        event.kind === "written"
            ? { kind: "written", item: shownItem(event.item) }
            : { ...event, revision: toStoreRevision(era, event.revision) };
    const shownRevision = (): number => toStoreRevision(era, revision);
    const modes = new Map<number, StoreMode>();
    const calls: StoreCall[] = [];
    const responseTimes: { at: number; client: number; }[] = [];
    const watches = new Set<PendingWatch>();
    const modeOf = (client: number): StoreMode => modes.get(client) ?? "up";
    const revisionOf = (event: StoreEvent): number => (event.kind === "written" ? event.item.revision : event.revision);
    const eventsAfter = (after: number): StoreEvent[] => history.filter(event => revisionOf(event) > after).map(shownEvent);
    const wakeWatches = (): void => {
        for (const watch of [...watches]) {
            if (watch.after < revision) {
                watch.respond();
            }
        }
    };
    const leasedKeys = new Map<string, number>();
    const putItem = (key: string, value: string): void => {
        const item = { key, value: Buffer.from(value), revision: ++revision };
        items.set(key, item);
        history.push({ kind: "written", item });
        wakeWatches();
    };
    const remove = (key: string): void => {
        if (items.delete(key)) {
            history.push({ kind: "removed", key, revision: ++revision });
            wakeWatches();
        }
    };
    const shownEra = (client: number): number => shownEras.get(client) ?? 0;
    /** Carries out a call after its way to the store; `serve` responds at once or later. */
    const call = <Value>(
        client: number,
        name: string,
        signal: AbortSignal,
        serve: (respond: (result: Result<Value, StoreFailure>) => void) => void,
    ): StoreResult<Value> =>
        new Promise(resolve => {
            const abort = (): void => resolve(err({ kind: "unknown", reason: "aborted" }));
            signal.addEventListener("abort", abort, { once: true });
            const respond = (result: Result<Value, StoreFailure>): void => {
                if (modeOf(client) === "silent") {
                    return;
                }
                const servedEra = era;
                timer.after(delayMs(client), () => {
                    responseTimes.push({ at: timer.now(), client });
                    const isLate = servedEra < shownEra(client);
                    shownEras.set(client, Math.max(servedEra, shownEra(client)));
                    resolve(isLate ? err({ kind: "unknown", reason: "a response of an older era" }) : result);
                });
            };
            timer.after(delayMs(client), () => {
                if (signal.aborted) {
                    return;
                }
                calls.push({ at: timer.now(), client, name });
                const mode = modeOf(client);
                if (mode === "busy" || mode === "reset") {
                    timer.after(delayMs(client), () => resolve(err(mode === "busy" ? busyFailure : resetFailure)));
                }
                else if (mode !== "silent") {
                    timer.after(mode === "slow" ? slowServiceMs : serviceMs, () => serve(respond));
                }
            });
        });
    const clientOf = (client: number): Store => ({
        range: (prefix, after, signal) =>
            call(client, "range", signal, respond => {
                const found = [...items.values()].filter(item => item.key.startsWith(prefix) && item.key > (after ?? ""));
                found.sort((a, b) => (a.key < b.key ? -1 : 1));
                respond(ok({ items: found.map(shownItem), hasMore: false, revision: shownRevision() }));
            }),
        watch: (_prefix, afterShown, waitMs, signal) =>
            call<StoreChanges>(client, "watch", signal, respond => {
                const after = revisionInEraOf(afterShown);
                if (eraOf(afterShown) !== era) {
                    respond(err(compactedFailure));
                    return;
                }
                if (after < revision || waitMs === 0) {
                    respond(ok({ events: eventsAfter(after), revision: shownRevision() }));
                    return;
                }
                const watch: PendingWatch = {
                    client,
                    after,
                    respond: () => {
                        watches.delete(watch);
                        respond(ok({ events: eventsAfter(after), revision: shownRevision() }));
                    },
                    refuse: () => {
                        watches.delete(watch);
                        respond(err(compactedFailure));
                    },
                    drop: isReset => {
                        watches.delete(watch);
                        if (isReset) {
                            respond(err(resetFailure));
                        }
                    },
                };
                watches.add(watch);
                signal.addEventListener("abort", () => watches.delete(watch), { once: true });
                timer.after(waitMs, () => watches.has(watch) && watch.respond());
            }),
        write: (write, signal) =>
            call<number>(client, "write", signal, respond => {
                const lease = write.puts[0]?.lease ?? 0;
                if (lease !== 0 && !liveLeases.has(lease)) {
                    respond(err({ kind: "noLease", reason: "status 404" }));
                    return;
                }
                write.puts.forEach(put => {
                    putItem(put.key, put.value.toString());
                    leasedKeys.set(put.key, put.lease);
                });
                write.removes.forEach(remove);
                respond(ok(shownRevision()));
            }),
        grantLease: (_lifetimeMs, signal) =>
            call<number>(client, "grantLease", signal, respond => {
                liveLeases.add(++lastLease);
                respond(ok(lastLease));
            }),
        renewLease: (lease, signal) =>
            call<void>(
                client,
                "renewLease",
                signal,
                respond => respond(liveLeases.has(lease) ? ok(undefined) : err({ kind: "noLease", reason: "status 404" })),
            ),
        revokeLease: (lease, signal) =>
            call<void>(client, "revokeLease", signal, respond => {
                liveLeases.delete(lease);
                [...leasedKeys].filter(([, keyLease]) => keyLease === lease).forEach(([key]) => remove(key));
                respond(ok(undefined));
            }),
        era: () => shownEra(client),
        close: () => {},
    });
    const dropWatches = (client: number, isReset: boolean): void =>
        [...watches].filter(watch => watch.client === client).forEach(watch => watch.drop(isReset));
    return {
        calls,
        responseTimes,
        clientOf,
        setMode: (client, mode) => {
            modes.set(client, mode);
            if (mode === "silent" || mode === "reset") {
                dropWatches(client, mode === "reset");
            }
        },
        put: putItem,
        remove,
        copy: () => {
            const copied = { revision, lastLease, liveLeases: [...liveLeases], items: [...items], history: [...history] };
            return way => {
                ({ revision, lastLease } = copied);
                liveLeases = new Set(copied.liveLeases);
                items = new Map(copied.items);
                history = [...copied.history];
                era++;
                [...watches].forEach(watch => way === "quiet" ? watch.refuse() : watch.drop(true));
            };
        },
        memberCount: () => [...items.keys()].filter(key => key.startsWith(memberPrefix)).length,
        disconnect: client => dropWatches(client, false),
    };
}
