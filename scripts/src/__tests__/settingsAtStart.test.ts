/** The steering daemon as a process, started with a settings file that can't be used, or not in all parts. */
import { startStoreStandin, type StoreStandin } from "@pimentospring/standin/direct/storeStandin";
import assert from "node:assert/strict";
import { rmSync } from "node:fs";
import { after, afterEach, before, beforeEach, test } from "node:test";
import { createDaemonFixture, type DaemonFixture, type DaemonRun } from "./daemonProcess.js";
import { waitUntil } from "./steeringFleet.js";

let store: StoreStandin;
let fixture: DaemonFixture;

before(async () => {
    store = await startStoreStandin("127.0.141.29");
});
after(() => store.close());
beforeEach(() => {
    fixture = createDaemonFixture("127.0.141.21", store.address);
});
afterEach(() => fixture.close());

async function waitUntilLogged(run: DaemonRun, event: string, ...texts: readonly string[]): Promise<void> {
    await waitUntil(`${event} is logged`, () => run.hasEnded() || run.hasLogged(event, ...texts));
    assert.equal(run.hasEnded(), false, run.output());
    assert.ok(run.hasLogged(event, ...texts));
}

const replaceLine = (text: string, start: string, line: string): string =>
    text.split("\n").map(old => old.startsWith(start) ? line : old).join("\n");

const unusable: readonly { readonly what: string; readonly write: () => void; readonly says: string; }[] = [
    { what: "is missing", write: () => rmSync(fixture.settingsFile, { force: true }), says: "ENOENT" },
    { what: "is empty", write: () => fixture.writeSettings(""), says: "name is missing" },
    {
        what: "is cut in an address",
        write: () => fixture.writeSettings(fixture.settingsText().slice(0, -60)),
        says: "not valid TOML",
    },
    {
        what: "has no store",
        write: () => fixture.writeSettings(replaceLine(fixture.settingsText(), "store", "store = ")),
        says: "not valid TOML",
    },
    {
        what: "names a store that is no address",
        write: () => fixture.writeSettings(replaceLine(fixture.settingsText(), "store", "store = \"localhost:8142\"")),
        says: "store must be",
    },
    {
        what: "names a port that does not exist",
        write: () => fixture.writeSettings(replaceLine(fixture.settingsText(), "control", "control = \"127.0.141.21:71000\"")),
        says: "listen.control must be",
    },
];

for (const { what, write, says } of unusable) {
    // Whoever writes the file may not have finished, and may correct it.
    test(`a daemon whose settings file ${what} says so, waits, and starts when the file is valid`, async () => {
        fixture.writeSettings(fixture.settingsText());
        write();
        const run = fixture.start();
        await waitUntilLogged(run, "settingsAwaited", says);
        fixture.writeSettings(fixture.settingsText());
        await waitUntilLogged(run, "settingsFound");
        await waitUntilLogged(run, "started");
        assert.equal(run.output().split("\"settingsAwaited\"").length - 1, 1, "the same fault was told more than once");
    });
}

// A daemon that waits has nothing to finish.
test("SIGTERM ends a daemon that waits for its settings, with exit code 0", async () => {
    const run = fixture.start();
    await waitUntilLogged(run, "settingsAwaited");
    run.child.kill("SIGTERM");
    assert.equal(await run.ended, 0);
    assert.ok(run.hasLogged("exiting", "SIGTERM"));
});

// Without a path there is nothing to wait for.
test("without PIMENTOSPRING_CONFIG the daemon ends with exit code 3 and says why", async () => {
    const run = fixture.start({});
    assert.equal(await run.ended, 3);
    assert.ok(run.hasLogged("exiting", "PIMENTOSPRING_CONFIG", "\"code\":3"));
});

const faultyBounds: readonly { readonly line: string; readonly key: string; readonly used: string; }[] = [
    { line: "retryRatio = \"0.2\"", key: "bounds.retryRatio", used: "0.2" },
    { line: "retryRatio = 1.5", key: "bounds.retryRatio", used: "0.2" },
    { line: "retryRatio = true", key: "bounds.retryRatio", used: "0.2" },
    { line: "stopGrace = \"1m\"", key: "bounds.stopGrace", used: "6000" },
    { line: "newBound = 1", key: "bounds.newBound", used: "" },
];

for (const { line, key, used } of faultyBounds) {
    // One bound concerns one part; its usual value is better than no entry.
    test(`a daemon starts with the default of a bound that it doesn't understand: ${line}`, async () => {
        fixture.writeSettings(fixture.settingsText("[bounds]", line, "retrySlack = 7"));
        const run = fixture.start();
        await waitUntilLogged(run, "started");
        assert.ok(run.hasLogged("settingDefaulted", `"key":"${key}"`, `"default":"${used}"`), run.output());
    });
}

// The old value of the one bound stays; the rest of the file is in force.
test("a bound that isn't understood in a changed file keeps its old value and holds up no other change", async () => {
    fixture.writeSettings(fixture.settingsText("[bounds]", "retryRatio = 0.1"));
    const run = fixture.start();
    await waitUntilLogged(run, "started");
    fixture.writeSettings(fixture.settingsText("cpt-b = \"cpt\"", "[bounds]", "retryRatio = \"many\"", "regionShift = 0.5"));
    run.child.kill("SIGHUP");
    await waitUntilLogged(run, "settingsRefused", "bounds.retryRatio", "0.1");
    await waitUntilLogged(run, "settingsTaken");
});
