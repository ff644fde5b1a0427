/** A target: slots, service times, slowness, death and cancellation. */
import type { Target } from "@pimentospring/core/document/schema";
import { type Address, type InstanceId, type TargetId, toAddress, toTargetId } from "@pimentospring/core/ids";
import type { Random } from "@pimentospring/core/random/random";
import type { Timer } from "@pimentospring/core/time/timer";
import type { RunLog } from "./runLog.js";

/** A request as a target sees it. */
export interface TargetRequest {
    readonly workId: string;
    readonly isAtMostOnce: boolean;
    readonly entry: InstanceId;
    /** Mean time to run it, in milliseconds. */
    readonly meanMs: number;
    readonly isPoison: boolean;
}

/** What a target tells of a request; `broken` also when it dies. */
export type TargetOutcome = "answered" | "shed" | "refused" | "broken";

export interface FakeTarget {
    readonly id: TargetId;
    readonly address: Address;
    slowFactor: number;
    /** Share of requests that take `stragglerFactor` times as long. */
    stragglerFraction: number;
    start(work: TargetRequest, reply: (reply: TargetOutcome) => void): RunningRequest;
    inFlight(): number;
    isDead(): boolean;
    crash(byWork: string): void;
}

export interface RunningRequest {
    cancel(): void;
}

const stragglerFactor = 20;
/** Time after which a dead target is started again, in milliseconds. */
const restartMs = 4_000;

export function createFakeTarget(target: Target, timer: Timer, random: Random, log: RunLog): FakeTarget {
    const running = new Map<
        RunningRequest,
        { readonly work: TargetRequest; readonly broken: () => void; readonly stop: () => void; }
    >();
    const id = toTargetId(target.id);
    let isDead = false;

    const serviceMs = (work: TargetRequest): number => {
        const usual = work.meanMs / 2 + random.exponential(work.meanMs / 2);
        return usual * fake.slowFactor * (random.next() < fake.stragglerFraction ? stragglerFactor : 1);
    };
    const die = (byWork: string): void => {
        isDead = true;
        log.append({ kind: "targetDied", at: timer.now(), target: id, workId: byWork });
        const broken = [...running.values()];
        running.clear();
        broken.forEach(entry => {
            entry.stop();
            entry.broken();
        });
        timer.after(restartMs, () => {
            isDead = false;
        });
    };
    const begin = (work: TargetRequest, reply: (reply: TargetOutcome) => void): RunningRequest => {
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
            die(work.workId);
            return handle;
        }
        const end = (isWhole: boolean): void => {
            running.delete(handle);
            log.append({ kind: "workEnded", at: timer.now(), workId: work.workId, target: id, isComplete: isWhole });
        };
        const cancelEnd = timer.after(serviceMs(work), () => {
            end(true);
            reply("answered");
        });
        handle.cancel = () => {
            if (running.has(handle)) {
                cancelEnd();
                end(false);
            }
        };
        running.set(handle, { work, broken: () => reply("broken"), stop: cancelEnd });
        return handle;
    };
    const fake: FakeTarget = {
        id,
        address: toAddress(target.address),
        slowFactor: 1,
        stragglerFraction: 0,
        start: begin,
        inFlight: () => running.size,
        isDead: () => isDead,
        crash: die,
    };
    return fake;
}
