/** A target under virtual time that crashes when it runs a poison request, and returns as a new incarnation. */
import type { Attempt, ResponseHead } from "@pimentospring/core/steering/job";
import type { HealthCheckResult } from "@pimentospring/core/steering/targetHealth";
import { noNotice, type TargetRecord } from "@pimentospring/core/steering/targetRecord";
import type { Timer } from "@pimentospring/core/time/timer";

/** Work that an entry sends to the target. */
export interface Work {
    readonly attempt: Attempt<string>;
    readonly runMs: number;
    /** Whether the target crashes at the end of the run. */
    readonly isPoison: boolean;
    readonly respond: (head: ResponseHead) => void;
    /** The connection breaks. */
    readonly fail: (reason: string) => void;
}

export interface CrashingTarget {
    readonly record: () => TargetRecord;
    accept(work: Work): void;
    /** The connection of the attempt was closed: its run stops. */
    drop(attempt: Attempt<string>): void;
    check(): HealthCheckResult;
    crash(): void;
}

export interface CrashingTargetOptions {
    readonly timer: Timer;
    readonly record: TargetRecord;
    readonly onCrashed: (cause: Work | undefined) => void;
    /** Its record expires while it is down. */
    readonly onExpired: () => void;
    readonly onStarted: (record: TargetRecord) => void;
}

const downMs = 4_000;
const recordExpiryMs = 1_500;

export const responseHead = (fields: Partial<ResponseHead>): ResponseHead => ({
    status: 200,
    isNotRun: false,
    isMisdirected: false,
    isSigned: true,
    load: undefined,
    coldMs: undefined,
    notice: noNotice,
    bodyBytes: 100,
    ...fields,
});

export function createCrashingTarget(options: CrashingTargetOptions): CrashingTarget {
    const { timer } = options;
    const running = new Map<Attempt<string>, Work>();
    let { record } = options;
    let isUp = true;

    const crash = (cause?: Work): void => {
        if (!isUp) {
            return;
        }
        isUp = false;
        options.onCrashed(cause);
        const broken = [...running.values()];
        running.clear();
        broken.forEach(({ fail }) => fail("other side closed"));
        timer.after(recordExpiryMs, options.onExpired);
        timer.after(downMs, () => {
            isUp = true;
            record = { ...record, startedAt: record.startedAt + 1 };
            options.onStarted(record);
        });
    };
    const finish = (work: Work): void => {
        if (running.get(work.attempt) !== work) {
            return;
        }
        if (work.isPoison) {
            crash(work);
            return;
        }
        running.delete(work.attempt);
        work.respond(responseHead({ load: { running: running.size, waiting: 0, slots: record.slots, slowness: 1 } }));
    };
    return {
        record: () => record,
        accept: work => {
            if (!isUp) {
                work.fail("connect ECONNREFUSED");
            }
            else if (running.size >= record.slots) {
                work.respond(responseHead({ status: 503, isNotRun: true }));
            }
            else {
                running.set(work.attempt, work);
                timer.after(work.runMs, () => finish(work));
            }
        },
        drop: attempt => void running.delete(attempt),
        check: () => ({
            isReached: isUp,
            isExpectedTarget: isUp,
            isHealthy: isUp,
            coldMs: undefined,
            load: undefined,
            notice: noNotice,
        }),
        crash: () => crash(),
    };
}
