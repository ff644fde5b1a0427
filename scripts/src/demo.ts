/**
 * `npm run demo -- [small|karoo|sikasem] [--trace]`: runs a deployment as separate processes under load, drains a
 * target, lets another speak of itself, stops one entry gracefully and kills another; prints the outcome and exits with 1 if a check failed.
 */
import { type Caller, createCaller } from "@pimentospring/standin/load/caller";
import { type ClassReport, startLoad } from "@pimentospring/standin/load/load";
import type { TargetBehaviour, TargetCounts } from "@pimentospring/standin/target/target";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { printTrace } from "./demoTrace.js";
import { createDeployment, type Deployment, startDeployment } from "./deployment.js";

interface Check {
    readonly text: string;
    readonly hasPassed: boolean;
    readonly detail: string;
}

const loadDurationMs = 15_000;
const requestsPerSecondPerSlot = 12;
/** All callers share one process, and the machine with the deployment; a higher rate would measure that process. */
const maxRequestsPerSecond = 1_200;
const seed = 20261204;
/** Fraction of requests that must succeed although one entry is stopped and another killed. */
const minAnsweredRatio = 0.99;

const noticePauseMs = 1_000;
/** Requests of an entry that may reach a target half a second after it has asked for a pause. */
const maxRequestsInPause = 2;

const printLine = (text: string): void => void process.stdout.write(`${text}\n`);

async function main(): Promise<number> {
    const args = process.argv.slice(2);
    const name = args.find(arg => !arg.startsWith("--")) ?? "small";
    const isTraced = args.includes("--trace");
    const deployment = await createDeployment({ name, traceShare: isTraced ? 0.001 : 0 });
    try {
        const checks = await runDemo(deployment);
        if (isTraced) {
            await printTrace(deployment);
        }
        printLine("");
        checks.forEach(check => printLine(`${check.hasPassed ? "passed" : "FAILED"}  ${check.text}  (${check.detail})`));
        return checks.every(check => check.hasPassed) ? 0 : 1;
    }
    finally {
        await deployment.close();
    }
}

async function runDemo(deployment: Deployment): Promise<Check[]> {
    const { file, document } = deployment;
    printLine(`starting ${document.targets.length} targets and ${file.entries.length} entries`);
    await startDeployment(deployment);
    const applyResult = await deployment.runClient("apply", deployment.documentFile);
    printLine(applyResult.stdout.trim().split("\n").pop()! + applyResult.stderr);
    const appliedAt = performance.now();
    const statusResult = await deployment.runClient("status", "--wait");
    const inForceMs = performance.now() - appliedAt;
    printLine(`in force everywhere after ${inForceMs.toFixed(0)} ms (including the start-up of the command-line client)`);
    printLine(statusResult.stdout);

    const callers = document.callerBlocks.map(block =>
        createCaller({
            address: block.prefix.split("/")[0]!.replace(/0$/, "9"),
            entries: file.entries.filter(entry => entry.dataCentre === block.dataCentre).map(entry => `http://${entry.callers}`)
                .concat(file.entries.map(entry => `http://${entry.callers}`)),
            now: () => performance.now(),
        })
    );
    const slots = document.targets.reduce((sum, target) => sum + target.slots, 0);
    const requestsPerSecond = Math.min(maxRequestsPerSecond, slots * requestsPerSecondPerSlot);
    printLine(`load: ${requestsPerSecond.toFixed(0)} requests a second for ${loadDurationMs / 1000} s, seed ${seed}`);
    const utilizationBefore = performance.eventLoopUtilization();
    const load = startLoad({
        callers,
        classes: file.load,
        requestsPerSecond,
        durationMs: loadDurationMs,
        seed,
        now: () => performance.now(),
    });
    const faultChecks = await injectFaults(deployment);
    const reports = await load.done;
    const utilization = performance.eventLoopUtilization(utilizationBefore).utilization;
    const counts = await readAllCounts(deployment);
    printReports(reports);
    printLine(`callers' process: event loop ${(100 * utilization).toFixed(0)}% busy`);
    await closeAll(callers);
    return [
        {
            text: "the document was applied and came into force",
            hasPassed: applyResult.code === 0 && statusResult.code === 0,
            detail: `exit ${statusResult.code}`,
        },
        ...faultChecks,
        ...checkReports(reports, counts),
    ];
}

