/**
 * A daemon under callers that do not keep to its limits: it lives, stays within the memory and descriptors of its settings, and
 * answers an ordinary request. Nothing here depends on the machine's speed: the time limits only end a run that hangs.
 */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { type MemoryDeployment, startMemoryDeployment } from "./memoryDeployment.js";
import { type Behaviour, requestHead, startOutsideCallers } from "./outsideCallers.js";

/** The default of the setting `limits.memoryMb`. */
const maxResidentBytes = 350_000_000;
const giveUpMs = 40_000;
const retryDelayMs = 100;
const descriptorSampleMs = 100;
const ordinaryBodyBytes = 1_000_000;
/** Time for callers that never end their requests. */
const endlessMs = 4_000;

interface Scenario {
    readonly network: string;
    readonly callers: number;
    readonly maxDescriptors: number;
    readonly behaviour: Behaviour;
}

/** Status of an ordinary request, which is sent again while it is refused or gets no response; 0 if it never got one. */
async function sendOrdinary({ sendBody }: MemoryDeployment): Promise<number> {
    const giveUpAt = performance.now() + giveUpMs;
    let status = 0;
    while (status !== 200 && performance.now() < giveUpAt) {
        status = await Promise.race([sendBody(ordinaryBodyBytes).catch(() => 0), sleep(giveUpAt - performance.now(), 0)]);
        await sleep(retryDelayMs);
    }
    return status;
}

async function assertHolds(context: TestContext, { network, callers, maxDescriptors, behaviour }: Scenario): Promise<void> {
    const deployment = await startMemoryDeployment(network, maxDescriptors);
    context.after(deployment.close);
    const { child } = deployment;
    const hasEnded = (): boolean => child.exitCode !== null || child.signalCode !== null;
    let peakDescriptors = 0;
    let peakBytes = 0;
    const samples = setInterval(() => {
        if (!hasEnded()) {
            peakDescriptors = Math.max(peakDescriptors, deployment.openDescriptors());
            peakBytes = deployment.peakResidentBytes();
        }
    }, descriptorSampleMs);
    const outside = startOutsideCallers(callers, deployment.connectCaller, behaviour);
    context.after(() => {
        clearInterval(samples);
        outside.stop();
    });
    await Promise.race([outside.firstRound, sleep(giveUpMs)]);
    const status = hasEnded() ? 0 : await sendOrdinary(deployment);
    context.diagnostic(`${Math.round(peakBytes / 1_000_000)} MB, ${peakDescriptors} descriptors, status ${status}`);
    assert.ok(!hasEnded(), `the daemon ended by itself: ${child.signalCode ?? child.exitCode}`);
    assert.ok(peakBytes < maxResidentBytes, `${Math.round(peakBytes / 1_000_000)} MB resident`);
    assert.ok(peakDescriptors < maxDescriptors, `${peakDescriptors} descriptors`);
    assert.equal(status, 200, "an ordinary request is answered");
}

const chunkedHead = (caller: number): string =>
    requestHead("POST", `/a/10/${caller}`, `X-Request-Id: c${caller}`, "Transfer-Encoding: chunked");
const chunkOf = (bytes: number): string => `${bytes.toString(16)}\r\n${"x".repeat(bytes)}\r\n`;
const times = (count: number, text: string): string => text.repeat(count);

/** Sends `head` and then pieces for as long as the connection is open. */
function endless(head: (caller: number) => string, piece: string, intervalMs = 0): Behaviour {
    return async ({ write, isOpen }, caller) => {
        await write(head(caller));
        const isFirstRoundOver = performance.now() + endlessMs;
        const send = async (): Promise<void> => {
            await write(piece);
            await sleep(intervalMs);
        };
        while (isOpen() && performance.now() < isFirstRoundOver) {
            await send();
        }
        void (async () => {
            while (isOpen()) {
                await send();
            }
        })();
    };
}

