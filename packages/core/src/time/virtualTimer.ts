/** A timer whose time moves only when told to, for tests and benchmarks that must give the same result on every run. */
import type { Cancel, Timer } from "./timer.js";

interface ScheduledCall {
    readonly dueAt: number;
    readonly order: number;
    listener: (() => void) | undefined;
}

export interface VirtualTimer extends Timer {
    /** Runs every call that is due within `durationMs`, in order of time, and leaves the clock at the end of it. */
    advance(durationMs: number): void;
    /** Number of calls that still wait. */
    pendingCount(): number;
}

/** Virtual 2026-01-01T00:00:00Z, so that records of a run look like records. */
const wallStartMs = 1_767_225_600_000;

/** Creates a virtual timer that starts at `startMs`. */
export function createVirtualTimer(startMs = 0): VirtualTimer {
    const heap: ScheduledCall[] = [];
    let clock = startMs;
    let order = 0;

    const push = (due: number, listener: () => void): ScheduledCall => {
        const call: ScheduledCall = { dueAt: due, order: order++, listener };
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
        let live = true;
        let cancel: Cancel = () => {};
        const arm = (): void => {
            cancel = after(intervalMs, () => {
                listener();
                if (live) {
                    arm();
                }
            });
        };
        arm();
        return () => {
            live = false;
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
    let at = start;
    while (at > 0) {
        const parent = (at - 1) >> 1;
        if (!isBefore(heap[at]!, heap[parent]!)) {
            return;
        }
        swap(heap, at, parent);
        at = parent;
    }
}

function siftDown(heap: ScheduledCall[]): void {
    let at = 0;
    for (;;) {
        let least = at;
        for (const child of [2 * at + 1, 2 * at + 2]) {
            if (child < heap.length && isBefore(heap[child]!, heap[least]!)) {
                least = child;
            }
        }
        if (least === at) {
            return;
        }
        swap(heap, at, least);
        at = least;
    }
}

function swap(heap: ScheduledCall[], a: number, b: number): void {
    const held = heap[a]!;
    heap[a] = heap[b]!;
    heap[b] = held;
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
