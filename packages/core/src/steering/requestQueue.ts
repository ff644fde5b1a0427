/**
 * Requests that wait for a slot, in the order in which they get one: those that can still be answered in time come
 * first, among them the more urgent route and then the one that would soonest be too late; of the late ones those that
 * were refused before come first, then the more urgent route, then the earlier arrival.
 */
import type { ServiceId } from "../ids.js";
import type { Job } from "./job.js";

export interface Waiter<Answer> {
    readonly job: Job<Answer>;
    /** Last moment at which it may start and still be in time. */
    readonly latestStart: number;
}

export interface RequestQueue<Answer> {
    add(waiter: Waiter<Answer>): void;
    remove(job: Job<Answer>): void;
    /** Waiters of a service in the order in which they are served at `now`. */
    ordered(service: ServiceId, now: number): readonly Waiter<Answer>[];
    /** How many are served before this one, and how many of them can still be in time. */
    ahead(waiter: Waiter<Answer>, now: number): { readonly ahead: number; readonly aheadInTime: number; };
    waiting(service: ServiceId): number;
    services(): Iterable<ServiceId>;
}

export function createRequestQueue<Answer>(): RequestQueue<Answer> {
    const lists = new Map<ServiceId, Waiter<Answer>[]>();
    const listOf = (service: ServiceId): Waiter<Answer>[] => {
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
        ordered: (service, now) => listOf(service).slice().sort((a, b) => compareWaiters(a, b, now)),
        ahead: (waiter, now) => {
            const list = listOf(waiter.job.service);
            const before = list.filter(other => other !== waiter && compareWaiters(other, waiter, now) < 0);
            return { ahead: before.length, aheadInTime: before.filter(other => other.latestStart >= now).length };
        },
        waiting: service => listOf(service).length,
        services: () => lists.keys(),
    };
}

/** Below 0 when `a` is served before `b`. */
export function compareWaiters(a: Waiter<unknown>, b: Waiter<unknown>, now: number): number {
    const isLateA = a.latestStart < now;
    const isLateB = b.latestStart < now;
    if (isLateA !== isLateB) {
        return isLateA ? 1 : -1;
    }
    if (isLateA && a.job.isReturn !== b.job.isReturn) {
        return a.job.isReturn ? -1 : 1;
    }
    const rank = a.job.route.priority - b.job.route.priority;
    if (rank !== 0) {
        return rank;
    }
    return isLateA ? a.job.request.arrivedAt - b.job.request.arrivedAt : a.latestStart - b.latestStart;
}
