/** The steering daemon as a process, started while something else holds one of its ports. */
import { createOperator, type Operator, standinHost } from "@pimentospring/standin/direct/operatorStandin";
import { startStoreStandin, type StoreStandin } from "@pimentospring/standin/direct/storeStandin";
import { startTargetStandin, type TargetStandin } from "@pimentospring/standin/direct/targetStandin";
import assert from "node:assert/strict";
import { createSocket } from "node:dgram";
import { once } from "node:events";
import { createServer } from "node:net";
import { after, afterEach, before, beforeEach, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { createDaemonFixture, type DaemonFixture, type DaemonRun, type ListenerName } from "./daemonProcess.js";
import { waitUntil } from "./steeringFleet.js";

const network = "127.0.141";
let store: StoreStandin;
let operator: Operator;
let target: TargetStandin;
let fixture: DaemonFixture;
const holders = new Set<() => Promise<void>>();

before(async () => {
    store = await startStoreStandin(`${network}.9`);
    operator = createOperator(store);
    target = await startTargetStandin({ host: `${network}.10`, id: "t0", slots: 4 });
    const route = { prefix: "/look/", isIdempotent: true, parts: { s: 1 }, timeoutMs: 1_500, objectiveMs: 500 };
    operator.configure(3, [route]);
    operator.announce({
        id: "t0",
        service: "s",
        address: target.address,
        dataCentre: "cpt-a",
        slots: 4,
        isDraining: false,
        startedAt: 1,
    });
});
after(() => {
    target.close();
    store.close();
});
beforeEach(() => {
    fixture = createDaemonFixture(`${network}.1`, store.address);
    fixture.writeSettings(fixture.settingsText());
    store.expireLeases();
});
afterEach(async () => {
    await fixture.close();
    await Promise.all([...holders].map(free => free()));
});

/** Holds a port of the daemon, as another process would. Returns a function that frees it; the end of the test does so too. */
async function holdPort(listener: ListenerName): Promise<() => Promise<void>> {
    const [host] = fixture.addressOf(listener).split(":");
    const port = fixture.portOf(listener);
    const holder = listener === "mesh"
        ? createSocket("udp4").bind(port, host)
        : createServer(socket => socket.destroy()).listen(port, host);
    await once(holder, "listening");
    const free = async (): Promise<void> => {
        if (holders.delete(free)) {
            holder.close();
            await once(holder, "close");
        }
    };
    holders.add(free);
    return free;
}

/** Waits until the daemon has tried the listener this often; fails if it ends instead. */
async function waitUntilTried(run: DaemonRun, listener: ListenerName, tries: number): Promise<void> {
    const texts = [`"listener":"${listener}"`, fixture.addressOf(listener), `"tries":${tries}`];
    await waitUntil(`${listener} was tried`, () => run.hasEnded() || run.hasLogged("cannotListen", ...texts));
    assert.equal(run.hasEnded(), false, run.output());
}

async function fetchStatus(path: string): Promise<number> {
    const { statusCode, body } = await request(`http://${fixture.addressOf("callers")}${path}`, {
        headers: { "host": standinHost, "x-request-id": path, "x-deadline-ms": "3000" },
    });
    await body.dump();
    return statusCode;
}

async function waitUntilServing(run: DaemonRun): Promise<void> {
    await waitUntil("the daemon is ready", async () => run.hasEnded() || await fixture.readinessStatus() === 200);
    assert.equal(run.hasEnded(), false, run.output());
    await waitUntil("the daemon serves", async () => await fetchStatus("/look/1") === 200);
}

const requiredListeners = ["callers", "control", "mesh"] as const;

for (const listener of requiredListeners) {
    // Another process, or the daemon's own predecessor, may hold a port for a while.
    test(`a daemon whose ${listener} port is in use waits for it, says so, and serves once it is free`, async () => {
        const free = await holdPort(listener);
        const run = fixture.start();
        await waitUntilTried(run, listener, 2);
        const status = await fixture.readinessStatus();
        assert.notEqual(status, 200);
        assert.equal(store.countKeys("pimentospring/entries/"), 0, "it joined although it can't serve");
        assert.equal(run.hasLogged("started"), false);
        await free();
        await waitUntilServing(run);
        assert.ok(run.hasLogged("listenerOpened", `"listener":"${listener}"`));
        assert.ok(run.hasLogged("started"));
    });
}

const paths = { readiness: "/readiness", directory: "/resolve", metrics: "/metrics" } as const;

// Callers that know the entry, and other entries, need none of these ports.
for (const listener of ["readiness", "directory", "metrics"] as const) {
    test(`a daemon whose ${listener} port is in use serves callers, and opens it once it is free`, async () => {
        const free = await holdPort(listener);
        const run = fixture.start();
        await waitUntilTried(run, listener, 2);
        await waitUntil("the daemon serves", async () => await fetchStatus("/look/1").catch(() => 0) === 200);
        assert.ok(run.hasLogged("started"));
        await free();
        await waitUntil(`${listener} can be asked`, async () => {
            const { statusCode, body } = await request(`http://${fixture.addressOf(listener)}${paths[listener]}`);
            await body.dump();
            return statusCode === 200;
        });
        assert.ok(run.hasLogged("listenerOpened", `"listener":"${listener}"`));
    });
}

// A supervisor may start the successor at once, while the predecessor finishes its requests.
test("a daemon started while its predecessor finishes after SIGTERM takes over from it", async () => {
    const predecessor = fixture.start();
    await waitUntilServing(predecessor);
    predecessor.child.kill("SIGTERM");
    await sleep(200);
    const successor = fixture.start();
    assert.equal(await predecessor.ended, 0);
    await waitUntilServing(successor);
});

// Whoever stops the daemon need not wait for a port that never becomes free.
test("SIGTERM ends a daemon that waits for a port, with exit code 0", async () => {
    await holdPort("callers");
    const run = fixture.start();
    await waitUntilTried(run, "callers", 2);
    const askedAt = performance.now();
    run.child.kill("SIGTERM");
    assert.equal(await run.ended, 0);
    assert.ok(performance.now() - askedAt < 2_000);
    assert.ok(run.hasLogged("exiting", "SIGTERM"));
});
