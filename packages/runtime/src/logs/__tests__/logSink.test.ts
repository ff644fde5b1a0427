/** Guards against log writes that block the program when the reader of its output stops reading. */
import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { test } from "node:test";
import { fileURLToPath } from "node:url";

const sinkModule = new URL("../logSink.js", import.meta.url).href;

/** Writes 4 MB of lines to a pipe that is not read and reports the result on standard error. */
const childSource = `
import { createLogSink } from ${JSON.stringify(sinkModule)};
let dropped = 0;
const sink = createLogSink(1, () => { dropped++; });
const startedAt = performance.now();
for (let line = 0; line < 4000; line++) { sink("x".repeat(1000) + "\\n"); }
process.stderr.write(JSON.stringify({ dropped, tookMs: performance.now() - startedAt }));
process.exit(0);
`;

test("unread lines are dropped and counted, and writing them does not block", async () => {
    const child = spawn(process.execPath, ["--input-type=module", "-e", childSource], {
        cwd: fileURLToPath(new URL(".", import.meta.url)),
        stdio: ["ignore", "pipe", "pipe"],
    });
    let report = "";
    child.stderr.on("data", chunk => {
        report += String(chunk);
    });
    await new Promise(resolve => child.once("exit", resolve));
    const { dropped, tookMs } = JSON.parse(report) as { readonly dropped: number; readonly tookMs: number; };
    assert.ok(dropped > 3_000, `${dropped} dropped`);
    assert.ok(tookMs < 2_000, `${tookMs} ms`);
});
