/** Simulated target: concurrency slots, service times, slowdown, crashes and cancellation. */
import type { Target } from "@pimentospring/core/document/schema";
import { type Address, type InstanceId, type TargetId, toAddress, toTargetId } from "@pimentospring/core/ids";
import type { Random } from "@pimentospring/core/random/random";
import type { Timer } from "@pimentospring/core/time/timer";
import type { RunLog } from "./runLog.js";

/** A request as received by a target. */
export interface TargetRequest {
    readonly workId: string;
    readonly isAtMostOnce: boolean;
    readonly entry: InstanceId;
    /** Mean service time in milliseconds. */
    readonly meanMs: number;
    readonly isPoison: boolean;
}

/** How a request ended at a target; `broken` means that the connection failed, also because the target crashed. */
export type TargetOutcome = "answered" | "shed" | "refused" | "broken";

export interface FakeTarget {
    readonly id: TargetId;
    readonly address: Address;
    slowFactor: number;
    /** Fraction of requests that take `stragglerFactor` times as long. */
    stragglerFraction: number;
    start(work: TargetRequest, reply: (outcome: TargetOutcome) => void): RunningRequest;
    inFlight(): number;
    isDead(): boolean;
    crash(workId: string): void;
}

export interface RunningRequest {
    cancel(): void;
}

const stragglerFactor = 20;
/** Time from a crash to the restart of the target. */
const restartDelayMs = 4_000;

export function createFakeTarget(target: Target, timer: Timer, random: Random, log: RunLog): FakeTarget {
    const running = new Map<
        RunningRequest,
        { readonly work: TargetRequest; readonly broken: () => void; readonly stop: () => void; }
    >();
    const id = toTargetId(target.id);
    let isDead = false;

    const serviceTimeMs = (work: TargetRequest): number => {
        const baseMs = work.meanMs / 2 + random.exponential(work.meanMs / 2);
        return baseMs * fake.slowFactor * (random.next() < fake.stragglerFraction ? stragglerFactor : 1);
    };
    const crash = (workId: string): void => {
        isDead = true;
        log.append({ kind: "targetCrashed", at: timer.now(), target: id, workId });
        const interrupted = [...running.values()];
        running.clear();
        interrupted.forEach(entry => {
            entry.stop();
            entry.broken();
        });
        timer.after(restartDelayMs, () => {
            isDead = false;
        });
    };
    const start = (work: TargetRequest, reply: (outcome: TargetOutcome) => void): RunningRequest => {
        const handle: RunningRequest = { cancel: () => {} };
        if (isDead) {
            reply("refused");
            return handle;
        }
        const inFlight = running.size + 1;
        log.append({
            kind: "workStarted",
            at: timer.now(),
            workId: work.workId,
            isAtMostOnce: work.isAtMostOnce,
            target: id,
            entry: work.entry,
            inFlight,
            slots: target.slots,
        });
        if (work.isPoison) {
            running.set(handle, { work, broken: () => reply("broken"), stop: () => {} });
            crash(work.workId);
            return handle;
        }
        const finish = (isComplete: boolean): void => {
            running.delete(handle);
            log.append({ kind: "workEnded", at: timer.now(), workId: work.workId, target: id, isComplete });
        };
        const cancelCompletion = timer.after(serviceTimeMs(work), () => {
            finish(true);
            reply("answered");
        });
        handle.cancel = () => {
            if (running.has(handle)) {
                cancelCompletion();
                finish(false);
            }
        };
        running.set(handle, { work, broken: () => reply("broken"), stop: cancelCompletion });
        return handle;
    };
    const fake: FakeTarget = {
        id,
        address: toAddress(target.address),
        slowFactor: 1,
        stragglerFraction: 0,
        start,
        inFlight: () => running.size,
        isDead: () => isDead,
        crash,
    };
    return fake;
}
