/**
 * Request bodies that are being received, and the limits that they keep while they are: a minimum rate, and bounds on what is sent
 * beside the body, such as trailers and chunk extensions. When memory or connections are short, one that has stalled makes room. While
 * the process is behind with its input, bodies of very many small chunks are given up.
 */
import type { Timer } from "@pimentospring/core/time/timer";

/** Why a body is no longer received. */
export type BodyFault = "tooSlow" | "stalled" | "framing" | "tooManyChunks";

export interface OpenBody {
    /** Bytes of the body so far. */
    readonly size: () => number;
    /** Chunks, or reads of the connection, in which it has come so far. */
    readonly chunkCount: () => number;
    /** Bytes of its connection that have been parsed so far. */
    readonly connectionBytes: () => number;
    readonly giveUp: (fault: BodyFault) => void;
}

export interface OpenBodies {
    add(body: OpenBody): void;
    /** Records that a part of the body has arrived. */
    recordProgress(body: OpenBody): void;
    remove(body: OpenBody): void;
    /** Gives up the body that has made no progress for the longest time; false if none has stalled. */
    giveUpStalled(): boolean;
}

export interface OpenBodiesOptions {
    readonly timer: Timer;
    /** Longest time for which bytes may arrive that are no part of the body. */
    readonly maxFramingMs: () => number;
    /** Whether the process is behind with what it receives. */
    readonly isBehind: () => boolean;
}

const checkIntervalMs = 500;
/** Slowest body that is received, once it has had some time; far below any usable connection. */
const minBytesPerSecond = 64;
const graceMs = 15_000;
/** Without progress for this long, a body makes room for others where memory or connections are short. */
const stalledMs = 500;
/** Bytes that a body has to bring for progress, so that single bytes do not hold the memory of all that came before. */
const progressBytes = 16 * 1_024;
/** Bytes on the connection for each byte of the body: a chunk of one byte takes six. */
const maxFramingFactor = 16;
const freeFramingBytes = 256 * 1_024;
/** A body of 1 MB has fewer chunks if they hold 64 bytes on average. */
const maxCheapChunks = 16_384;
/** Bodies of more chunks that are received nevertheless while the process is behind; it serves others beside them. */
const maxCostlyBodies = 4;

interface BodyState {
    readonly startedAt: number;
    readonly startedAtBytes: number;
    progressAt: number;
    /** Bytes of the body at the last progress. */
    progressSize: number;
    /** Bytes of the connection when a part of the body last arrived. */
    bodyAtBytes: number;
    /** Since when bytes arrive that are no part of the body. */
    framingSince: number | undefined;
}

export function createOpenBodies({ timer, maxFramingMs, isBehind }: OpenBodiesOptions): OpenBodies {
    const bodies = new Map<OpenBody, BodyState>();
    const giveUp = (body: OpenBody, fault: BodyFault): void => {
        bodies.delete(body);
        body.giveUp(fault);
    };
    const faultOf = (body: OpenBody, state: BodyState): BodyFault | undefined => {
        const now = timer.now();
        const connectionBytes = body.connectionBytes();
        if (connectionBytes > state.bodyAtBytes) {
            state.framingSince ??= now;
        }
        if (connectionBytes - state.startedAtBytes > freeFramingBytes + maxFramingFactor * body.size()) {
            return "framing";
        }
        const isFramingLate = state.framingSince !== undefined && now - state.framingSince >= maxFramingMs();
        const dueBytes = (now - state.startedAt - graceMs) / 1_000 * minBytesPerSecond;
        return isFramingLate || body.size() < dueBytes ? "tooSlow" : undefined;
    };
    const giveUpCostly = (): void => {
        const costly = [...bodies.keys()].filter(body => body.chunkCount() > maxCheapChunks);
        costly.sort((a, b) => b.chunkCount() - a.chunkCount());
        costly.slice(0, Math.max(0, costly.length - maxCostlyBodies)).forEach(body => giveUp(body, "tooManyChunks"));
    };
    const check = (): void => {
        for (const [body, state] of [...bodies]) {
            const fault = faultOf(body, state);
            if (fault !== undefined) {
                giveUp(body, fault);
            }
        }
        if (isBehind()) {
            giveUpCostly();
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
                progressSize: 0,
                bodyAtBytes: bytes,
                framingSince: undefined,
            });
            if (!isCheckScheduled) {
                scheduleCheck();
            }
        },
        recordProgress: body => {
            const state = bodies.get(body);
            if (state !== undefined) {
                if (body.size() >= state.progressSize + progressBytes) {
                    state.progressAt = timer.now();
                    state.progressSize = body.size();
                }
                state.bodyAtBytes = body.connectionBytes();
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
            giveUp(longest[0], "stalled");
            return true;
        },
    };
}
