/** The steering daemon as a process, with signals that tell it to stop and signals that don't. */
import { startStoreStandin, type StoreStandin } from "@pimentospring/standin/direct/storeStandin";
import assert from "node:assert/strict";
import { after, afterEach, before, beforeEach, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { createDaemonFixture, type DaemonFixture, type DaemonRun } from "./daemonProcess.js";
import { waitUntil } from "./steeringFleet.js";

let store: StoreStandin;
let fixture: DaemonFixture;

before(async () => {
    store = await startStoreStandin("127.0.141.39");
});
after(() => store.close());
beforeEach(() => {
    fixture = createDaemonFixture("127.0.141.31", store.address);
    fixture.writeSettings(fixture.settingsText());
});
afterEach(() => fixture.close());

async function startDaemon(): Promise<DaemonRun> {
    const run = fixture.start();
    await waitUntil("the daemon has started", () => run.hasEnded() || run.hasLogged("started"));
    assert.equal(run.hasEnded(), false, run.output());
    return run;
}

for (const signal of ["SIGTERM", "SIGINT"] as const) {
    // A terminal, and some supervisors, stop a program with SIGINT.
    test(`${signal} stops the daemon in order, with exit code 0, and the log names it`, async () => {
        const run = await startDaemon();
        run.child.kill(signal);
        assert.equal(await run.ended, 0);
        assert.ok(run.hasLogged("stopping", `"signal":"${signal}"`));
        assert.ok(run.hasLogged("exiting", signal, "\"code\":0"));
    });
}

const ignored: readonly NodeJS.Signals[] = [
    "SIGUSR1",
    "SIGUSR2",
    "SIGALRM",
    "SIGVTALRM",
    "SIGPROF",
    "SIGIO",
    "SIGPWR",
    "SIGSTKFLT",
    "SIGXCPU",
    "SIGXFSZ",
];

for (const signal of ignored) {
    // Whatever such a signal was meant for, it doesn't say that the entry is to end.
    test(`${signal} does not end the daemon, and is logged`, async () => {
        const run = await startDaemon();
        run.child.kill(signal);
        await waitUntil("the signal has been handled", () => run.hasEnded() || run.hasLogged("signalIgnored", signal));
        assert.equal(run.hasEnded(), false, String(await Promise.race([run.ended, sleep(0)])));
        assert.equal(run.output().includes("Debugger listening"), false);
    });
}

// A reload is told of by its own events; Node ignores the other, which each write to a closed connection raises.
for (const signal of ["SIGHUP", "SIGPIPE"] as const) {
    test(`${signal} does not end the daemon`, async () => {
        const run = await startDaemon();
        run.child.kill(signal);
        run.child.kill("SIGUSR2");
        await waitUntil("a later signal has been handled", () => run.hasEnded() || run.hasLogged("signalIgnored", "SIGUSR2"));
        assert.equal(run.hasEnded(), false);
    });
}
