/**
 * A target that several entries share, in virtual time: slots, a short queue, memory of the objects it handled last,
 * moments in which its neighbours slow it, and a load report in each answer.
 */
import type { Random } from "@pimentospring/core/random/random";
import type { ResponseHead } from "@pimentospring/core/steering/job";
import type { TargetRecord } from "@pimentospring/core/steering/targetRecord";
import type { Timer } from "@pimentospring/core/time/timer";

/** What targets of a service are like. */
export interface TargetModel {
    readonly slots: number;
    /** Requests that wait in the target when its slots are taken; more are refused as not run. */
    readonly maxQueued: number;
    /** Objects that it remembers. */
    readonly maxCachedObjects: number;
    /** Work on an object that it remembers, as a share of other work. */
    readonly cachedWorkRatio: number;
    /** Share of the time in which neighbours slow it, and by which factor. */
    readonly interference: { readonly fraction: number; readonly factor: number; readonly intervalMs: number; };
}

/** One request as the target has it. */
export interface SharedTargetRequest {
    readonly object: string;
    /** Work on an object that it doesn't remember, at its usual speed, in milliseconds. */
    readonly workMs: number;
    readonly deadlineAt: number;
    readonly answer: (head: ResponseHead) => void;
}

export interface SharedTarget {
    readonly record: TargetRecord;
    /** A request arrives. The value gives it up, as when its connection closes. */
    accept(work: SharedTargetRequest): () => void;
    running(): number;
    queued(): number;
    /** It is gone: what it has is never answered. */
    crash(): void;
}

export interface SharedTargetOptions {
    readonly timer: Timer;
    readonly random: Random;
    readonly record: TargetRecord;
    readonly traits: TargetModel;
}

const answerBytes = 400;

export function createSharedTarget(options: SharedTargetOptions): SharedTarget {
    const { timer, random, record, traits } = options;
    const remembered = new Map<string, true>();
    const running = new Set<SharedTargetRequest>();
    const waiting: SharedTargetRequest[] = [];
    let isStopped = false;
    let slowness = 1;
    let slownessUntil = -Infinity;

    const slownessNow = (): number => {
        if (timer.now() >= slownessUntil) {
            slowness = random.next() < traits.interference.fraction ? traits.interference.factor : 1;
            slownessUntil = timer.now() + traits.interference.intervalMs;
        }
        return slowness;
    };
    const remember = (object: string): boolean => {
        const known = remembered.delete(object);
        remembered.set(object, true);
        if (remembered.size > traits.maxCachedObjects) {
            remembered.delete(remembered.keys().next().value!);
        }
        return known;
    };
    const reply = (work: SharedTargetRequest, status: number, isNotRun: boolean): void => {
        work.answer({
            status,
            isNotRun,
            isMisdirected: false,
            isSigned: true,
            load: { running: running.size, waiting: waiting.length, slots: traits.slots, slowness: slownessNow() },
            coldMs: undefined,
            bodyBytes: answerBytes,
        });
    };
    const begin = (work: SharedTargetRequest): void => {
        running.add(work);
        const share = remember(work.object) ? traits.cachedWorkRatio : 1;
        timer.after(work.workMs * share * slownessNow(), () => finish(work));
    };
    const beginNext = (): void => {
        while (running.size < traits.slots && waiting.length > 0) {
            const next = waiting.shift()!;
            if (next.deadlineAt <= timer.now()) {
                reply(next, 503, true);
            }
            else {
                begin(next);
            }
        }
    };
    const finish = (work: SharedTargetRequest): void => {
        if (isStopped || !running.has(work)) {
            return;
        }
        // The report counts the request that it comes with.
        reply(work, 200, false);
        running.delete(work);
        beginNext();
    };
    return {
        record,
        accept: work => {
            if (isStopped) {
                return () => {};
            }
            if (running.size < traits.slots) {
                begin(work);
            }
            else if (waiting.length < traits.maxQueued) {
                waiting.push(work);
            }
            else {
                reply(work, 503, true);
            }
            return () => {
                running.delete(work);
                const at = waiting.indexOf(work);
                if (at !== -1) {
                    waiting.splice(at, 1);
                }
                beginNext();
            };
        },
        running: () => running.size,
        queued: () => waiting.length,
        crash: () => {
            isStopped = true;
        },
    };
}
