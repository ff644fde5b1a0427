/** A log whose reader stops must not stop the program. */
import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { test } from "node:test";
import { fileURLToPath } from "node:url";

const sinkModule = new URL("../logSink.js", import.meta.url).href;

/** Writes 4 MB of lines to a pipe that nobody reads, and tells on standard error how that went. */
const program = `
import { createLogSink } from ${JSON.stringify(sinkModule)};
let dropped = 0;
const sink = createLogSink(1, () => { dropped++; });
const startedAt = performance.now();
for (let line = 0; line < 4000; line++) { sink("x".repeat(1000) + "\\n"); }
process.stderr.write(JSON.stringify({ dropped, tookMs: performance.now() - startedAt }));
process.exit(0);
`;

test("lines that nobody reads are dropped and counted, and writing them takes no time", async () => {
    const child = spawn(process.execPath, ["--input-type=module", "-e", program], {
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
