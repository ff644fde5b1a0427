/** A service of servers in one zone, and clients that press it at a steady rate. */
import { setTimeout as sleep } from "node:timers/promises";
import { sendRequest } from "./client.mjs";
import { configuration } from "./deployment.mjs";
import { serverEntry, startServer } from "./server.mjs";

const serverHost = "127.41.0.20";
/** A machine that was started counts as in touch after `settleWindow`, 4 s. */
const settleMs = 4_500;
const tickMs = 10;

/** Random numbers from 0 to 1 that are the same in each run. */
export function createRandom(seed) {
    let state = seed;
    return () => {
        state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
        return state / 2 ** 32;
    };
}

/** Starts a service's servers and announces them; `optionsOf` gives the further options of each. */
export async function startService({ store, service, count, slots, workMs, record }, optionsOf) {
    const servers = [];
    for (let index = 0; index < count; index++) {
        const id = `i-${service}-${index}`;
        const server = await startServer({ id, host: serverHost, slots, workMs, record, ...optionsOf(index) });
        store.put(`servers/${id}`, serverEntry(server, { service, zone: "cpt-a", slots, born: Date.now() }));
        servers.push(server);
    }
    return servers;
}

/** Puts routes in force, starts two daemons in a zone, and waits until they serve. */
export async function startDaemons(deployment, routes) {
    const services = [...new Set(routes.map(({ service }) => service))];
    deployment.store.put("op/config", configuration(1, "a.example", routes, services));
    for (const number of [1, 2]) {
        await deployment.startDaemon(`front-cpt-a-${number}`, `127.41.0.${number}`, "cpt-a");
    }
    await deployment.waitUntilReady();
    await sleep(settleMs);
}

/** Sends `perSecond` requests for `durationMs`, to the daemons in turn; resolves to their outcomes once all have ended. */
export async function sendRequests({ deployment, record, perSecond, durationMs, requestOf }) {
    const outcomes = [];
    const startedAt = performance.now();
    for (let sent = 0; performance.now() - startedAt < durationMs;) {
        const due = Math.floor((performance.now() - startedAt) / 1_000 * perSecond);
        for (; sent < due; sent++) {
            const { addresses } = deployment.daemons[sent % deployment.daemons.length];
            outcomes.push(sendRequest({ address: addresses.callers, ...requestOf(sent) }, record));
        }
        await sleep(tickMs);
    }
    return Promise.all(outcomes);
}