/** Drains a target, stops one entry with SIGTERM and kills another with SIGKILL while the load runs. */
async function injectFaults(deployment: Deployment): Promise<Check[]> {
    const { document, file } = deployment;
    await sleep(2_000);
    const drainedTarget = document.targets[0]!;
    const drainResult = await deployment.runClient("drain", "target", drainedTarget.id);
    printLine(`drain of ${drainedTarget.id}: ${drainResult.stdout.trim().split("\n").pop()}`);
    await sleep(3_000);
    const before = await readTargetCounts(drainedTarget.address);
    await sleep(1_000);
    const after = await readTargetCounts(drainedTarget.address);
    const noticeChecks = await showNotices(document.targets[1]!.address, file.entries.length);
    const stoppedEntry = file.entries[0]!;
    printLine(`SIGTERM to the entry ${stoppedEntry.mesh}`);
    const stoppedProgram = deployment.entry(stoppedEntry.mesh);
    stoppedProgram.process.kill("SIGTERM");
    const code = await stoppedProgram.exited;
    printLine(`the entry exited with ${code}`);
    const killedEntry = file.entries.find(entry => entry.dataCentre !== stoppedEntry.dataCentre)!;
    printLine(`SIGKILL to the entry ${killedEntry.mesh}`);
    deployment.entry(killedEntry.mesh).process.kill("SIGKILL");
    return [
        {
            text: "3 s after the drain order the target receives no new requests",
            hasPassed: drainResult.code === 0 && after.started === before.started,
            detail: `${after.started - before.started} requests started in the next second`,
        },
        ...noticeChecks,
        { text: "a stopped entry finishes its requests and exits with 0", hasPassed: code === 0, detail: `exit ${code}` },
    ];
}

/** Lets a target ask for a pause, and later say that it leaves; the document says nothing of either. */
async function showNotices(address: string, entryCount: number): Promise<Check[]> {
    await controlTarget(address, { shedAll: true, pauseMs: noticePauseMs });
    await sleep(noticePauseMs / 2);
    const inPause = await readTargetCounts(address);
    await sleep(noticePauseMs / 4);
    const laterInPause = await readTargetCounts(address);
    await controlTarget(address, { shedAll: false, pauseMs: 0 });
    await sleep(noticePauseMs);
    await controlTarget(address, { leaving: true });
    await sleep(noticePauseMs);
    const told = await readTargetCounts(address);
    await sleep(noticePauseMs);
    const later = await readTargetCounts(address);
    const refused = laterInPause.shed - inPause.shed;
    printLine(`${address} asked for a pause, then said that it leaves`);
    return [
        {
            text: "a target that asks for a pause is left alone by each entry that it has told",
            hasPassed: refused <= maxRequestsInPause * entryCount,
            detail: `${refused} requests in a quarter of the pause`,
        },
        {
            text: "a target that says it leaves receives no new requests",
            hasPassed: later.started === told.started,
            detail: `${later.started - told.started} requests started in the next second`,
        },
    ];
}

async function controlTarget(address: string, behaviour: TargetBehaviour): Promise<void> {
    const response = await request(`http://${address}/control`, { method: "POST", body: JSON.stringify(behaviour) });
    await response.body.dump();
}

async function readTargetCounts(address: string): Promise<TargetCounts> {
    const response = await request(`http://${address}/counts`);
    return await response.body.json() as TargetCounts;
}

const readAllCounts = (deployment: Deployment): Promise<TargetCounts[]> =>
    Promise.all(deployment.document.targets.map(target => readTargetCounts(target.address)));

function checkReports(reports: readonly ClassReport[], counts: readonly TargetCounts[]): Check[] {
    const sum = (read: (report: ClassReport) => number): number => reports.reduce((total, report) => total + read(report), 0);
    const runTwice = counts.reduce((total, count) => total + count.runTwice, 0);
    const overSlots = counts.reduce((total, count) => total + count.overSlots, 0);
    const mismatched = sum(report => report.mismatchedAnswers);
    const sent = sum(report => report.sent);
    const answered = sum(report => report.answered);
    const lost = sum(report => report.sent - report.answered - report.notRun - report.unknown);
    return [
        {
            text: "at least 99% of requests were answered despite the faults",
            hasPassed: answered >= minAnsweredRatio * sent,
            detail: `${answered} of ${sent}`,
        },
        { text: "at-most-once requests ran at most once", hasPassed: runTwice === 0, detail: `${runTwice} ran twice` },
        {
            text: "no target received more requests than it has slots",
            hasPassed: overSlots === 0,
            detail: `${overSlots} requests reached a full target`,
        },
        {
            text: "every caller received the response to its own request",
            hasPassed: mismatched === 0,
            detail: `${mismatched} mismatched responses`,
        },
        {
            text: "every request was answered or its outcome was reported",
            hasPassed: lost === 0,
            detail: `${lost} of ${sent} lost`,
        },
    ];
}

function printReports(reports: readonly ClassReport[]): void {
    const printRow = (cells: readonly string[]): void =>
        printLine(cells.map((cell, column) => column === 0 ? cell.padEnd(10) : cell.padStart(9)).join(""));
    printLine("");
    printRow(["class", "sent", "answered", "not run", "unknown", "attempts", "p50 ms", "p99 ms", "max ms"]);
    const formatMs = (micros: number): string => (micros / 1000).toFixed(1);
    for (const report of reports) {
        printRow([
            report.name,
            String(report.sent),
            String(report.answered),
            String(report.notRun),
            String(report.unknown),
            String(report.attempts),
            formatMs(report.latency.getValueAtPercentile(50)),
            formatMs(report.latency.getValueAtPercentile(99)),
            formatMs(report.latency.maxValue),
        ]);
    }
}

const closeAll = (callers: readonly Caller[]) => Promise.all(callers.map(caller => caller.close()));

process.exitCode = await main();
