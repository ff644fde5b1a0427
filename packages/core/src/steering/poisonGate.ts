/** Decides when a job may run that could crash its target, and which runs have to end. */
import type { PoisonList } from "../poison/poisonList.js";
import type { Attempt, Job } from "./job.js";
import type { SteeringEvents } from "./steeringEvents.js";
import type { TargetHealth } from "./targetHealth.js";

export interface PoisonGate<Answer> {
    /** `held` jobs may run later: while a health check decides, or while a copy of a suspected request runs. */
    admit(job: Job<Answer>): "admitted" | "held" | "refused";
    recordStart(job: Job<Answer>): void;
    /** Records that a target ran the request to a successful end, which clears it of the deaths known so far. */
    recordSuccess(job: Job<Answer>): void;
    /** Attempts in progress whose requests have become known to crash targets. */
    refusedRuns(): Attempt<Answer>[];
}

export interface PoisonGateOptions<Answer> {
    readonly poisonList: PoisonList;
    readonly isPossibleCause: TargetHealth["isPossibleCause"];
    /** All jobs without a final response. */
    readonly jobs: () => Iterable<Job<Answer>>;
    readonly onPoisonCleared: SteeringEvents<Answer>["onPoisonCleared"];
}

export function createPoisonGate<Answer>(options: PoisonGateOptions<Answer>): PoisonGate<Answer> {
    const { poisonList } = options;
    /** Jobs that try a refused request again: they end by what their targets do. */
    const trials = new WeakSet<Job<Answer>>();
    const isRefusedRun = (job: Job<Answer>): boolean => !trials.has(job) && poisonList.isRefused(job.request.fingerprint);
    const isCopyRunning = ({ route, request }: Job<Answer>): boolean => {
        for (const other of options.jobs()) {
            const mayBeCopy = other.state === "sent" && other.route === route && other.request.path === request.path;
            if (mayBeCopy && other.request.fingerprint() === request.fingerprint()) {
                return true;
            }
        }
        return false;
    };
    return {
        admit: job => {
            const { fingerprint } = job.request;
            const verdict = poisonList.verdictOf(fingerprint);
            if (verdict === "refused") {
                return "refused";
            }
            const isHeld = options.isPossibleCause(fingerprint) || (verdict !== "clean" && isCopyRunning(job));
            return isHeld ? "held" : "admitted";
        },
        recordStart: job => {
            const { fingerprint } = job.request;
            if (poisonList.verdictOf(fingerprint) === "trial") {
                poisonList.recordTrial(fingerprint());
                trials.add(job);
            }
        },
        recordSuccess: job => {
            const cleared = poisonList.recordSuccess(job.request.fingerprint);
            if (cleared.length > 0) {
                options.onPoisonCleared(job, cleared);
            }
        },
        // A job whose attempt is just ending has none; it is refused when it is tried again.
        refusedRuns: () =>
            [...options.jobs()].flatMap(job => job.attempt !== undefined && isRefusedRun(job) ? [job.attempt] : []),
    };
}
