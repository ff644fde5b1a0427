/**
 * A daemon under clients that make it work out of proportion to what it serves. While they press, and again once they have left, it
 * lives, stays within the memory and descriptors of its settings, and answers ordinary requests. Nothing here depends on the
 * machine's speed: the time limits only end a run that hangs.
 */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { sendAhead, sendChunks, sendMixed, sendSlowly, sendTrailers } from "./clientFloods.js";
import {
    type ListenerName,
    type MemoryDeployment,
    type MemoryDeploymentOptions,
    startMemoryDeployment,
} from "./memoryDeployment.js";
import { type Behaviour, startOutsideCallers } from "./outsideCallers.js";

/** The default of the setting `limits.memoryMb`. */
const defaultMemoryMb = 350;
const bytesPerMb = 1_000_000;
const giveUpMs = 40_000;
const retryDelayMs = 100;
const sampleIntervalMs = 100;
const ordinaryBodyBytes = 1_000_000;
/** Statuses of a GET, a POST, and a GET to the listener that the clients press. */
const allServed = [200, 200, 200];

interface Flood {
    readonly network: string;
    readonly clients: number;
    readonly maxDescriptors: number;
    readonly behaviour: Behaviour;
    readonly options?: MemoryDeploymentOptions;
    /** Where the clients connect, and a path that this listener serves. */
    readonly listener?: ListenerName;
    readonly servedPath?: string;
}

/** Repeats a request until its status is 200 or `giveUpAt`; returns its last status, 0 where it got no response. */
async function repeatUntilServed(send: () => Promise<number>, giveUpAt: number): Promise<number> {
    let status = 0;
    while (status !== 200 && performance.now() < giveUpAt) {
        status = await Promise.race([send().catch(() => 0), sleep(giveUpAt - performance.now(), 0)]);
        await sleep(retryDelayMs);
    }
    return status;
}

interface ProcessPeak {
    readonly bytes: number;
    readonly descriptors: number;
}

/** Follows the process's memory and descriptors until the returned function is called. */
function followProcess(deployment: MemoryDeployment, hasEnded: () => boolean): () => ProcessPeak {
    let descriptors = 0;
    let bytes = 0;
    const samples = setInterval(() => {
        if (!hasEnded()) {
            descriptors = Math.max(descriptors, deployment.openDescriptors());
            bytes = deployment.peakResidentBytes();
        }
    }, sampleIntervalMs);
    return () => {
        clearInterval(samples);
        return { bytes, descriptors };
    };
}

async function assertServes(context: TestContext, flood: Flood): Promise<void> {
    const { listener = "callers", maxDescriptors, options = {} } = flood;
    const deployment = await startMemoryDeployment(flood.network, maxDescriptors, options);
    context.after(deployment.close);
    const { child } = deployment;
    const hasEnded = (): boolean => child.exitCode !== null || child.signalCode !== null;
    const endSamples = followProcess(deployment, hasEnded);
    const clients = startOutsideCallers(flood.clients, () => deployment.connectTo(listener), flood.behaviour);
    context.after(() => {
        endSamples();
        clients.stop();
    });
    const fetchServedPath = (): Promise<number> =>
        flood.servedPath === undefined ? Promise.resolve(200) : deployment.fetchStatus(listener, flood.servedPath);
    const sendOrdinary = async (): Promise<readonly number[]> => {
        const giveUpAt = performance.now() + giveUpMs;
        const statuses: number[] = [];
        for (const send of [deployment.sendSmall, () => deployment.sendBody(ordinaryBodyBytes), fetchServedPath]) {
            statuses.push(await repeatUntilServed(send, giveUpAt));
        }
        return statuses;
    };
    await Promise.race([clients.firstRound, sleep(giveUpMs)]);
    const during = await sendOrdinary();
    clients.stop();
    const after = await sendOrdinary();
    const peak = endSamples();
    const megabytes = Math.round(peak.bytes / bytesPerMb);
    context.diagnostic(`${megabytes} MB, ${peak.descriptors} descriptors, ${JSON.stringify({ during, after })}`);
    assert.ok(!hasEnded(), `the daemon ended by itself: ${child.signalCode ?? child.exitCode}`);
    assert.ok(megabytes < (options.memoryMb ?? defaultMemoryMb), `${megabytes} MB resident`);
    assert.ok(peak.descriptors < maxDescriptors, `${peak.descriptors} descriptors`);
    assert.deepEqual({ during, after }, { during: allServed, after: allServed }, "ordinary requests are answered");
}

