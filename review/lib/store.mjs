/** Stand-in for the platform's store, after PROTOCOL.md: items, pages, watches, transactions and leases over HTTP. */
import { createServer } from "node:http";

const leaseCheckIntervalMs = 50;

const durationMs = text => Number.parseFloat(text) * (text.endsWith("ms") ? 1 : 1_000);

function readJson(request) {
    return new Promise((resolve, reject) => {
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.on("end", () => resolve(chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString())));
        request.on("error", reject);
    });
}

export async function startStore(host) {
    const items = new Map();
    const leases = new Map();
    const history = [];
    const watchers = new Set();
    let revision = 100;
    let leaseCount = 0;
    let isBusy = false;

    const notifyWatchers = () => [...watchers].forEach(check => check());
    const write = (key, value, lease = 0) => {
        revision++;
        const item = { key, value, revision, created: items.get(key)?.created ?? revision, lease };
        items.set(key, item);
        history.push(item);
    };
    const erase = key => {
        if (items.delete(key)) {
            history.push({ key, revision: ++revision, tombstone: true });
        }
    };
    const endLease = id => {
        leases.delete(id);
        [...items.values()].filter(item => item.lease === id).forEach(({ key }) => erase(key));
        notifyWatchers();
    };
    const leaseTimer = setInterval(() => {
        const now = performance.now();
        [...leases].filter(([, { endsAt }]) => endsAt < now).forEach(([id]) => endLease(id));
    }, leaseCheckIntervalMs);

    const send = (response, status, body) => {
        response.writeHead(status, { "Content-Type": "application/json" });
        response.end(JSON.stringify(body));
    };
    const watch = (response, query) => {
        const prefix = query.get("prefix") ?? "";
        const after = Number(query.get("after"));
        const found = () => history.filter(event => event.revision > after && event.key.startsWith(prefix));
        const finish = () => {
            watchers.delete(check);
            clearTimeout(timeout);
            if (!response.writableEnded) {
                send(response, 200, { events: found(), currentRev: revision });
            }
        };
        const check = () => found().length > 0 && finish();
        const timeout = setTimeout(finish, Number(query.get("waitMs")));
        response.once("close", () => {
            watchers.delete(check);
            clearTimeout(timeout);
        });
        watchers.add(check);
        check();
    };
    const transact = (response, { expected = [], puts = [], remove = [] }) => {
        if (expected.some(row => (items.get(row.key)?.revision ?? 0) !== row.revision)) {
            send(response, 412, { items: expected.flatMap(({ key }) => items.get(key) ?? []) });
            return;
        }
        if (puts.some(({ lease = 0 }) => lease !== 0 && !leases.has(lease))) {
            send(response, 404, {});
            return;
        }
        puts.forEach(({ key, value, lease }) => write(key, value, lease));
        remove.forEach(erase);
        send(response, 200, { revision });
        notifyWatchers();
    };
    const handle = async (request, response) => {
        const url = new URL(request.url, "http://store");
        const [, call, argument] = url.pathname.split("/");
        const body = await readJson(request);
        if (isBusy) {
            send(response, 503, {});
            return;
        }
        switch (call) {
            case "kv-key": {
                const item = items.get(url.searchParams.get("key"));
                send(response, item === undefined ? 404 : 200, item === undefined ? {} : { ...item, currentRev: revision });
                break;
            }
            case "kv-range": {
                const prefix = url.searchParams.get("prefix") ?? "";
                const after = url.searchParams.get("after") ?? "";
                const found = [...items.values()].filter(({ key }) => key.startsWith(prefix) && key > after);
                found.sort((left, right) => (left.key < right.key ? -1 : 1));
                send(response, 200, { items: found, morePages: false, currentRev: revision });
                break;
            }
            case "kv-watch":
                watch(response, url.searchParams);
                break;
            case "kv-txn":
                transact(response, body);
                break;
            case "kv-lease": {
                const lifetimeMs = durationMs(body.ttl_time);
                leases.set(++leaseCount, { lifetimeMs, endsAt: performance.now() + lifetimeMs });
                send(response, 200, { lease: leaseCount, ttl_time: body.ttl_time });
                break;
            }
            case "kv-keep": {
                const lease = leases.get(Number(argument));
                if (lease !== undefined) {
                    lease.endsAt = performance.now() + lease.lifetimeMs;
                }
                send(response, lease === undefined ? 404 : 200, lease === undefined ? {} : { ttl_time: `${lease.lifetimeMs}ms` });
                break;
            }
            case "kv-lease-end":
                endLease(Number(argument));
                send(response, 200, {});
                break;
            default:
                send(response, 404, {});
        }
    };
    const server = createServer((request, response) => void handle(request, response).catch(() => response.destroy()));
    await new Promise(resolve => server.listen(0, host, resolve));
    return {
        address: `${host}:${server.address().port}`,
        /** Writes a value; the store has accepted it when this returns. */
        put: (key, value) => {
            write(key, Buffer.from(JSON.stringify(value)).toString("base64"));
            notifyWatchers();
        },
        remove: key => {
            erase(key);
            notifyWatchers();
        },
        /** While set, all calls of the daemons get 503, also those that wait for changes; leases do not end meanwhile. */
        setBusy: next => {
            isBusy = next;
            if (isBusy) {
                server.closeAllConnections();
            }
            leases.forEach(lease => {
                lease.endsAt = Math.max(lease.endsAt, performance.now() + lease.lifetimeMs);
            });
        },
        close: () => {
            clearInterval(leaseTimer);
            server.close();
            server.closeAllConnections();
        },
    };
}
