/**
 * Requests that wait for a slot, in the order in which they get one. Requests that can still meet their latency
 * objective come first, ordered by their priority and then by latest start time. Late requests follow: caller retries
 * first, then by priority and then by arrival time. Requests of equal priority take turns by connection. Where requests have workspaces, `workspaceOrder.ts` interleaves them.
 */
import type { ServiceId } from "../ids.js";
import { comparePlaces } from "./connectionPlace.js";
import type { Job } from "./job.js";
import { countAheadInTurns, sortByTurns } from "./workspaceOrder.js";
import { createWorkspaceTurns } from "./workspaceTurns.js";

export interface QueuedRequest<Answer> {
    readonly job: Job<Answer>;
    /** Latest start time that still meets the latency objective. */
    readonly latestStartAt: number;
    /** Increases with each request that is queued. */
    readonly sequence: number;
}

/** Number of requests served before one, and how many of them can still meet their objective. */
export interface QueuePosition {
    readonly ahead: number;
    readonly aheadInTime: number;
}

export interface RequestQueue<Answer> {
    add(job: Job<Answer>, latestStartAt: number): QueuedRequest<Answer>;
    remove(job: Job<Answer>): void;
    /** Records that a job was sent to a target, whether or not it had waited. */
    recordSent(job: Job<Answer>): void;
    /** Queued requests of a service in the order in which they are served at `now`. */
    inServiceOrder(service: ServiceId, now: number): readonly QueuedRequest<Answer>[];
    countAhead(queued: QueuedRequest<Answer>, now: number): QueuePosition;
    queuedCount(service: ServiceId): number;
    services(): Iterable<ServiceId>;
}

export function createRequestQueue<Answer>(): RequestQueue<Answer> {
    const queues = new Map<ServiceId, QueuedRequest<Answer>[]>();
    const turns = createWorkspaceTurns();
    let sequence = 0;
    const queueOf = (service: ServiceId): QueuedRequest<Answer>[] => {
        let list = queues.get(service);
        if (list === undefined) {
            list = [];
            queues.set(service, list);
        }
        return list;
    };
    return {
        add: (job, latestStartAt) => {
            const queued = { job, latestStartAt, sequence: ++sequence };
            queueOf(job.service).push(queued);
            return queued;
        },
        remove: job => {
            const list = queueOf(job.service);
            const at = list.findIndex(queued => queued.job === job);
            if (at !== -1) {
                list.splice(at, 1);
            }
        },
        recordSent: turns.recordSent,
        inServiceOrder: (service, now) => {
            const list = queueOf(service);
            return list.some(hasWorkspace)
                ? sortByTurns(list, turns, now)
                : list.slice().sort((a, b) => compareQueuedRequests(a, b, now));
        },
        countAhead: (queued, now) => {
            const list = queueOf(queued.job.service);
            if (list.some(hasWorkspace)) {
                return countAheadInTurns(queued, list, turns, now);
            }
            const before = list.filter(other => other !== queued && compareQueuedRequests(other, queued, now) < 0);
            return { ahead: before.length, aheadInTime: before.filter(other => other.latestStartAt >= now).length };
        },
        queuedCount: service => queueOf(service).length,
        services: () => queues.keys(),
    };
}

const hasWorkspace = ({ job }: QueuedRequest<unknown>): boolean => job.terms.workspace !== undefined;

/** Negative if `a` is served before `b`, without regard to workspaces. */
export function compareQueuedRequests(a: QueuedRequest<unknown>, b: QueuedRequest<unknown>, now: number): number {
    const isLateA = a.latestStartAt < now;
    const isLateB = b.latestStartAt < now;
    if (isLateA !== isLateB) {
        return isLateA ? 1 : -1;
    }
    if (isLateA && a.job.isCallerRetry !== b.job.isCallerRetry) {
        return a.job.isCallerRetry ? -1 : 1;
    }
    const rank = a.job.terms.priority - b.job.terms.priority || comparePlaces(a.job.request.place, b.job.request.place);
    if (rank !== 0) {
        return rank;
    }
    return isLateA ? arrivalOf(a) - arrivalOf(b) : latestStartOf(a) - latestStartOf(b);
}

/** A request counts as arrived when it is the first of its connection, as if its caller had sent it then. */
export const arrivalOf = ({ job: { request } }: QueuedRequest<unknown>): number => request.arrivedAt + request.place.delayMs;
export const latestStartOf = ({ job, latestStartAt }: QueuedRequest<unknown>): number =>
    latestStartAt + job.request.place.delayMs;
