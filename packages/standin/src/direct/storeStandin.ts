/**
 * In-memory stand-in for the users' platform store, with its published protocol: items, watches, conditions and leases. It can
 * come back from an older copy, and gives out revisions and leases again then.
 */
import { createRouter, listen, readBody, sendJson } from "@pimentospring/runtime/http/jsonServer";
import type { IncomingMessage, Server, ServerResponse } from "node:http";

interface Item {
    readonly key: string;
    readonly value: string;
    readonly revision: number;
    readonly created: number;
    readonly lease: number;
}

type Event = Item | { readonly key: string; readonly revision: number; readonly tombstone: true; };

interface Transaction {
    readonly expected?: readonly { readonly key: string; readonly revision: number; }[];
    readonly puts?: readonly { readonly key: string; readonly value: string; readonly lease?: number; }[];
    readonly remove?: readonly string[];
}

export interface StoreStandin {
    readonly address: string;
    put(key: string, value: unknown): void;
    remove(key: string): void;
    countKeys(prefix: string): number;
    /** While set, every call is refused with this status; 0 leaves calls unanswered. */
    setFaultStatus(status: number | undefined): void;
    /** Expires all leases at once. */
    expireLeases(): void;
    /** Drops the event history: watches from an earlier revision get a 410. */
    compact(): void;
    /**
     * Returns a function that makes the store come back as it is now: all connections break, and whatever was written since is
     * lost, leases included. Each time, the era that all responses show increases by one.
     */
    copy(): () => void;
    close(): void;
}

const maxBodyBytes = 1024 * 1024;
const pollMs = 10;

export async function startStoreStandin(host: string): Promise<StoreStandin> {
    /** Not shown by a store that never came back. */
    let era = 0;
    let revision = 1;
    let leases = 0;
    let fault: number | undefined;
    let items = new Map<string, Item>();
    let history: Event[] = [];
    let compactedAt = 0;
    let leaseExpiries = new Map<number, number>();
    const write = (key: string, value: string, lease: number): void => {
        revision++;
        const item = { key, value, revision, created: items.get(key)?.created ?? revision, lease };
        items.set(key, item);
        history.push(item);
    };
    const remove = (key: string): void => {
        if (items.delete(key)) {
            history.push({ key, revision: ++revision, tombstone: true });
        }
    };
    const endLease = (lease: number): void => {
        leaseExpiries.delete(lease);
        [...items.values()].filter(item => item.lease === lease).forEach(item => remove(item.key));
    };
    const expiry = setInterval(() => {
        const now = performance.now();
        [...leaseExpiries].filter(([, end]) => end < now).forEach(([lease]) => endLease(lease));
    }, pollMs);
    const readJson = async <Body>(request: IncomingMessage): Promise<Body> =>
        JSON.parse((await readBody(request, maxBodyBytes)).toString()) as Body;
    const watch = (response: ServerResponse, prefix: string, after: number, waitMs: number): void => {
        if (after < compactedAt || after > revision) {
            sendJson(response, 410, { error: "this history is gone" });
            return;
        }
        const endAt = performance.now() + waitMs;
        const poll = (): void => {
            const events = history.filter(event => event.revision > after && event.key.startsWith(prefix));
            if (events.length > 0 || performance.now() >= endAt) {
                sendJson(response, 200, { events, currentRev: revision });
            }
            else if (!response.destroyed) {
                setTimeout(poll, pollMs);
            }
        };
        poll();
    };
    const transact = (response: ServerResponse, change: Transaction): void => {
        const { expected = [], puts = [], remove: removed = [] } = change;
        if (expected.some(({ key, revision: wanted }) => (items.get(key)?.revision ?? 0) !== wanted)) {
            sendJson(response, 412, { items: expected.map(({ key }) => items.get(key) ?? null) });
        }
        else if (puts.some(put => (put.lease ?? 0) !== 0 && !leaseExpiries.has(put.lease!))) {
            sendJson(response, 404, { error: "no such lease" });
        }
        else {
            puts.forEach(put => write(put.key, put.value, put.lease ?? 0));
            removed.forEach(remove);
            sendJson(response, 200, { revision });
        }
    };
    const parseDurationMs = (text: string): number => Number.parseFloat(text) * (text.endsWith("ms") ? 1 : 1_000);
    let leaseLifetimesMs = new Map<number, number>();
    const router: Server = createRouter({
        "GET /kv-range": (_request, response, url) => {
            const prefix = url.searchParams.get("prefix") ?? "";
            const after = url.searchParams.get("after") ?? "";
            const found = [...items.values()].filter(item => item.key.startsWith(prefix) && item.key > after);
            sendJson(response, 200, { items: found, morePages: false, currentRev: revision });
        },
        "GET /kv-watch": (_request, response, url) => {
            const number = (name: string): number => Number(url.searchParams.get(name));
            watch(response, url.searchParams.get("prefix") ?? "", number("after"), number("waitMs"));
        },
        "POST /kv-txn": async (request, response) => transact(response, await readJson<Transaction>(request)),
        "POST /kv-lease": async (request, response) => {
            const { ttl_time: ttl } = await readJson<{ readonly ttl_time: string; }>(request);
            const lease = ++leases;
            leaseLifetimesMs.set(lease, parseDurationMs(ttl));
            leaseExpiries.set(lease, performance.now() + parseDurationMs(ttl));
            sendJson(response, 200, { lease, ttl_time: ttl });
        },
        "POST /kv-keep/": (_request, response, url) => {
            const lease = Number(url.pathname.split("/").at(-1));
            if (!leaseExpiries.has(lease)) {
                sendJson(response, 404, {});
                return;
            }
            leaseExpiries.set(lease, performance.now() + leaseLifetimesMs.get(lease)!);
            sendJson(response, 200, {});
        },
        "DELETE /kv-lease-end/": (_request, response, url) => {
            endLease(Number(url.pathname.split("/").at(-1)));
            sendJson(response, 200, {});
        },
    }, error => {
        throw error;
    });
    const handlers = router.listeners("request") as ((request: IncomingMessage, response: ServerResponse) => void)[];
    router.removeAllListeners("request");
    router.on("request", (request: IncomingMessage, response: ServerResponse) => {
        if (era > 0) {
            response.setHeader("Store-Era", era);
        }
        if (fault === undefined) {
            handlers.forEach(handler => handler(request, response));
        }
        else if (fault !== 0) {
            sendJson(response, fault, {});
        }
    });
    const { port } = await listen(router, host, 0);
    return {
        address: `${host}:${port}`,
        put: (key, value) => write(key, Buffer.from(JSON.stringify(value)).toString("base64"), 0),
        remove,
        countKeys: prefix => [...items.keys()].filter(key => key.startsWith(prefix)).length,
        setFaultStatus: status => {
            fault = status;
        },
        expireLeases: () => [...leaseExpiries.keys()].forEach(endLease),
        compact: () => {
            history.length = 0;
            compactedAt = revision;
        },
        copy: () => {
            const copied = structuredClone({ revision, leases, items, history, compactedAt, leaseExpiries, leaseLifetimesMs });
            return () => {
                ({ revision, leases, items, history, compactedAt, leaseExpiries, leaseLifetimesMs } = structuredClone(copied));
                // Leases run on from the moment at which the store is back.
                leaseExpiries.forEach((_, lease) => leaseExpiries.set(lease, performance.now() + leaseLifetimesMs.get(lease)!));
                era++;
                router.closeAllConnections();
            };
        },
        close: () => {
            clearInterval(expiry);
            router.close();
            router.closeAllConnections();
        },
    };
}
