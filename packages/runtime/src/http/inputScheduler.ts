/**
 * Shares the event loop among connections. Parsing what one connection sent, and starting its requests, may take seconds: a body can
 * come in chunks of one byte. The work of a connection is therefore done in steps, for a bounded time between two polls of the
 * sockets, and those connections go first that used the least time lately. What is left over stays in the connections.
 */
import type { Timer } from "@pimentospring/core/time/timer";

export interface InputTask {
    /** Does a short piece of work; false if there is no more to do at present. */
    readonly step: () => boolean;
    /** Processor time used lately, as of `usedAt`. */
    usedMs: number;
    usedAt: number;
    /** Duration of the latest step. */
    lastStepMs: number;
}

export interface InputScheduler {
    /** Runs the task's steps, now as far as there is time, and the others later. */
    run(task: InputTask): void;
    /** Drops the steps that the task has left. */
    cancel(task: InputTask): void;
    /** Tasks that have steps left. */
    backlog(): number;
    /** For how long there have been steps left without a pause. */
    backlogMs(): number;
}

export interface InputSchedulerOptions {
    readonly timer: Pick<Timer, "now">;
    /** Calls a function once the sockets have been polled again. */
    readonly afterPoll: (listener: () => void) => void;
}

/** Time for steps while the sockets are polled, and for those that wait between two polls. */
const maxTurnMs = 5;
/** While others wait, a task that has used more than this lately waits too, so that it takes no time from those that have used less. */
const maxPreferredMs = 20;
/** Time after which used time counts by half. */
const usedHalfLifeMs = 1_000;

export const createInputTask = (step: () => boolean, now: number): InputTask => ({
    step,
    usedMs: 0,
    usedAt: now,
    lastStepMs: 0,
});

export function createInputScheduler({ timer, afterPoll }: InputSchedulerOptions): InputScheduler {
    const waiting = new Set<InputTask>();
    let turnUsedMs = 0;
    let isTurnScheduled = false;
    let isRunning = false;
    let backlogSince: number | undefined;

    const hasTime = (): boolean => turnUsedMs < maxTurnMs;
    const recordUse = (task: InputTask, startedAt: number): void => {
        const now = timer.now();
        task.lastStepMs = now - startedAt;
        task.usedMs = task.usedMs * 0.5 ** ((now - task.usedAt) / usedHalfLifeMs) + task.lastStepMs;
        task.usedAt = now;
        turnUsedMs += task.lastStepMs;
    };
    const runStep = (task: InputTask): boolean => {
        const startedAt = timer.now();
        isRunning = true;
        try {
            return task.step();
        }
        finally {
            isRunning = false;
            recordUse(task, startedAt);
        }
    };
    const usedLately = (task: InputTask, now: number): number => task.usedMs * 0.5 ** ((now - task.usedAt) / usedHalfLifeMs);
    const isPreferred = (task: InputTask): boolean => waiting.size === 0 || usedLately(task, timer.now()) < maxPreferredMs;
    const leastUsed = (): InputTask | undefined => {
        const now = timer.now();
        let least: InputTask | undefined;
        let leastMs = Infinity;
        for (const task of waiting) {
            const usedMs = usedLately(task, now);
            if (usedMs < leastMs) {
                least = task;
                leastMs = usedMs;
            }
        }
        return least;
    };
    const updateBacklog = (): void => {
        backlogSince = waiting.size === 0 ? undefined : backlogSince ?? timer.now();
    };
    const runWaiting = (): void => {
        while (hasTime()) {
            const task = leastUsed();
            if (task === undefined) {
                break;
            }
            // Behind those that wait already, as it may have used as little as they.
            waiting.delete(task);
            if (runStep(task)) {
                waiting.add(task);
            }
        }
        updateBacklog();
        if (waiting.size > 0) {
            scheduleTurn();
        }
    };
    const onPolled = (): void => {
        isTurnScheduled = false;
        turnUsedMs = 0;
        runWaiting();
        // Those that wait have had their time; what arrives with the next poll has its own.
        turnUsedMs = 0;
    };
    const scheduleTurn = (): void => {
        if (!isTurnScheduled) {
            isTurnScheduled = true;
            afterPoll(onPolled);
        }
    };
    return {
        run: task => {
            scheduleTurn();
            // A step that makes another one due, its own or another connection's, is not interrupted by it.
            let hasMore = true;
            while (hasMore && !isRunning && hasTime() && !waiting.has(task) && isPreferred(task)) {
                hasMore = runStep(task);
            }
            if (hasMore) {
                waiting.add(task);
                updateBacklog();
            }
        },
        cancel: task => {
            waiting.delete(task);
            updateBacklog();
        },
        backlog: () => waiting.size,
        backlogMs: () => backlogSince === undefined ? 0 : timer.now() - backlogSince,
    };
}
