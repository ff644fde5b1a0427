/**
 * `npm run demo -- [small|karoo|sikasem] [--trace]`: the whole path as separate processes under load, with a drain, a
 * graceful stop and a kill; prints what happened and exits with 1 when a promise was broken.
 */
import { type Caller, createCaller } from "@pimentospring/standin/load/caller";
import { type ClassReport, startLoad } from "@pimentospring/standin/load/load";
import type { TargetCounts } from "@pimentospring/standin/target/target";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { printTrace } from "./demoTrace.js";
import { createDeployment, type Deployment, startAll } from "./deployment.js";

interface Promised {
    readonly text: string;
    readonly isKept: boolean;
    readonly detail: string;
}

const loadMs = 12_000;
const perSecondPerSlot = 12;
/** The demo's callers are one process beside all others on one machine, and have to keep up themselves. */
const mostPerSecond = 1_200;
const seed = 20261204;
/** Share of requests that must be answered although an entry is stopped and another killed. */
const leastAnswered = 0.99;

const say = (text: string): void => void process.stdout.write(`${text}\n`);

async function main(): Promise<number> {
    const args = process.argv.slice(2);
    const name = args.find(arg => !arg.startsWith("--")) ?? "small";
    const withTrace = args.includes("--trace");
    const deployment = await createDeployment({ name, traceShare: withTrace ? 0.001 : 0 });
    try {
        const promises = await play(deployment);
        if (withTrace) {
            await printTrace(deployment);
        }
        say("");
        promises.forEach(promise => say(`${promise.isKept ? "kept  " : "BROKEN"}  ${promise.text}  (${promise.detail})`));
        return promises.every(promise => promise.isKept) ? 0 : 1;
    }
    finally {
        await deployment.close();
    }
}

async function play(deployment: Deployment): Promise<Promised[]> {
    const { file, document } = deployment;
    say(`starting ${document.targets.length} targets and ${file.entries.length} entries`);
    await startAll(deployment);
    const applied = await deployment.pimento("apply", deployment.documentFile);
    say(applied.stdout.trim().split("\n").pop()! + applied.stderr);
    const appliedAt = performance.now();
    const waited = await deployment.pimento("status", "--wait");
    const inForceMs = performance.now() - appliedAt;
    say(`in force everywhere after ${inForceMs.toFixed(0)} ms (the command line's own start included)`);
    say(waited.stdout);

    const callers = document.callerBlocks.map(block =>
        createCaller({
            address: block.prefix.split("/")[0]!.replace(/0$/, "9"),
            entries: file.entries.filter(entry => entry.dataCentre === block.dataCentre).map(entry => `http://${entry.callers}`)
                .concat(file.entries.map(entry => `http://${entry.callers}`)),
            now: () => performance.now(),
        })
    );
    const slots = document.targets.reduce((sum, target) => sum + target.slots, 0);
    const perSecond = Math.min(mostPerSecond, slots * perSecondPerSlot);
    say(`load: ${perSecond.toFixed(0)} requests a second for ${loadMs / 1000} s, seed ${seed}`);
    const usedBefore = performance.eventLoopUtilization();
    const load = startLoad({
        callers,
        classes: file.load,
        requestsPerSecond: perSecond,
        durationMs: loadMs,
        seed,
        now: () => performance.now(),
    });
    const events = await disturb(deployment);
    const reports = await load.done;
    const busy = performance.eventLoopUtilization(usedBefore).utilization;
    const counts = await readCounts(deployment);
    printReports(reports);
    say(`the process of the callers was busy ${(100 * busy).toFixed(0)}% of the time`);
    await closeAll(callers);
    return [
        {
            text: "the document was applied and came into force",
            isKept: applied.code === 0 && waited.code === 0,
            detail: `exit ${waited.code}`,
        },
        ...events,
        ...judge(reports, counts),
    ];
}

/** Drains a target, stops an entry and kills another while the load runs. */
async function disturb(deployment: Deployment): Promise<Promised[]> {
    const { document, file } = deployment;
    await sleep(2_000);
    const drained = document.targets[0]!;
    const drain = await deployment.pimento("drain", "target", drained.id);
    say(`drain of ${drained.id}: ${drain.stdout.trim().split("\n").pop()}`);
    await sleep(3_000);
    const before = await readTarget(drained.address);
    await sleep(1_000);
    const after = await readTarget(drained.address);
    const stopping = file.entries[0]!;
    say(`SIGTERM to the entry ${stopping.mesh}`);
    const stopped = deployment.entry(stopping.mesh);
    stopped.process.kill("SIGTERM");
    const code = await stopped.ended;
    say(`the entry ended with ${code}`);
    const killing = file.entries.find(entry => entry.dataCentre !== stopping.dataCentre)!;
    say(`SIGKILL to the entry ${killing.mesh}`);
    deployment.entry(killing.mesh).process.kill("SIGKILL");
    return [
        {
            text: "3 s after the drain the target gets no new work",
            isKept: drain.code === 0 && after.started === before.started,
            detail: `${after.started - before.started} requests started in the next second`,
        },
        { text: "a stopped entry cuts off nothing", isKept: code === 0, detail: `exit ${code}` },
    ];
}

async function readTarget(address: string): Promise<TargetCounts> {
    const answer = await request(`http://${address}/counts`);
    return await answer.body.json() as TargetCounts;
}

const readCounts = (deployment: Deployment): Promise<TargetCounts[]> =>
    Promise.all(deployment.document.targets.map(target => readTarget(target.address)));

function judge(reports: readonly ClassReport[], counts: readonly TargetCounts[]): Promised[] {
    const sum = (read: (report: ClassReport) => number): number => reports.reduce((total, report) => total + read(report), 0);
    const runTwice = counts.reduce((total, count) => total + count.runTwice, 0);
    const over = counts.reduce((total, count) => total + count.overSlots, 0);
    const wrong = sum(report => report.mismatchedAnswers);
    const sent = sum(report => report.sent);
    const answered = sum(report => report.answered);
    const lost = sum(report => report.sent - report.answered - report.notRun - report.unknown);
    return [
        {
            text: "nearly every request was answered, whatever failed",
            isKept: answered >= leastAnswered * sent,
            detail: `${answered} of ${sent}`,
        },
        { text: "at-most-once work ran at most once", isKept: runTwice === 0, detail: `${runTwice} ran twice` },
        { text: "no target was pushed past its slots", isKept: over === 0, detail: `${over} requests came to a full target` },
        { text: "every caller got its own answer", isKept: wrong === 0, detail: `${wrong} answers to other requests` },
        {
            text: "every request was answered or told",
            isKept: lost === 0,
            detail: `${lost} of ${sum(report => report.sent)} lost`,
        },
    ];
}

function printReports(reports: readonly ClassReport[]): void {
    const row = (cells: readonly string[]): void =>
        say(cells.map((cell, at) => at === 0 ? cell.padEnd(10) : cell.padStart(9)).join(""));
    say("");
    row(["class", "sent", "answered", "not run", "unknown", "tries", "p50 ms", "p99 ms", "max ms"]);
    const ms = (micros: number): string => (micros / 1000).toFixed(1);
    for (const report of reports) {
        row([
            report.name,
            String(report.sent),
            String(report.answered),
            String(report.notRun),
            String(report.unknown),
            String(report.attempts),
            ms(report.latency.getValueAtPercentile(50)),
            ms(report.latency.getValueAtPercentile(99)),
            ms(report.latency.maxValue),
        ]);
    }
}

const closeAll = (callers: readonly Caller[]) => Promise.all(callers.map(caller => caller.close()));

process.exitCode = await main();