const servicePath = "/a/10";

// Guards against a process that parses what a few clients sent for minutes, and answers nobody meanwhile.
test("1,000,000 chunks of 1 byte in each body, which stops one short", context =>
    assertServes(context, {
        network: "127.0.161",
        clients: 60,
        maxDescriptors: 1_200,
        behaviour: sendChunks(servicePath, 1, 1_000_000 - 1),
    }));

test("300,000 chunks of 3 bytes in each body, which stays open", context =>
    assertServes(context, {
        network: "127.0.162",
        clients: 60,
        maxDescriptors: 1_200,
        behaviour: sendChunks(servicePath, 3, 300_000),
    }));

test("small chunks, large chunks, trailers, requests ahead and slow bodies at once, on 210 connections", context =>
    assertServes(context, {
        network: "127.0.163",
        clients: 210,
        maxDescriptors: 1_200,
        behaviour: sendMixed([
            sendChunks(servicePath, 1, 1_000_000 - 1),
            sendChunks(servicePath, 64 * 1_024, 15),
            sendTrailers(servicePath),
            sendAhead(4_000, 100_000),
            sendSlowly({ firstBytes: 900_000, bytesPerTick: 200, tickMs: 1_000 }),
        ]),
    }));

// Guards against processor time for bodies that a listener has no use for.
for (
    const { listener, network, servedPath } of [
        { listener: "readiness", network: "127.0.164", servedPath: "/readiness" },
        { listener: "directory", network: "127.0.165", servedPath: "/resolve" },
        { listener: "control", network: "127.0.166", servedPath: "/status" },
        { listener: "metrics", network: "127.0.167", servedPath: "/metrics" },
    ] as const
) {
    test(`bodies of 1-byte chunks to the ${listener} listener, which takes none`, async context => {
        let wholeBodies = 0;
        await assertServes(context, {
            network,
            clients: 60,
            maxDescriptors: 1_200,
            behaviour: sendChunks(servedPath, 1, 1_000_000 - 1, () => {
                wholeBodies++;
            }),
            listener,
            servedPath,
        });
        assert.equal(wholeBodies, 0, "bodies that were received to their last chunk");
    });
}

// Guards against memory that 64 bytes a second are enough to hold.
test("bodies that arrive at 200 bytes a second behind their first 917 KB", context =>
    assertServes(context, {
        network: "127.0.168",
        clients: 300,
        maxDescriptors: 1_200,
        behaviour: sendSlowly({ firstBytes: 917_000, bytesPerTick: 20, tickMs: 100 }),
    }));

// Guards against an ordinary request that is refused since connections with requests ahead have taken every slot.
for (
    const { network, answerBytes } of [{ network: "127.0.169", answerBytes: 5 }, { network: "127.0.170", answerBytes: 100_000 }]
) {
    test(`requests sent ahead on 30 connections to targets with 8 slots, unread responses of ${answerBytes} bytes`, context =>
        assertServes(context, {
            network,
            clients: 30,
            maxDescriptors: 1_200,
            behaviour: sendAhead(4_000, answerBytes),
            options: { targetCount: 2, slotsPerTarget: 4, workMs: 50 },
        }));
}

// Guards against requests without a body that are refused since others' bodies fill the memory.
test("bodies that stop short and fill the memory for bodies, in a process with little memory", context =>
    assertServes(context, {
        network: "127.0.171",
        clients: 100,
        maxDescriptors: 1_200,
        behaviour: sendChunks(servicePath, 64 * 1_024, 14),
        options: { memoryMb: 200 },
    }));

// Guards against connections that nobody else gets while their requests' bodies have stopped.
test("bodies that stop after 6,000 bytes, on all of the callers' connections", context =>
    assertServes(context, {
        network: "127.0.172",
        clients: 400,
        maxDescriptors: 400,
        behaviour: sendChunks(servicePath, 6_000, 1),
    }));

test("unread responses of 100 KB, 20 requests on each of 500 connections", context =>
    assertServes(context, {
        network: "127.0.173",
        clients: 500,
        maxDescriptors: 1_200,
        behaviour: sendAhead(20, 100_000),
    }));
