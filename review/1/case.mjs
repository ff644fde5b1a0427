/**
 * Servers reject part of their at-most-once requests though they are healthy, and some of them send an answer a second
 * time, late. A request that was refused with "not run" must never run.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { play } from "../lib/deployment.mjs";
import { createRandom, sendRequests, startDaemons, startService } from "../lib/load.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const recordFile = new URL("record.txt", import.meta.url);
const serverCount = 12;
/** `srv_grey`, how = "shed all". */
const shedShare = 0.35;
/** `garble`, how = "extra late": 7 of 12 servers, and under 3 in 100 of their answers. */
const garblingServers = 7;
const answersPerExtra = 34;
const extraMs = 5_000;
/** The load before, and the load in which servers reject and garble. */
const soundMs = 5_000;
const troubledMs = extraMs - 200;
const requestsPerSecond = 140;
/** With the sound load, longer than the 15 s for which a daemon avoids kept connections to a server that sent foreign answers. */
const pauseMs = 11_000;
const rounds = 4;
const objectCount = 24;
const promises = new Set([408, 421, 429, 503]);

async function run(deployment, record) {
    const random = createRandom(34);
    const runs = [];
    let isGarbling = false;
    /** Answers of the servers that send some once more. */
    let answers = 0;
    const repeats = index => isGarbling && index < garblingServers && ++answers % answersPerExtra === 0;
    await startService(
        { store: deployment.store, service: "tokens", count: serverCount, slots: 4, workMs: 150, record },
        index => ({
            onRun: ({ id }) => runs.push(id),
            shed: () => isGarbling && random() < shedShare,
            afterAnswer: (_request, answer) => repeats(index) ? answer : undefined,
            mayRepeat: () => isGarbling,
        }),
    );
    await startDaemons(deployment, [
        { prefix: "/redeem/", kind: "unsafe", service: "tokens", timeout: "1500ms", targetLatency: "400ms", stickySessions: true },
    ]);
    const outcomes = [];
    const send = async (phase, durationMs) => {
        const requestOf = number => ({
            id: `redeem-${phase}-${number}`,
            method: "POST",
            path: "/redeem/1",
            body: "one token",
            object: String(number % objectCount),
            deadlineMs: 2_500,
        });
        outcomes.push(...await sendRequests({ deployment, record, perSecond: requestsPerSecond, durationMs, requestOf }));
    };
    for (let round = 0; round < rounds; round++) {
        await send(`${round}-before`, soundMs);
        isGarbling = hasTrouble;
        record(isGarbling ? "servers reject and garble" : "servers stay sound");
        await send(`${round}-troubled`, troubledMs);
        isGarbling = false;
        record("servers are sound");
        await sleep(pauseMs);
    }
    const runCounts = new Map();
    runs.forEach(id => runCounts.set(id, (runCounts.get(id) ?? 0) + 1));
    const refusedAndRun = outcomes.filter(({ id, status }) => promises.has(status) && runCounts.has(id));
    const twice = [...runCounts].filter(([, count]) => count > 1);
    record(outcomes.length, "requests,", runs.length, "runs,", outcomes.filter(({ status }) => status === 200).length, "served");
    record(twice.length, "of them ran more than once");
    return refusedAndRun.map(({ id, status }) => `REFUSED ${id}: answered ${status} and has run`);
}

await play({ recordFile, hasTrouble, run });
