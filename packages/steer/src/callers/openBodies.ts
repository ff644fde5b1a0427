/**
 * Request bodies that are being received, and the limits that they keep while they are: a minimum rate, and bounds on what is sent
 * beside the body, such as trailers and chunk extensions. When the memory for bodies is short, one that has stalled makes room.
 */
import type { Timer } from "@pimentospring/core/time/timer";

/** Why a body is no longer received. */
export type BodyFault = "tooSlow" | "framing";

export interface OpenBody {
    /** Bytes of the body so far. */
    readonly size: () => number;
    /** Bytes of its connection so far. */
    readonly connectionBytes: () => number;
    readonly giveUp: (fault: BodyFault) => void;
}

export interface OpenBodies {
    add(body: OpenBody): void;
    /** Records that a part of the body has arrived. */
    recordProgress(body: OpenBody): void;
    remove(body: OpenBody): void;
    /** Gives up the body that has had no progress for the longest time; false if none has stalled. */
    giveUpStalled(): boolean;
}

export interface OpenBodiesOptions {
    readonly timer: Timer;
    /** Longest time for which bytes may arrive that are no part of the body. */
    readonly maxFramingMs: () => number;
}

const checkIntervalMs = 500;
/** Slowest body that is received, once it has had some time; far below any usable connection. */
const minBytesPerSecond = 64;
const graceMs = 15_000;
/** Without progress for this long, a body makes room for others where memory is short. */
const stalledMs = 1_000;
/** Bytes on the connection for each byte of the body: a chunk of one byte takes six. */
const maxFramingFactor = 16;
const freeFramingBytes = 256 * 1_024;

interface BodyState {
    readonly startedAt: number;
    readonly startedAtBytes: number;
    progressAt: number;
    /** Bytes of the connection at the last progress. */
    progressAtBytes: number;
    /** Since when bytes arrive that are no part of the body. */
    framingSince: number | undefined;
}

export function createOpenBodies({ timer, maxFramingMs }: OpenBodiesOptions): OpenBodies {
    const bodies = new Map<OpenBody, BodyState>();
    const giveUp = (body: OpenBody, fault: BodyFault): void => {
        bodies.delete(body);
        body.giveUp(fault);
    };
    const faultOf = (body: OpenBody, state: BodyState): BodyFault | undefined => {
        const now = timer.now();
        const connectionBytes = body.connectionBytes();
        if (connectionBytes > state.progressAtBytes) {
            state.framingSince ??= now;
        }
        if (connectionBytes - state.startedAtBytes > freeFramingBytes + maxFramingFactor * body.size()) {
            return "framing";
        }
        const isFramingLate = state.framingSince !== undefined && now - state.framingSince >= maxFramingMs();
        const dueBytes = (now - state.startedAt - graceMs) / 1_000 * minBytesPerSecond;
        return isFramingLate || body.size() < dueBytes ? "tooSlow" : undefined;
    };
    const check = (): void => {
        for (const [body, state] of [...bodies]) {
            const fault = faultOf(body, state);
            if (fault !== undefined) {
                giveUp(body, fault);
            }
        }
        scheduleCheck();
    };
    let isCheckScheduled = false;
    const scheduleCheck = (): void => {
        isCheckScheduled = bodies.size > 0;
        if (isCheckScheduled) {
            timer.after(checkIntervalMs, check);
        }
    };
    return {
        add: body => {
            const now = timer.now();
            const bytes = body.connectionBytes();
            bodies.set(body, {
                startedAt: now,
                startedAtBytes: bytes,
                progressAt: now,
                progressAtBytes: bytes,
                framingSince: undefined,
            });
            if (!isCheckScheduled) {
                scheduleCheck();
            }
        },
        recordProgress: body => {
            const state = bodies.get(body);
            if (state !== undefined) {
                state.progressAt = timer.now();
                state.progressAtBytes = body.connectionBytes();
                state.framingSince = undefined;
            }
        },
        remove: body => void bodies.delete(body),
        giveUpStalled: () => {
            let longest: readonly [OpenBody, BodyState] | undefined;
            for (const entry of bodies) {
                if (entry[1].progressAt < (longest?.[1].progressAt ?? timer.now() - stalledMs)) {
                    longest = entry;
                }
            }
            if (longest === undefined) {
                return false;
            }
            giveUp(longest[0], "tooSlow");
            return true;
        },
    };
}
