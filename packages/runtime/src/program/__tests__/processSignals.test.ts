/** A program whose stop fails, and one that is told to stop more than once. */
import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { test } from "node:test";

const moduleUrl = (path: string): string => new URL(path, import.meta.url).href;

/** Runs a program with the given `stop`, and sends it the signals. Resolves to its exit code and its output. */
function runProgram(
    stop: string,
    signals: readonly NodeJS.Signals[],
): Promise<{ readonly code: number | null; readonly output: string; }> {
    const source = `
        import { createLog } from ${JSON.stringify(moduleUrl("../../logs/log.js"))};
        import { handleProcessSignals } from ${JSON.stringify(moduleUrl("../processSignals.js"))};
        const log = createLog("program", "one", "info");
        process.on("unhandledRejection", () => {});
        handleProcessSignals({ log: () => log, stop: ${stop}, reload: () => {} });
        setTimeout(() => process.exit(99), 5_000);
        console.error("waits");
    `;
    const child = spawn(process.execPath, ["--input-type=module", "-e", source], { stdio: ["ignore", "ignore", "pipe"] });
    let output = "";
    let isSignalled = false;
    child.stderr.on("data", chunk => {
        output += String(chunk);
        if (!isSignalled && output.includes("waits")) {
            isSignalled = true;
            signals.forEach(signal => child.kill(signal));
        }
    });
    return new Promise(resolve => child.once("close", code => resolve({ code, output })));
}

// Without this the process would neither serve nor end.
test("a stop that fails ends the program with exit code 1 and its reason", async () => {
    const { code, output } = await runProgram("() => Promise.reject(new Error(\"the mesh is closed\"))", ["SIGTERM"]);
    assert.equal(code, 1, output);
    assert.match(output, /"name":"exiting","code":1,"reason":"the stop after SIGTERM failed: .*the mesh is closed/);
});

// An exception before the first await is no rejection.
test("a stop that throws ends the program with exit code 1 and its reason", async () => {
    const { code, output } = await runProgram("() => { throw new Error(\"no socket\"); }", ["SIGINT"]);
    assert.equal(code, 1, output);
    assert.match(output, /"name":"exiting","code":1,"reason":"the stop after SIGINT failed: .*no socket/);
});

// A supervisor may repeat the signal; requests must not be cut by that.
test("a second signal to stop changes nothing", async () => {
    const stop = "() => new Promise(resolve => setTimeout(() => resolve(0), 300))";
    const { code, output } = await runProgram(stop, ["SIGTERM", "SIGINT", "SIGTERM"]);
    assert.equal(code, 0, output);
    assert.equal(output.split("\"name\":\"stopping\"").length - 1, 1);
    assert.match(output, /"name":"exiting","code":0/);
});