// Guards against FAULT: each chunk was kept as a buffer of its own, a hundred times its size, and counted by its bytes.
test("bodies in 1-byte chunks that stop short and stay open", context =>
    assertHolds(context, {
        network: "127.0.150",
        callers: 60,
        maxDescriptors: 1_200,
        behaviour: async ({ write }, caller) => {
            await write(chunkedHead(caller));
            // Until the heads of all of them have been accepted.
            await sleep(1_000);
            for (let part = 0; part < 10; part++) {
                await write(times(10_000, chunkOf(1)));
            }
        },
    }));

// Guards against a daemon that refuses every other body for as long as such callers come back.
test("bodies in large chunks that stop short and stay open", context =>
    assertHolds(context, {
        network: "127.0.151",
        callers: 200,
        maxDescriptors: 1_200,
        behaviour: async ({ write }, caller) => {
            await write(chunkedHead(caller));
            for (let part = 0; part < 8; part++) {
                await write(chunkOf(64 * 1_024));
            }
        },
    }));

const requestsAhead = 4_000;

function pipeline(answerBytes: number): Behaviour {
    return async ({ write, stopReading }, caller) => {
        stopReading();
        for (let request = 0; request < requestsAhead; request++) {
            const id = `${caller}-${request}-${performance.now()}`;
            await write(requestHead("GET", `/a/${answerBytes}/${id}`, `X-Request-Id: ${id}`, `X-Affinity-Key: key-${id}`));
        }
    };
}

// Guards against FAULT: requests sent ahead were all started and their responses all kept, and callers with one request got none.
for (
    const { network, callers, answerBytes } of [
        { network: "127.0.152", callers: 2, answerBytes: 100 },
        { network: "127.0.153", callers: 20, answerBytes: 100 },
        { network: "127.0.154", callers: 20, answerBytes: 100_000 },
    ]
) {
    test(`${requestsAhead} requests sent ahead on ${callers} connections, unread responses of ${answerBytes} bytes`, context =>
        assertHolds(context, { network, callers, maxDescriptors: 1_200, behaviour: pipeline(answerBytes) }));
}

const bodyEnd = `${chunkOf(1)}0\r\n`;

// Guards against connections that are held for as long as trailers come: all of the callers' connections can be taken so.
for (
    const { name, network, piece, intervalMs } of [
        {
            name: "large trailers without end",
            network: "127.0.155",
            piece: times(20, `a: ${"v".repeat(1_000)}\r\n`),
            intervalMs: 0,
        },
        { name: "a trailer of blanks without end", network: "127.0.156", piece: " ".repeat(1_000), intervalMs: 5 },
        { name: "one short trailer every 5 ms", network: "127.0.157", piece: "a: b\r\n", intervalMs: 5 },
    ]
) {
    test(`${name}, on all of the callers' connections`, context =>
        assertHolds(context, {
            network,
            callers: 160,
            maxDescriptors: 400,
            behaviour: endless(
                caller => `${chunkedHead(caller)}${bodyEnd}${name.includes("blanks") ? "a:" : ""}`,
                piece,
                intervalMs,
            ),
        }));
}

test("chunk extensions without end, on all of the callers' connections", context =>
    assertHolds(context, {
        network: "127.0.158",
        callers: 160,
        maxDescriptors: 400,
        behaviour: endless(chunkedHead, `1;${"e".repeat(10_000)}\r\nx\r\n`, 5),
    }));

test("message heads without end, on all of the callers' connections", context =>
    assertHolds(context, {
        network: "127.0.159",
        callers: 160,
        maxDescriptors: 400,
        behaviour: endless(() => "GET /a/10 HTTP/1.1\r\nHost: a.example\r\n", "b: c\r\n", 5),
    }));

// Guards against connections that the runtime takes for used, and the daemon for idle, while blank lines arrive.
test("blank lines without end behind an answered request, on all of the callers' connections", context =>
    assertHolds(context, {
        network: "127.0.160",
        callers: 160,
        maxDescriptors: 400,
        behaviour: endless(caller => requestHead("GET", `/a/10/${caller}`, `X-Request-Id: c${caller}`), "\r\n", 50),
    }));
