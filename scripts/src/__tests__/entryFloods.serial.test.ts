/**
 * An entry of the product's own interface under clients that make it work out of proportion to what it serves. The time limits only
 * end a run that hangs.
 */
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { connect, type Socket } from "node:net";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { createDeployment, startDeployment } from "../deployment.js";
import { sendChunks } from "./clientFloods.js";
import { startOutsideCallers } from "./outsideCallers.js";

const clientCount = 60;
const giveUpMs = 40_000;
/** Time for the clients to fill what the systems between hold for them. */
const pressMs = 4_000;
const lookUpCount = 20;
/** One read of each client's connection. */
const maxBytesBefore = clientCount * 64 * 1_024;
const maxResidentMb = 350;
const kilobytesPerMb = 1_000;

interface LookUps {
    readonly statuses: readonly number[];
    readonly maxTakenBytes: number;
}

// Guards against an entry that parses what a few clients sent for minutes, and answers no look-up meanwhile.
test("endless bodies of 1-byte chunks to an entry, which answers look-ups meanwhile and afterwards", async context => {
    const deployment = await createDeployment({ name: "small" });
    context.after(() => deployment.close());
    await startDeployment(deployment);
    assert.equal((await deployment.runClient("apply", deployment.documentFile)).code, 0);
    assert.equal((await deployment.runClient("status", "--wait")).code, 0);
    const entry = deployment.file.entries[0]!;
    const { process: child } = deployment.entry(entry.mesh);
    const [host, port] = entry.callers.split(":");
    const sockets: Socket[] = [];
    /** Bytes that the clients have sent and the entry's system has taken. */
    const takenBytes = (): number => sockets.reduce((sum, socket) => sum + socket.bytesWritten - socket.writableLength, 0);
    /** Looks up one after the other; returns the statuses, 0 for none, and what the clients sent during the longest wait. */
    const lookUp = async (): Promise<LookUps> => {
        const statuses: number[] = [];
        let maxTakenBytes = 0;
        while (statuses.length < lookUpCount && !statuses.includes(0) && maxTakenBytes < maxBytesBefore) {
            const takenBefore = takenBytes();
            const url = `http://${entry.callers}/v1/lookup?caller=100.64.0.1`;
            const response = await Promise.race([request(url, { reset: true }), sleep(giveUpMs)]);
            await response?.body.dump();
            statuses.push(response?.statusCode ?? 0);
            maxTakenBytes = Math.max(maxTakenBytes, takenBytes() - takenBefore);
        }
        return { statuses, maxTakenBytes };
    };
    const clients = startOutsideCallers(
        clientCount,
        () => {
            const socket = connect(Number(port), host).on("error", () => {});
            sockets.push(socket);
            return socket;
        },
        sendChunks("/v1/lookup?caller=100.64.0.1", 1, Infinity),
    );
    context.after(clients.stop);
    await sleep(pressMs);
    const during = await lookUp();
    clients.stop();
    const after = await lookUp();
    assert.equal(child.exitCode, null);
    const status = readFileSync(`/proc/${child.pid}/status`, "utf8");
    const residentMb = Number(/VmHWM:\s+(\d+)/.exec(status)![1]) / kilobytesPerMb;
    context.diagnostic(`${Math.round(residentMb)} MB, ${JSON.stringify({ during, after })}`);
    assert.ok(residentMb < maxResidentMb, `${residentMb} MB resident`);
    const allAnswered = Array.from({ length: lookUpCount }, () => 200);
    assert.deepEqual([during.statuses, after.statuses], [allAnswered, allAnswered], "look-ups are answered");
    assert.ok(during.maxTakenBytes < maxBytesBefore, `${during.maxTakenBytes} bytes of the clients' went before a look-up`);
});
