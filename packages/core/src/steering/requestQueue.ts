/**
 * Requests that wait for a slot, in the order in which they get one. Requests that can still meet their latency
 * objective come first, ordered by the route's priority and then by latest start time. Late requests follow: caller
 * retries first, then by the route's priority and then by arrival time.
 */
import type { ServiceId } from "../ids.js";
import type { Job } from "./job.js";

export interface QueuedRequest<Answer> {
    readonly job: Job<Answer>;
    /** Latest start time that still meets the latency objective. */
    readonly latestStartAt: number;
}

export interface RequestQueue<Answer> {
    add(queued: QueuedRequest<Answer>): void;
    remove(job: Job<Answer>): void;
    /** Queued requests of a service in the order in which they are served at `now`. */
    inServiceOrder(service: ServiceId, now: number): readonly QueuedRequest<Answer>[];
    /** Number of requests served before this one, and how many of them can still meet their objective. */
    countAhead(queued: QueuedRequest<Answer>, now: number): { readonly ahead: number; readonly aheadInTime: number; };
    queuedCount(service: ServiceId): number;
    services(): Iterable<ServiceId>;
}

export function createRequestQueue<Answer>(): RequestQueue<Answer> {
    const queues = new Map<ServiceId, QueuedRequest<Answer>[]>();
    const queueOf = (service: ServiceId): QueuedRequest<Answer>[] => {
        let list = queues.get(service);
        if (list === undefined) {
            list = [];
            queues.set(service, list);
        }
        return list;
    };
    return {
        add: queued => {
            queueOf(queued.job.service).push(queued);
        },
        remove: job => {
            const list = queueOf(job.service);
            const at = list.findIndex(queued => queued.job === job);
            if (at !== -1) {
                list.splice(at, 1);
            }
        },
        inServiceOrder: (service, now) => queueOf(service).slice().sort((a, b) => compareQueuedRequests(a, b, now)),
        countAhead: (queued, now) => {
            const list = queueOf(queued.job.service);
            const before = list.filter(other => other !== queued && compareQueuedRequests(other, queued, now) < 0);
            return { ahead: before.length, aheadInTime: before.filter(other => other.latestStartAt >= now).length };
        },
        queuedCount: service => queueOf(service).length,
        services: () => queues.keys(),
    };
}

/** Negative if `a` is served before `b`. */
export function compareQueuedRequests(a: QueuedRequest<unknown>, b: QueuedRequest<unknown>, now: number): number {
    const isLateA = a.latestStartAt < now;
    const isLateB = b.latestStartAt < now;
    if (isLateA !== isLateB) {
        return isLateA ? 1 : -1;
    }
    if (isLateA && a.job.isCallerRetry !== b.job.isCallerRetry) {
        return a.job.isCallerRetry ? -1 : 1;
    }
    const rank = a.job.terms.priority - b.job.terms.priority;
    if (rank !== 0) {
        return rank;
    }
    return isLateA ? a.job.request.arrivedAt - b.job.request.arrivedAt : a.latestStartAt - b.latestStartAt;
}
