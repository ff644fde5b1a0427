/** A daemon under more callers, bytes and connections than it can hold: its resident size stays below the machine's limit. */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { type MemoryDeployment, startMemoryDeployment } from "./memoryDeployment.js";

const maxResidentBytes = 350_000_000;
const loadMs = 15_000;

async function start(context: TestContext, network: string, maxDescriptors?: number): Promise<MemoryDeployment> {
    const deployment = await startMemoryDeployment(network, maxDescriptors);
    context.after(deployment.close);
    return deployment;
}

function assertWithinMemory({ child, peakResidentBytes }: MemoryDeployment): void {
    assert.equal(child.exitCode ?? child.signalCode, null, "the daemon ended by itself");
    const peakBytes = peakResidentBytes();
    assert.ok(peakBytes < maxResidentBytes, `${Math.round(peakBytes / 1_000_000)} MB resident`);
}

// Guards against FAULT: responses that callers had yet to read were not counted, and the process was killed.
test("a daemon whose callers read large answers slowly stays within its memory", async context => {
    const deployment = await start(context, "127.0.142");
    const until = performance.now() + loadMs;
    const counts = await deployment.readSlowly(400, 16_000_000, 64 * 1_024, until);
    context.diagnostic(JSON.stringify(counts));
    assertWithinMemory(deployment);
    assert.ok(counts.whole > 0);
    assert.equal(await deployment.sendSmall(), 200);
});

test("a daemon with slow readers and large request bodies at once stays within its memory", async context => {
    const deployment = await start(context, "127.0.143");
    const until = performance.now() + loadMs;
    const [counts, uploads] = await Promise.all([
        deployment.readSlowly(400, 16_000_000, 64 * 1_024, until),
        deployment.upload(20, 20_000_000, until),
    ]);
    context.diagnostic(JSON.stringify({ counts, uploads }));
    assertWithinMemory(deployment);
    assert.ok(uploads.whole > 0);
    await sleep(1_000);
    assert.equal(await deployment.sendSmall(), 200);
});

// Guards against FAULT: callers' connections took all descriptors, so that no target and not even the settings could be reached.
test("callers that open more connections than the daemon has descriptors leave it those that it needs to serve others", async context => {
    const maxDescriptors = 600;
    const deployment = await start(context, "127.0.144", maxDescriptors);
    const sockets = await deployment.openConnections(maxDescriptors + 100);
    context.after(() => sockets.forEach(socket => socket.destroy()));
    const statuses: number[] = [];
    for (let call = 0; call < 20; call++) {
        statuses.push(await deployment.sendSmall().catch(() => 0));
        await sleep(50);
    }
    assert.equal(deployment.child.exitCode, null, "the daemon ended by itself");
    assert.doesNotMatch(deployment.log(), /"event":(742|900)/);
    assert.ok(statuses.filter(status => status === 200).length >= 15, statuses.join(" "));
});

// Guards against FAULT: the heads of unfinished requests are counted nowhere, and filled the heap until the runtime ended the process.
test("callers that send large heads and never finish them do not end the daemon", async context => {
    const deployment = await start(context, "127.0.145");
    const sockets = await deployment.openConnections(2_900);
    context.after(() => sockets.forEach(socket => socket.destroy()));
    const fields = Array.from({ length: 1_050 }, (_, index) => `x-field-${index}: ${"v".repeat(40)}\r\n`).join("");
    for (const socket of sockets) {
        socket.write(`GET /a/1 HTTP/1.1\r\n${fields}`);
        if (socket.writableNeedDrain) {
            await sleep(1);
        }
    }
    await sleep(5_000);
    assertWithinMemory(deployment);
    sockets.forEach(socket => socket.destroy());
    await sleep(1_500);
    assert.equal(await deployment.sendSmall(), 200);
});

// A response that is being received took half of the memory for responses, so that every other request was refused.
test("a large response that stalls does not have other requests refused", async context => {
    const deployment = await start(context, "127.0.146");
    deployment.sendStalled();
    await sleep(1_000);
    assert.match(await deployment.metrics(), /pimento_received_response_bytes 2\d{7}/);
    assert.equal(await deployment.sendSmall(), 200);
});
