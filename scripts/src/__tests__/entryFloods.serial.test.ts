/**
 * An entry of the product's own interface under clients that make it work out of proportion to what it serves. The time limits only
 * end a run that hangs.
 */
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { connect } from "node:net";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { createDeployment, startDeployment } from "../deployment.js";
import { sendChunks } from "./clientFloods.js";
import { startOutsideCallers } from "./outsideCallers.js";

const clientCount = 60;
const giveUpMs = 40_000;
const lookUpCount = 40;
const maxResidentMb = 350;
const kilobytesPerMb = 1_000;

// Guards against an entry that parses what a few clients sent for minutes, and answers no look-up meanwhile.
test("1,000,000 chunks of 1 byte in each body to an entry, which answers look-ups meanwhile and afterwards", async context => {
    const deployment = await createDeployment({ name: "small" });
    context.after(() => deployment.close());
    await startDeployment(deployment);
    assert.equal((await deployment.runClient("apply", deployment.documentFile)).code, 0);
    assert.equal((await deployment.runClient("status", "--wait")).code, 0);
    const entry = deployment.file.entries[0]!;
    const { process: child } = deployment.entry(entry.mesh);
    const [host, port] = entry.callers.split(":");
    /** Looks up one after the other; returns how many were answered in time. */
    const lookUp = async (): Promise<number> => {
        const giveUpAt = performance.now() + giveUpMs;
        const url = `http://${entry.callers}/v1/lookup?caller=100.64.0.1`;
        let answered = 0;
        while (answered < lookUpCount && performance.now() < giveUpAt) {
            const response = await Promise.race([request(url, { reset: true }), sleep(giveUpAt - performance.now())]);
            await response?.body.dump();
            answered += response?.statusCode === 200 ? 1 : 0;
        }
        return answered;
    };
    const clients = startOutsideCallers(
        clientCount,
        () => connect(Number(port), host).on("error", () => {}),
        sendChunks("/v1/lookup?caller=100.64.0.1", 1, 1_000_000 - 1),
    );
    context.after(clients.stop);
    await Promise.race([clients.firstRound, sleep(giveUpMs)]);
    const during = await lookUp();
    clients.stop();
    const after = await lookUp();
    assert.equal(child.exitCode, null);
    const status = readFileSync(`/proc/${child.pid}/status`, "utf8");
    const residentMb = Number(/VmHWM:\s+(\d+)/.exec(status)![1]) / kilobytesPerMb;
    context.diagnostic(`${Math.round(residentMb)} MB, ${JSON.stringify({ during, after })}`);
    assert.ok(residentMb < maxResidentMb, `${residentMb} MB resident`);
    assert.deepEqual({ during, after }, { during: lookUpCount, after: lookUpCount }, "look-ups are answered");
});
