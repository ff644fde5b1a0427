/** Open-loop load generator: arrival times do not depend on whether earlier requests have been answered. */
import { createRandom, type Random } from "@pimentospring/core/random/random";
import { build, type Histogram } from "hdr-histogram-js";
import type { Caller, WorkItem, WorkResult } from "./caller.js";

/** One class of requests in the load. */
export interface LoadClass {
    readonly name: string;
    readonly service: string;
    readonly method: "GET" | "POST";
    readonly path: string;
    readonly isAtMostOnce: boolean;
    readonly deadlineMs: number;
    /** Relative frequency among all classes. */
    readonly weight: number;
}

export interface LoadOptions {
    readonly callers: readonly Caller[];
    readonly classes: readonly LoadClass[];
    readonly requestsPerSecond: number;
    readonly durationMs: number;
    readonly seed: number;
    readonly now: () => number;
}

/** Results of one class of requests. */
export interface ClassReport {
    readonly name: string;
    sent: number;
    answered: number;
    notRun: number;
    unknown: number;
    /** Answers that carried the id of another work item. */
    mismatchedAnswers: number;
    /** Requests sent in total, retries included. */
    attempts: number;
    /** Latencies of answered requests, in microseconds. */
    readonly latency: Histogram;
}

export interface Load {
    /** Resolves when every request has ended. */
    readonly done: Promise<readonly ClassReport[]>;
}

const microsPerMs = 1000;

export function startLoad(options: LoadOptions): Load {
    const random = createRandom(options.seed);
    const reports = options.classes.map(createReport);
    const running: Promise<void>[] = [];
    let workCount = 0;

    const start = (): void => {
        const at = pickClass(options.classes, random);
        const loadClass = options.classes[at]!;
        const report = reports[at]!;
        const caller = options.callers[random.below(options.callers.length)]!;
        const work = createWorkItem(loadClass, `${options.seed}-${++workCount}`);
        report.sent++;
        running.push(caller.run(work).then(result => recordResult(report, result)));
    };
    const run = async (): Promise<readonly ClassReport[]> => {
        const startedAt = options.now();
        let dueAt = startedAt + random.exponential(1000 / options.requestsPerSecond);
        while (dueAt < startedAt + options.durationMs) {
            const waitMs = dueAt - options.now();
            if (waitMs > 0) {
                await new Promise(resolve => setTimeout(resolve, waitMs));
            }
            while (dueAt <= options.now() && dueAt < startedAt + options.durationMs) {
                start();
                dueAt += random.exponential(1000 / options.requestsPerSecond);
            }
        }
        await Promise.all(running);
        return reports;
    };
    return { done: run() };
}

const createReport = (loadClass: LoadClass): ClassReport => ({
    name: loadClass.name,
    sent: 0,
    answered: 0,
    notRun: 0,
    unknown: 0,
    mismatchedAnswers: 0,
    attempts: 0,
    latency: build({ lowestDiscernibleValue: 1, highestTrackableValue: 600_000_000, numberOfSignificantValueDigits: 3 }),
});

function pickClass(classes: readonly LoadClass[], random: Random): number {
    let point = random.next() * classes.reduce((sum, entry) => sum + entry.weight, 0);
    const at = classes.findIndex(entry => {
        point -= entry.weight;
        return point < 0;
    });
    return Math.max(0, at);
}

function createWorkItem(loadClass: LoadClass, id: string): WorkItem {
    const { service, method, path, isAtMostOnce, deadlineMs } = loadClass;
    const body = method === "POST" ? JSON.stringify({ work: id }) : undefined;
    return { id, service, method, path: path.replace("{id}", id), isAtMostOnce, deadlineMs, body };
}

function recordResult(report: ClassReport, result: WorkResult): void {
    report[result.outcome]++;
    report.attempts += result.attempts;
    if (!result.isAnswerMatching) {
        report.mismatchedAnswers++;
    }
    if (result.outcome === "answered") {
        report.latency.recordValue(Math.max(1, Math.round(result.latencyMs * microsPerMs)));
    }
}
