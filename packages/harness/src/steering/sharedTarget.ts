/**
 * Simulated target that is shared by several entries: slots, a short queue, an LRU cache of objects, temporary
 * slowdown by noisy neighbours, and a load report in each response.
 */
import type { Random } from "@pimentospring/core/random/random";
import type { ResponseHead } from "@pimentospring/core/steering/job";
import type { TargetRecord } from "@pimentospring/core/steering/targetRecord";
import type { Timer } from "@pimentospring/core/time/timer";

/** Performance model of a service's targets. */
export interface TargetModel {
    readonly slots: number;
    /** Requests that are queued while all slots are taken; any more are refused as not run. */
    readonly maxQueued: number;
    /** Size of the cache, in objects. */
    readonly maxCachedObjects: number;
    /** Service time for a cached object as a ratio of that for any other object. */
    readonly cachedWorkRatio: number;
    /** Noisy neighbours: fraction of the intervals in which the target is slowed down, and by which factor. */
    readonly interference: { readonly fraction: number; readonly factor: number; readonly intervalMs: number; };
}

/** A request as received by the target. */
export interface SharedTargetRequest {
    readonly object: string;
    /** Service time for an object that is not cached, without any slowdown. */
    readonly workMs: number;
    readonly deadlineAt: number;
    readonly respond: (head: ResponseHead) => void;
}

export interface SharedTarget {
    readonly record: TargetRecord;
    readonly model: TargetModel;
    /** Accepts a request; the returned function abandons it, as a closed connection does. */
    accept(work: SharedTargetRequest): () => void;
    running(): number;
    /** Runs that were started. */
    runs(): number;
    /** Runs that were started on a cached object. */
    warmRuns(): number;
    queued(): number;
    /** From now on refuses this fraction of the requests as not run, although it has free slots. */
    setShedFraction(fraction: number): void;
    /** Turns all requests away until this time, and says so. */
    pauseUntil(time: number): void;
    /** From now on says in each response that it leaves; it goes on serving. */
    leave(): void;
    /** Crashes the target: its requests are never answered. */
    crash(): void;
}

export interface SharedTargetOptions {
    readonly timer: Timer;
    readonly random: Random;
    readonly record: TargetRecord;
    readonly model: TargetModel;
}

const answerBodyBytes = 400;

export function createSharedTarget(options: SharedTargetOptions): SharedTarget {
    const { timer, random, record, model: traits } = options;
    const cachedObjects = new Map<string, true>();
    const running = new Set<SharedTargetRequest>();
    const queue: SharedTargetRequest[] = [];
    let hasCrashed = false;
    let runs = 0;
    let warmRuns = 0;
    let shedFraction = 0;
    let pausedUntil = -Infinity;
    let isLeaving = false;
    let slowness = 1;
    let slownessUntil = -Infinity;

    const currentSlowness = (): number => {
        if (timer.now() >= slownessUntil) {
            slowness = random.next() < traits.interference.fraction ? traits.interference.factor : 1;
            slownessUntil = timer.now() + traits.interference.intervalMs;
        }
        return slowness;
    };
    const cacheObject = (object: string): boolean => {
        const isCached = cachedObjects.delete(object);
        cachedObjects.set(object, true);
        if (cachedObjects.size > traits.maxCachedObjects) {
            cachedObjects.delete(cachedObjects.keys().next().value!);
        }
        return isCached;
    };
    const reply = (work: SharedTargetRequest, status: number, isNotRun: boolean): void => {
        work.respond({
            status,
            isNotRun,
            isMisdirected: false,
            isSigned: true,
            load: { running: running.size, waiting: queue.length, slots: traits.slots, slowness: currentSlowness() },
            coldMs: undefined,
            notice: { isLeaving, pauseMs: isNotRun && timer.now() < pausedUntil ? pausedUntil - timer.now() : undefined },
            bodyBytes: answerBodyBytes,
        });
    };
    const start = (work: SharedTargetRequest): void => {
        running.add(work);
        const isWarm = cacheObject(work.object);
        runs++;
        warmRuns += isWarm ? 1 : 0;
        const workRatio = isWarm ? traits.cachedWorkRatio : 1;
        timer.after(work.workMs * workRatio * currentSlowness(), () => finish(work));
    };
    const startQueued = (): void => {
        while (running.size < traits.slots && queue.length > 0) {
            const next = queue.shift()!;
            if (next.deadlineAt <= timer.now()) {
                reply(next, 503, true);
            }
            else {
                start(next);
            }
        }
    };
    const finish = (work: SharedTargetRequest): void => {
        if (hasCrashed || !running.has(work)) {
            return;
        }
        // The load report includes the request that this response belongs to.
        reply(work, 200, false);
        running.delete(work);
        startQueued();
    };
    return {
        record,
        model: traits,
        accept: work => {
            if (hasCrashed) {
                return () => {};
            }
            if (timer.now() < pausedUntil || (shedFraction > 0 && random.next() < shedFraction)) {
                reply(work, 503, true);
            }
            else if (running.size < traits.slots) {
                start(work);
            }
            else if (queue.length < traits.maxQueued) {
                queue.push(work);
            }
            else {
                reply(work, 503, true);
            }
            return () => {
                running.delete(work);
                const at = queue.indexOf(work);
                if (at !== -1) {
                    queue.splice(at, 1);
                }
                startQueued();
            };
        },
        running: () => running.size,
        runs: () => runs,
        warmRuns: () => warmRuns,
        queued: () => queue.length,
        setShedFraction: fraction => {
            shedFraction = fraction;
        },
        pauseUntil: time => {
            pausedUntil = time;
        },
        leave: () => {
            isLeaving = true;
        },
        crash: () => {
            hasCrashed = true;
        },
    };
}
