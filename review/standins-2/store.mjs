/**
 * Stand-in of the platform's metadata store: items, ranges, watches, conditional writes and leases, as PROTOCOL.md says. It keeps
 * its history for 20 s, answers each call 4 ms after its arrival, and acts as the operator for this process.
 */
import { createServer } from "node:http";

const historyMs = 20_000;
const answerDelayMs = 4;
const pollMs = 10;
const maxPageItems = 500;
const maxPageBytes = 1_000_000;

const readBody = request =>
    new Promise((resolve, reject) => {
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.on("end", () => resolve(Buffer.concat(chunks).toString()));
        request.on("error", reject);
    });

const durationMs = text => Number.parseFloat(text) * (text.endsWith("ms") ? 1 : 1_000);

export async function startStore(host) {
    const items = new Map();
    const leases = new Map();
    const history = [];
    let compactedAt = 0;
    let revision = 1;
    let lastLease = 0;

    const record = event => history.push({ at: performance.now(), event });
    const write = (key, value, lease) => {
        revision++;
        const item = { key, value, revision, created: items.get(key)?.created ?? revision, lease };
        items.set(key, item);
        record(item);
        return item;
    };
    const remove = key => {
        if (items.delete(key)) {
            record({ key, revision: ++revision, tombstone: true });
        }
    };
    const endLease = lease => {
        leases.delete(lease);
        [...items.values()].filter(item => item.lease === lease).forEach(item => remove(item.key));
    };
    const housekeeping = setInterval(() => {
        const now = performance.now();
        [...leases].filter(([, { endsAt }]) => endsAt < now).forEach(([lease]) => endLease(lease));
        const firstKept = history.findIndex(({ at }) => now - at < historyMs);
        const dropped = history.splice(0, firstKept === -1 ? history.length : firstKept);
        compactedAt = dropped.at(-1)?.event.revision ?? compactedAt;
    }, pollMs);

    const send = (response, status, body) => {
        setTimeout(() => {
            response.writeHead(status, { "Content-Type": "application/json" });
            response.end(JSON.stringify(body));
        }, answerDelayMs);
    };
    const range = (url, response) => {
        const prefix = url.searchParams.get("prefix") ?? "";
        const after = url.searchParams.get("after") ?? "";
        const found = [...items.values()].filter(({ key }) => key.startsWith(prefix) && key > after);
        found.sort((one, other) => one.key < other.key ? -1 : 1);
        const page = [];
        let bytes = 0;
        for (const item of found) {
            bytes += item.value.length;
            if (page.length > 0 && (page.length >= maxPageItems || bytes > maxPageBytes)) {
                break;
            }
            page.push(item);
        }
        send(response, 200, { items: page, morePages: page.length < found.length, currentRev: revision });
    };
    const watch = (url, response) => {
        const prefix = url.searchParams.get("prefix") ?? "";
        const after = Number(url.searchParams.get("after"));
        const endAt = performance.now() + Number(url.searchParams.get("waitMs"));
        const poll = () => {
            if (response.destroyed) {
                return;
            }
            if (after < compactedAt) {
                send(response, 410, {});
                return;
            }
            const events = history.map(({ event }) => event).filter(event => event.revision > after && event.key.startsWith(prefix));
            if (events.length > 0 || performance.now() >= endAt) {
                send(response, 200, { events, currentRev: revision });
                return;
            }
            setTimeout(poll, pollMs);
        };
        poll();
    };
    const transact = ({ expected = [], puts = [], remove: removed = [] }, response) => {
        const isForbidden = key => key.startsWith("op/") || key.startsWith("servers/");
        if ([...puts.map(({ key }) => key), ...removed].some(isForbidden)) {
            send(response, 403, {});
            return;
        }
        if (expected.some(({ key, revision: wanted }) => (items.get(key)?.revision ?? 0) !== wanted)) {
            send(response, 412, { items: expected.map(({ key }) => items.get(key) ?? null) });
            return;
        }
        if (puts.some(({ lease = 0 }) => lease !== 0 && !leases.has(lease))) {
            send(response, 404, {});
            return;
        }
        puts.forEach(({ key, value, lease = 0 }) => write(key, value, lease));
        removed.forEach(remove);
        send(response, 200, { revision });
    };
    const handle = async (request, response) => {
        const url = new URL(request.url, "http://store");
        const body = await readBody(request);
        const id = Number(url.pathname.split("/").at(-1));
        if (url.pathname === "/kv-range") {
            range(url, response);
        }
        else if (url.pathname === "/kv-watch") {
            watch(url, response);
        }
        else if (url.pathname === "/kv-key") {
            const item = items.get(url.searchParams.get("key"));
            send(response, item === undefined ? 404 : 200, { ...item, currentRev: revision });
        }
        else if (url.pathname === "/kv-txn") {
            transact(JSON.parse(body), response);
        }
        else if (url.pathname === "/kv-lease") {
            const lifetimeMs = durationMs(JSON.parse(body).ttl_time);
            leases.set(++lastLease, { lifetimeMs, endsAt: performance.now() + lifetimeMs });
            send(response, 200, { lease: lastLease, ttl_time: `${lifetimeMs}ms` });
        }
        else if (url.pathname.startsWith("/kv-keep/") && leases.has(id)) {
            const lease = leases.get(id);
            lease.endsAt = performance.now() + lease.lifetimeMs;
            send(response, 200, { ttl_time: `${lease.lifetimeMs}ms` });
        }
        else if (url.pathname.startsWith("/kv-lease-end/") && leases.has(id)) {
            endLease(id);
            send(response, 200, {});
        }
        else {
            send(response, 404, {});
        }
    };
    const server = createServer((request, response) => {
        handle(request, response).catch(() => response.destroy());
    });
    server.keepAliveTimeout = 30_000;
    await new Promise(resolve => server.listen(0, host, resolve));
    return {
        address: `${host}:${server.address().port}`,
        /** Writes as the operator or a server does. Returns the time of the acknowledgement. */
        put: (key, value) => {
            write(key, Buffer.from(JSON.stringify(value)).toString("base64"), 0);
            return performance.now();
        },
        remove: key => {
            remove(key);
            return performance.now();
        },
        sizeOf: key => Buffer.from(items.get(key).value, "base64").length,
        keys: prefix => [...items.keys()].filter(key => key.startsWith(prefix)),
        close: () => {
            clearInterval(housekeeping);
            server.close();
            server.closeAllConnections();
        },
    };
}
