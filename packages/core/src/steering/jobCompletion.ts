/** Ends jobs: gives each caller exactly one final response, and records why. */
import type { Random } from "../random/random.js";
import { type Result, results } from "../results/resultCode.js";
import type { Timer } from "../time/timer.js";
import { type CallerRetryTracker, retryAfterMs } from "./callerRetries.js";
import type { FinalResponse, Job } from "./job.js";
import { poisonRetryAfterMs } from "./jobIntake.js";
import type { SlotPressure } from "./slotPressure.js";
import type { SteeringEvents } from "./steeringEvents.js";

export interface JobCompletionOptions<Answer> {
    readonly timer: Timer;
    readonly random: Random;
    readonly pressure: SlotPressure;
    readonly callerRetries: CallerRetryTracker;
    readonly events: SteeringEvents<Answer>;
    /** Called before a job ends, to take it out of the queue. */
    readonly onEnding: (job: Job<Answer>) => void;
}

export interface JobCompletion<Answer> {
    /** Adds a job, whose final response goes to `finish`. */
    add(job: Job<Answer>, finish: (response: FinalResponse<Answer>) => void): void;
    /** Jobs that have not ended. */
    openJobs(): Iterable<Job<Answer>>;
    openCount(): number;
    /** Ends the job with a response; a job that has ended stays as it is. */
    finish(job: Job<Answer>, response: FinalResponse<Answer>, why: string): void;
    /**
     * Ends a job that will not be sent to a target again. The result says "not run" only where that is proved.
     * `notBefore` is the earliest time at which a retry can be served.
     */
    reject(job: Job<Answer>, result: Result, why: string, notBefore?: number): void;
    /** Ends the job with a refusal that names no time for a retry. */
    endUnanswered(job: Job<Answer>, result: Result, why: string): void;
}

export function createJobCompletion<Answer>(options: JobCompletionOptions<Answer>): JobCompletion<Answer> {
    const { timer, callerRetries, events } = options;
    const finishers = new Map<Job<Answer>, (response: FinalResponse<Answer>) => void>();

    const finish = (job: Job<Answer>, response: FinalResponse<Answer>, why: string): void => {
        if (job.state === "ended") {
            return;
        }
        options.onEnding(job);
        job.state = "ended";
        job.cancelTimeout();
        if (response.kind === "refusal" && response.result.outcome === "notRun" && !job.mayHaveRun) {
            job.giveBackQuota();
        }
        const respond = finishers.get(job)!;
        finishers.delete(job);
        // First, so that no error in a log or metric keeps the response from the caller.
        respond(response);
        events.onEnded(job, response, why);
    };
    const refuse = (job: Job<Answer>, result: Result, why: string, retryDelayMs: number | undefined): void =>
        finish(job, { kind: "refusal", result, retryAfterMs: retryDelayMs }, why);
    const endUnanswered = (job: Job<Answer>, result: Result, why: string): void => refuse(job, result, why, undefined);
    const reject = (job: Job<Answer>, result: Result, why: string, notBefore = -Infinity): void => {
        if (job.failureResponse !== undefined) {
            finish(job, { kind: "answer", answer: job.failureResponse }, why);
        }
        else if (job.mayHaveRun) {
            endUnanswered(job, results.outcomeUnknown, why);
        }
        else if (result === results.poisonRequest) {
            refuse(job, result, why, poisonRetryAfterMs);
        }
        else if (result === results.unauthorised) {
            endUnanswered(job, result, why);
        }
        else {
            callerRetries.recordRefusal(job);
            const wait = retryAfterMs({
                job,
                now: timer.now(),
                pressure: options.pressure.levelOf(job.service),
                hadFreeSlots: job.wasRefusedWithFreeSlots,
                notBefore,
                random: options.random,
            });
            refuse(job, result, why, wait);
        }
    };
    return {
        add: (job, respond) => void finishers.set(job, respond),
        openJobs: () => finishers.keys(),
        openCount: () => finishers.size,
        finish,
        reject,
        endUnanswered,
    };
}
