/**
 * Three daemons in one zone and a large configuration. One daemon stands still for five seconds while the configuration changes in
 * quick succession. Afterwards a route is moved to another service, and a server leaves without having said so before: its entry is
 * removed, and it serves on.
 */
import { createCaller } from "../standins-2/callers.mjs";
import { delay, runCase } from "../standins-2/case.mjs";
import { createVersions, idleRoutes, route } from "../standins-2/configuration.mjs";
import { startDaemons } from "../standins-2/daemons.mjs";
import { startServer } from "../standins-2/servers.mjs";
import { startStore } from "../standins-2/store.mjs";

const network = "127.0.82";
const settleWindowMs = 4_000;
const configApplyMs = 2_500;
const drainMs = 2_500;
const freezeMs = 5_000;
/** A storm has a change each 60 ms for 1.5 s. */
const stormChanges = 25;
const stormGapMs = 60;
const pauseMs = 500;
const idleRouteCount = 2_100;
const quietMs = 15_000;
const askIntervalMs = 100;

const hasTrouble = process.env.TROUBLE !== "0";

runCase(import.meta.url, hasTrouble, async ({ say, note, onEnd }) => {
    const store = await startStore(`${network}.9`);
    onEnd(store.close);
    const place = { zone: "accra-a", slots: 8, workMs: 20 };
    const servers = [
        await startServer({ ...place, host: `${network}.20`, id: "i-old1", service: "old" }),
        await startServer({ ...place, host: `${network}.21`, id: "i-old2", service: "old" }),
        await startServer({ ...place, host: `${network}.22`, id: "i-new1", service: "new" }),
        await startServer({ ...place, host: `${network}.23`, id: "i-new2", service: "new" }),
    ];
    servers.forEach(server => onEnd(server.close));
    servers.forEach(server => store.put(`servers/${server.id}`, server.entry("ready")));
    const nextVersion = createVersions();
    const idle = idleRoutes(idleRouteCount, "old");
    const configuration = (moved, timeoutMs = 1_500) =>
        nextVersion([
            route({ name: "r-moved", prefix: "/moved/", service: moved }),
            route({ name: "r-kept", prefix: "/kept/", service: "new", timeoutMs }),
            ...idle,
        ], ["old", "new"]);
    const first = configuration("old");
    store.put("op/config", first);
    say(`the configuration has ${JSON.stringify(first).length} bytes`);

    const names = [1, 2, 3];
    const places = names.map(n => ({ name: `front-accra-a-${n}`, host: `${network}.${n}`, zone: "accra-a", region: "accra" }));
    const fleet = await startDaemons({ places, storeAddress: store.address });
    onEnd(fleet.stop);
    await fleet.awaitReady();
    const sent = [];
    const callers = fleet.daemons.map(createCaller);
    callers.forEach(caller => onEnd(caller.close));
    let isAsking = true;
    const ask = async (daemon, caller) => {
        while (isAsking) {
            for (const path of ["/moved/1", "/kept/1"]) {
                void caller.send(daemon.callers, { path, deadlineMs: 2_000 }).then(request =>
                    sent.push({ ...request, daemon: daemon.name })
                );
            }
            await delay(askIntervalMs);
        }
    };
    const asking = fleet.daemons.map((daemon, index) => ask(daemon, callers[index]));
    await delay(quietMs / 3);

    const frozen = fleet.daemons[2];
    if (hasTrouble) {
        frozen.signal("SIGSTOP");
        say(`${frozen.name} stands still`);
        setTimeout(() => frozen.signal("SIGCONT"), freezeMs);
    }
    const frozenAt = performance.now();
    for (let storm = 0; storm < 2; storm++) {
        for (let change = 0; change < stormChanges; change++) {
            store.put("op/config", configuration("old", 1_500 + 100 * (change % 2)));
            await delay(stormGapMs);
        }
        say(`${stormChanges} changes were made`);
        await delay(pauseMs);
    }
    await delay(frozenAt + freezeMs - performance.now());
    const settledAt = performance.now() + settleWindowMs;
    say(`${frozen.name} runs; it is in touch again after ${settleWindowMs} ms`);
    await delay(settleWindowMs + 500);

    const last = configuration("new");
    const movedAt = store.put("op/config", last);
    say(`version ${last.version} moves /moved/ to new`);
    const { id: keptId } = sent.findLast(({ daemon, path, status }) => daemon === frozen.name && path === "/kept/1" && status === 200);
    const lastKept = servers.flatMap(server => server.runs).find(({ requestId }) => requestId === keptId);
    const leavingAt = store.remove(`servers/${lastKept.server}`);
    say(`the entry of ${lastKept.server} is removed; it serves on`);
    await delay(quietMs);
    isAsking = false;
    await Promise.all(asking);
    await delay(2_000);

    const runs = new Map(servers.flatMap(server => server.runs).map(run => [run.requestId, run]));
    const isStale = ({ id, path, at }) =>
        path === "/moved/1" && at > Math.max(settledAt, movedAt + configApplyMs) && runs.get(id)?.service === "old";
    const isLate = ({ id, at }) =>
        at > settledAt && runs.get(id)?.server === lastKept.server && runs.get(id).at > leavingAt + drainMs;
    for (const request of sent) {
        const { id, daemon, path, status = request.error, at } = request;
        const server = runs.get(id)?.server ?? "none";
        const judgement = isStale(request) ? " CONFIG" : isLate(request) ? " DRAIN" : "";
        note(`${id} ${daemon} ${path} sent ${((at - movedAt) / 1_000).toFixed(3)} answered ${status} run by ${server}${judgement}`);
    }
    for (const { name } of fleet.daemons) {
        const own = sent.filter(({ daemon }) => daemon === name);
        const asked = own.filter(({ path, at }) => path === "/moved/1" && at > Math.max(settledAt, movedAt + configApplyMs));
        say(`${name}: ${asked.length} requests on the moved route later than configApply, ${own.filter(isStale).length} run by old`);
        say(`${name}: ${own.filter(isLate).length} requests reached ${lastKept.server} later than drain`);
    }
    return sent.filter(request => isStale(request) || isLate(request)).length;
});
