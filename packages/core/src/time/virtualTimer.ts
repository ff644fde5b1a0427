/** A timer whose time advances only on request, for deterministic tests and benchmarks. */
import type { Cancel, Timer } from "./timer.js";

interface ScheduledCall {
    readonly dueAt: number;
    readonly order: number;
    listener: (() => void) | undefined;
}

export interface VirtualTimer extends Timer {
    /** Advances the clock by `durationMs` and runs all calls due until then, in order of their time. */
    advance(durationMs: number): void;
    /** Number of pending calls. */
    pendingCount(): number;
}

/** 2026-01-01T00:00:00Z, so that wall-clock times in the records of a run are plausible. */
const wallStartMs = 1_767_225_600_000;

export function createVirtualTimer(startMs = 0): VirtualTimer {
    const heap: ScheduledCall[] = [];
    let clock = startMs;
    let nextOrder = 0;

    const push = (due: number, listener: () => void): ScheduledCall => {
        const call: ScheduledCall = { dueAt: due, order: nextOrder++, listener };
        heap.push(call);
        siftUp(heap, heap.length - 1);
        return call;
    };
    const after = (delayMs: number, listener: () => void): Cancel => {
        const call = push(clock + Math.max(0, delayMs), listener);
        return () => {
            call.listener = undefined;
        };
    };
    const subscribe = (intervalMs: number, listener: () => void): Cancel => {
        let isActive = true;
        let cancel: Cancel = () => {};
        const scheduleNext = (): void => {
            cancel = after(intervalMs, () => {
                listener();
                if (isActive) {
                    scheduleNext();
                }
            });
        };
        scheduleNext();
        return () => {
            isActive = false;
            cancel();
        };
    };
    const advance = (durationMs: number): void => {
        const end = clock + durationMs;
        while (heap.length > 0 && heap[0]!.dueAt <= end) {
            const call = popMin(heap);
            clock = Math.max(clock, call.dueAt);
            call.listener?.();
        }
        clock = end;
    };
    return {
        now: () => clock,
        wallTime: () => wallStartMs + clock,
        after,
        subscribe,
        advance,
        pendingCount: () => heap.filter(call => call.listener !== undefined).length,
    };
}

const isBefore = (a: ScheduledCall, b: ScheduledCall): boolean => a.dueAt < b.dueAt || (a.dueAt === b.dueAt && a.order < b.order);

function siftUp(heap: ScheduledCall[], start: number): void {
    let index = start;
    while (index > 0) {
        const parent = (index - 1) >> 1;
        if (!isBefore(heap[index]!, heap[parent]!)) {
            return;
        }
        swap(heap, index, parent);
        index = parent;
    }
}

function siftDown(heap: ScheduledCall[]): void {
    let index = 0;
    for (;;) {
        let least = index;
        for (const child of [2 * index + 1, 2 * index + 2]) {
            if (child < heap.length && isBefore(heap[child]!, heap[least]!)) {
                least = child;
            }
        }
        if (least === index) {
            return;
        }
        swap(heap, index, least);
        index = least;
    }
}

function swap(heap: ScheduledCall[], a: number, b: number): void {
    const previous = heap[a]!;
    heap[a] = heap[b]!;
    heap[b] = previous;
}

function popMin(heap: ScheduledCall[]): ScheduledCall {
    const least = heap[0]!;
    const last = heap.pop()!;
    if (heap.length > 0) {
        heap[0] = last;
        siftDown(heap);
    }
    return least;
}
