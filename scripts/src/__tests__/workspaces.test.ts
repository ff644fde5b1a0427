/** Workspaces in running daemons: who is served, and that no key is in anything that a daemon shows. */
import { toInstanceId } from "@pimentospring/core/ids";
import type { RouteItem, WorkspaceItem } from "@pimentospring/standin/direct/operatorStandin";
import { standinHost } from "@pimentospring/standin/direct/operatorStandin";
import { encodeStateRequest } from "@pimentospring/steer/store/peerMessages";
import { requestState } from "@pimentospring/steer/store/stateRequester";
import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { request } from "undici";
import { addressOf, type Daemon, fetchIsReady, startSteeringFleet, type SteeringFleet, waitUntil } from "./steeringFleet.js";

const key = "k3y-5dbc1f-of-w";
const removedKey = "k3y-77a0e2-of-v";
const sharedKey = "k3y-19cc04-of-both";
/** In a form that this version can't read. */
const newerKey = "k3y-a8d1b3-newer";
const keys = [key, removedKey, sharedKey];
const routes: readonly RouteItem[] = ["/look/", "/order/"].map(prefix => ({
    prefix,
    isIdempotent: prefix === "/look/",
    parts: { s: 1 },
    timeoutMs: 1_500,
    objectiveMs: 500,
}));
const workspace = (name: string, ...ownKeys: readonly unknown[]): WorkspaceItem => ({ name, keys: ownKeys, ratePerSecond: 50 });

let fleet: SteeringFleet;

before(async () => {
    fleet = await startSteeringFleet("127.0.83");
    fleet.operator.configure(10, routes, [workspace("w", key, sharedKey), workspace("v", removedKey, sharedKey)]);
    await waitUntil("keys are needed", async () => (await statusesOf(undefined)).every(status => status === 401));
});
after(() => fleet.close());

async function ask(daemon: Daemon, token: string | undefined, path = "/look/1"): Promise<number> {
    const response = await request(`http://${addressOf(daemon, "callers")}${path}`, {
        headers: {
            "host": standinHost,
            "x-request-id": "r",
            "x-deadline-ms": "3000",
            ...(token === undefined ? {} : { authorization: `Token ${token}` }),
        },
    });
    const text = await response.body.text();
    keys.forEach(secret => assert.equal(text.includes(secret), false, text));
    return response.statusCode;
}

const statusesOf = (token: string | undefined, path?: string): Promise<number[]> =>
    Promise.all(fleet.daemons.slice(0, 2).map(daemon => ask(daemon, token, path)));

async function readPage(
    daemon: Daemon,
    listener: "control" | "metrics" | "directory" | "readiness",
    path: string,
): Promise<string> {
    const response = await request(`http://${addressOf(daemon, listener)}${path}`);
    return await response.body.text();
}

const stateRequest = encodeStateRequest({ id: toInstanceId("test"), record: Buffer.from("{}"), after: 0 });

test("a request is served with a key of the configuration only, and the route is checked before the key", async () => {
    assert.deepEqual(await statusesOf(key), [200, 200]);
    assert.deepEqual(await statusesOf("guess"), [401, 401]);
    assert.deepEqual(await statusesOf(sharedKey), [503, 503]);
    assert.deepEqual(await statusesOf(undefined, "/none/1"), [404, 404]);
});

test("a key that a newer document removed is refused, and the other keys are served", async () => {
    assert.deepEqual(await statusesOf(removedKey), [200, 200]);
    fleet.operator.configure(11, routes, [workspace("w", key, sharedKey), workspace("v", sharedKey)]);
    await waitUntil("the key is refused", async () => (await statusesOf(removedKey)).every(status => status === 401));
    assert.deepEqual(await statusesOf(key), [200, 200]);
});

// Guards against an entry that refuses keys since a peer passes on digests in place of keys.
test("an entry that starts while the store is down knows the keys from a peer", async () => {
    fleet.store.setFaultStatus(503);
    const joining = fleet.startDaemon("127.0.83.3");
    await waitUntil("the third entry is ready", () => fetchIsReady(joining));
    await waitUntil("it knows the key", async () => await ask(joining, key) === 200);
    assert.equal(await ask(joining, "guess"), 401);
    assert.match(joining.log, /"name":"stateAdopted"/);
    fleet.store.setFaultStatus(undefined);
});

// Guards against keys that are read by whoever reads logs, metrics, pages or the state that peers pass on.
test("no key is in a log line, metric, status page, response or in what a peer passes on", async () => {
    fleet.operator.configure(12, routes, [workspace("w", key, { newer: newerKey }), { name: "bad\nname", keys: [removedKey] }]);
    await waitUntil("the faults are logged", () => fleet.daemons.every(({ log }) => /"version":12,.*bad/.test(log)));
    fleet.store.put("op/config", {
        version: "newer",
        resources: [{ resourceKind: "tenants", specification: { apiKeys: [key] } }],
    });
    await waitUntil("the item is refused", () => fleet.daemons.every(({ log }) => /itemRefused.*expected number/.test(log)));
    for (const daemon of fleet.daemons) {
        await ask(daemon, key);
        await ask(daemon, removedKey);
        const status = await readPage(daemon, "control", "/status");
        assert.match(status, /"workspace":"w","quota":\{"ratePerSecond":50,"burst":50\}/);
        const metrics = await readPage(daemon, "metrics", "/metrics");
        assert.match(metrics, /pimento_workspace_requests_total\{workspace="w"\} [1-9]/);
        const pages = [
            status,
            metrics,
            await readPage(daemon, "control", `/explain?host=${standinHost}&path=/look/1`),
            await readPage(daemon, "directory", "/resolve?name=a&region=cpt&zone=cpt-a"),
            await readPage(daemon, "readiness", "/readiness"),
            daemon.log,
        ];
        for (const page of pages) {
            [...keys, newerKey].forEach(secret => {
                const at = page.indexOf(secret);
                assert.equal(at, -1, page.slice(Math.max(0, at - 200), at));
            });
        }
        const state = await requestState(addressOf(daemon, "control"), stateRequest);
        assert.ok(state !== undefined && state.includes("op/config"));
        assert.deepEqual(keys.filter(secret => state.includes(secret)), []);
        assert.match(daemon.log, /"name":"workspaceRefused".*"result":4016/);
    }
});
