/**
 * A target that several entries share, in virtual time: slots, a short queue, memory of the objects it handled last,
 * moments in which its neighbours slow it, and a load report in each answer.
 */
import type { Random } from "@pimentospring/core/random/random";
import type { ResponseHead } from "@pimentospring/core/steering/job";
import type { TargetRecord } from "@pimentospring/core/steering/targetRecord";
import type { Timer } from "@pimentospring/core/time/timer";

/** What targets of a service are like. */
export interface TargetTraits {
    readonly slots: number;
    /** Requests that wait in the target when its slots are taken; more are refused as not run. */
    readonly queue: number;
    /** Objects that it remembers. */
    readonly remembers: number;
    /** Work on an object that it remembers, as a share of other work. */
    readonly rememberedShare: number;
    /** Share of the time in which neighbours slow it, and by which factor. */
    readonly noise: { readonly share: number; readonly factor: number; readonly everyMs: number; };
}

/** One request as the target has it. */
export interface TargetWork {
    readonly object: string;
    /** Work on an object that it doesn't remember, at its usual speed, in milliseconds. */
    readonly workMs: number;
    readonly deadlineAt: number;
    readonly answer: (head: ResponseHead) => void;
}

export interface SharedTarget {
    readonly record: TargetRecord;
    /** A request arrives. The value gives it up, as when its connection closes. */
    accept(work: TargetWork): () => void;
    running(): number;
    waiting(): number;
    /** It is gone: what it has is never answered. */
    stop(): void;
}

export interface SharedTargetOptions {
    readonly timer: Timer;
    readonly random: Random;
    readonly record: TargetRecord;
    readonly traits: TargetTraits;
}

const answerBytes = 400;

export function createSharedTarget(options: SharedTargetOptions): SharedTarget {
    const { timer, random, record, traits } = options;
    const remembered = new Map<string, true>();
    const running = new Set<TargetWork>();
    const waiting: TargetWork[] = [];
    let isStopped = false;
    let slowness = 1;
    let slownessUntil = -Infinity;

    const slownessNow = (): number => {
        if (timer.now() >= slownessUntil) {
            slowness = random.next() < traits.noise.share ? traits.noise.factor : 1;
            slownessUntil = timer.now() + traits.noise.everyMs;
        }
        return slowness;
    };
    const remember = (object: string): boolean => {
        const known = remembered.delete(object);
        remembered.set(object, true);
        if (remembered.size > traits.remembers) {
            remembered.delete(remembered.keys().next().value!);
        }
        return known;
    };
    const reply = (work: TargetWork, status: number, isNotRun: boolean): void => {
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
    const begin = (work: TargetWork): void => {
        running.add(work);
        const share = remember(work.object) ? traits.rememberedShare : 1;
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
    const finish = (work: TargetWork): void => {
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
            else if (waiting.length < traits.queue) {
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
        waiting: () => waiting.length,
        stop: () => {
            isStopped = true;
        },
    };
}
