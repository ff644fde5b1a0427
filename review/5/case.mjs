/**
 * Servers are replaced one after the other after a short outage of the store, and some of them leave without having
 * reported that they drain. No request may reach a server later than `drain` after its entry was removed.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { play } from "../lib/deployment.mjs";
import { sendRequests, startDaemons } from "../lib/load.mjs";
import { serverEntry, startServer } from "../lib/server.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const recordFile = new URL("record.txt", import.meta.url);
const services = ["tokens", "trails"];
const serversPerService = 12;
const slots = 4;
const workMs = 300;
const requestsPerSecond = 220;
const drainMs = 2_500;
const settleMs = 4_000;
const coldMs = 3_000;
const beatMs = 1_500;
/** `platform_down`, how = "busy". */
const outageMs = 3_000;
/** `release`: 5 of 12 servers, one at a time. */
const releasedServers = 5;
const releaseGapMs = 1_000;
const releases = 3;
/** The new server starts first. */
const startLeadMs = 300;
/** Of 15 servers of a service that leave, the 4th, 7th, 10th and 13th never report that they drain. */
const silentEvery = 3;
/** How long a server serves after it has reported, or after its entry was removed: `drain` and a little longer. */
const servesMs = 2_900;
const releaseMs = releasedServers * releaseGapMs;
const loadMs = 1_000 + outageMs + 1_000 + releases * releaseMs + servesMs + 2_000;

async function run(deployment, record) {
    const { store } = deployment;
    const servers = [];
    /** Servers that have left, with the time of the store's acknowledgement. */
    const departures = [];

    let sequence = 0;
    const put = (server, fields) =>
        store.put(`servers/${server.id}`, serverEntry(server, { ...server.fields, sequence: ++sequence, ...fields }));
    const start = async (service, coldRemainingMs) => {
        const id = `i-${service}-${servers.length}`;
        const server = await startServer({ id, host: "127.41.0.20", slots, workMs, record });
        server.fields = { service, zone: "cpt-a", slots, born: Date.now() };
        server.isLeaving = false;
        servers.push(server);
        put(server, { coldRemaining: `${coldRemainingMs}ms` });
        return server;
    };
    /** The entry changes with each heartbeat for as long as the server is cold. */
    const warmUp = async server => {
        for (let left = coldMs - beatMs; left >= 0; left -= beatMs) {
            await sleep(beatMs);
            put(server, { coldRemaining: `${left}ms` });
        }
    };
    const leave = async (server, isSilent) => {
        if (isSilent) {
            store.remove(`servers/${server.id}`);
        }
        else {
            put(server, { state: "draining" });
        }
        departures.push({ server, at: performance.now() });
        record("store accepts: server", server.id, isSilent ? "is gone" : "is draining");
        await sleep(servesMs);
        store.remove(`servers/${server.id}`);
        server.close();
    };
    const release = async (service, leftBefore) => {
        const inUse = servers.filter(({ fields, isLeaving }) => fields.service === service && !isLeaving);
        const replaced = inUse.slice(0, releasedServers);
        replaced.forEach(server => {
            server.isLeaving = true;
        });
        for (const [index, server] of replaced.entries()) {
            void start(service, coldMs).then(warmUp);
            await sleep(startLeadMs);
            const number = leftBefore + index;
            void leave(server, number > 0 && number % silentEvery === 0);
            await sleep(releaseGapMs - startLeadMs);
        }
    };
    const lateArrivals = ({ server, at }) => server.arrivals.filter(arrival => arrival.at > at + drainMs);

    for (const service of services) {
        for (let index = 0; index < serversPerService; index++) {
            await start(service, 0);
        }
    }
    await startDaemons(
        deployment,
        services.map(service => ({ prefix: `/${service}/`, kind: "unsafe", service, timeout: "1500ms", targetLatency: "400ms" })),
    );
    const load = sendRequests({
        deployment,
        record,
        perSecond: requestsPerSecond,
        durationMs: loadMs,
        requestOf: number => ({
            id: `r${number}`,
            method: "POST",
            path: `/${services[Math.floor(number / 2) % services.length]}/1`,
            body: "one token",
            deadlineMs: 2_000,
        }),
    });
    await sleep(1_000);
    if (hasTrouble) {
        record("store: busy");
        store.setBusy(true);
    }
    await sleep(outageMs);
    if (hasTrouble) {
        store.setBusy(false);
        record("store: serves again");
    }
    const stableAt = performance.now() + settleMs;
    await sleep(1_000);
    for (let round = 0; round < releases; round++) {
        await Promise.all(services.map((service, index) => sleep(400 * index).then(() => release(service, round * releasedServers))));
    }
    const statuses = new Map((await load).map(({ id, status }) => [id, status]));
    servers.forEach(server => server.close());
    for (const { server, at } of departures) {
        const last = (server.arrivals.at(-1)?.at ?? 0) - at;
        const stability = at < stableAt ? ", accepted before the store was stable" : "";
        record("server", server.id, `last request ${last.toFixed(0)} ms after the acknowledgement${stability}`);
    }
    return departures
        .filter(departure => departure.at >= stableAt && lateArrivals(departure).length > 0)
        .map(departure => {
            const late = lateArrivals(departure);
            const lastMs = (late.at(-1).at - departure.at).toFixed(0);
            const answers = late.map(({ id }) => statuses.get(id)).join(", ");
            return `DRAIN ${departure.server.id}: ${late.length} requests (answered ${answers}), the last ${lastMs} ms after the store's acknowledgement`;
        });
}

await play({ recordFile, hasTrouble, run });
