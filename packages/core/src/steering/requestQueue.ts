/**
 * Requests that wait for a slot, in the order in which they get one: those that can still be answered in time come
 * first, among them the more urgent route and then the one that would soonest be too late; of the late ones those that
 * were refused before come first, then the more urgent route, then the earlier arrival.
 */
import type { ServiceId } from "../ids.js";
import type { Job } from "./job.js";

export interface QueuedRequest<Answer> {
    readonly job: Job<Answer>;
    /** Last moment at which it may start and still be in time. */
    readonly latestStartAt: number;
}

export interface RequestQueue<Answer> {
    add(waiter: QueuedRequest<Answer>): void;
    remove(job: Job<Answer>): void;
    /** Waiters of a service in the order in which they are served at `now`. */
    inServiceOrder(service: ServiceId, now: number): readonly QueuedRequest<Answer>[];
    /** How many are served before this one, and how many of them can still be in time. */
    countAhead(waiter: QueuedRequest<Answer>, now: number): { readonly ahead: number; readonly aheadInTime: number; };
    queuedCount(service: ServiceId): number;
    services(): Iterable<ServiceId>;
}

export function createRequestQueue<Answer>(): RequestQueue<Answer> {
    const lists = new Map<ServiceId, QueuedRequest<Answer>[]>();
    const listOf = (service: ServiceId): QueuedRequest<Answer>[] => {
        let list = lists.get(service);
        if (list === undefined) {
            list = [];
            lists.set(service, list);
        }
        return list;
    };
    return {
        add: waiter => {
            listOf(waiter.job.service).push(waiter);
        },
        remove: job => {
            const list = listOf(job.service);
            const at = list.findIndex(waiter => waiter.job === job);
            if (at !== -1) {
                list.splice(at, 1);
            }
        },
        inServiceOrder: (service, now) => listOf(service).slice().sort((a, b) => compareQueuedRequests(a, b, now)),
        countAhead: (waiter, now) => {
            const list = listOf(waiter.job.service);
            const before = list.filter(other => other !== waiter && compareQueuedRequests(other, waiter, now) < 0);
            return { ahead: before.length, aheadInTime: before.filter(other => other.latestStartAt >= now).length };
        },
        queuedCount: service => listOf(service).length,
        services: () => lists.keys(),
    };
}

/** Below 0 when `a` is served before `b`. */
export function compareQueuedRequests(a: QueuedRequest<unknown>, b: QueuedRequest<unknown>, now: number): number {
    const isLateA = a.latestStartAt < now;
    const isLateB = b.latestStartAt < now;
    if (isLateA !== isLateB) {
        return isLateA ? 1 : -1;
    }
    if (isLateA && a.job.isCallerRetry !== b.job.isCallerRetry) {
        return a.job.isCallerRetry ? -1 : 1;
    }
    const rank = a.job.route.priority - b.job.route.priority;
    if (rank !== 0) {
        return rank;
    }
    return isLateA ? a.job.request.arrivedAt - b.job.request.arrivedAt : a.latestStartAt - b.latestStartAt;
}
