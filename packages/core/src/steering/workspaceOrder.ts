/**
 * Order of a service's queued requests where they have workspaces. Requests that can still meet their latency objective
 * come first, and among them and among late ones those of the more urgent priority. Requests that are equal in both take
 * turns by workspace. Within a workspace late caller retries come first; then requests are ordered by latest start time, or
 * by arrival time if they are late. So neither a long queue of a workspace nor the retries of its callers delay others.
 */
import type { WorkspaceId } from "../ids.js";
import { comparePlaces } from "./connectionPlace.js";
import { arrivalOf, latestStartOf, type QueuedRequest, type QueuePosition } from "./requestQueue.js";
import { turnInterval, type WorkspaceTurns } from "./workspaceTurns.js";

/** Queued requests of one workspace that are equally urgent. */
interface Flow {
    /** The one that is served first. */
    first: QueuedRequest<unknown>;
    count: number;
    readonly nextTurn: number;
    readonly interval: number;
}

/** A queued request, and the turn of its workspace in which it is served. */
interface Turn<Answer> {
    readonly queued: QueuedRequest<Answer>;
    readonly flow: Flow;
    readonly at: number;
}

/** Returns the queued requests of a service in the order in which they are served. */
export function sortByTurns<Answer>(
    list: readonly QueuedRequest<Answer>[],
    turns: WorkspaceTurns,
    now: number,
): readonly QueuedRequest<Answer>[] {
    const sorted = list.slice().sort((a, b) => compareUrgency(a, b, now) || compareInFlow(a, b, now));
    let flows = new Map<WorkspaceId | undefined, Flow>();
    const taken = sorted.map((queued, index): Turn<Answer> => {
        if (index > 0 && compareUrgency(sorted[index - 1]!, queued, now) !== 0) {
            flows = new Map();
        }
        const flow = flowOf(flows, queued, turns);
        return { queued, flow, at: turnAt(flow, flow.count++) };
    });
    return taken.sort((a, b) => compareUrgency(a.queued, b.queued, now) || compareTurns(a, b, now)).map(({ queued }) => queued);
}

/** Counts the requests before one in the order of `sortByTurns`, in one pass over the queue. */
export function countAheadInTurns(
    queued: QueuedRequest<unknown>,
    list: readonly QueuedRequest<unknown>[],
    turns: WorkspaceTurns,
    now: number,
): QueuePosition {
    let moreUrgent = 0;
    let moreUrgentInTime = 0;
    let aheadInFlow = 0;
    const flows = new Map<WorkspaceId | undefined, Flow>();
    for (const other of list) {
        const urgency = compareUrgency(other, queued, now);
        if (urgency < 0) {
            moreUrgent++;
            moreUrgentInTime += isLate(other, now) ? 0 : 1;
        }
        else if (urgency === 0) {
            const flow = flowOf(flows, other, turns);
            flow.count++;
            flow.first = compareInFlow(other, flow.first, now) < 0 ? other : flow.first;
            aheadInFlow += workspaceOf(other) === workspaceOf(queued) && compareInFlow(other, queued, now) < 0 ? 1 : 0;
        }
    }
    const own = flowOf(flows, queued, turns);
    const ownTurn = { flow: own, at: turnAt(own, aheadInFlow) };
    let ahead = aheadInFlow;
    for (const flow of flows.values()) {
        ahead += flow === own ? 0 : countTurnsBefore(flow, ownTurn, now);
    }
    return { ahead: moreUrgent + ahead, aheadInTime: moreUrgentInTime + (isLate(queued, now) ? 0 : ahead) };
}

function countTurnsBefore(flow: Flow, turn: Pick<Turn<unknown>, "flow" | "at">, now: number): number {
    let count = 0;
    while (count < flow.count && compareTurns({ flow, at: turnAt(flow, count) }, turn, now) < 0) {
        count++;
    }
    return count;
}

const workspaceOf = ({ job }: QueuedRequest<unknown>): WorkspaceId | undefined => job.terms.workspace?.id;
const isLate = ({ latestStartAt }: QueuedRequest<unknown>, now: number): boolean => latestStartAt < now;
const turnAt = ({ nextTurn, interval }: Flow, position: number): number => nextTurn + position * interval;

function flowOf(flows: Map<WorkspaceId | undefined, Flow>, queued: QueuedRequest<unknown>, turns: WorkspaceTurns): Flow {
    const workspace = workspaceOf(queued);
    let flow = flows.get(workspace);
    if (flow === undefined) {
        flow = { first: queued, count: 0, nextTurn: turns.nextTurn(queued.job), interval: turnInterval(queued.job) };
        flows.set(workspace, flow);
    }
    return flow;
}

/** Equal turns go to the workspace whose first request is more urgent. */
function compareTurns(a: Pick<Turn<unknown>, "flow" | "at">, b: Pick<Turn<unknown>, "flow" | "at">, now: number): number {
    return a.at - b.at || (a.flow === b.flow ? 0 : compareInFlow(a.flow.first, b.flow.first, now));
}

/** 0 if workspaces take turns between the two. */
function compareUrgency(a: QueuedRequest<unknown>, b: QueuedRequest<unknown>, now: number): number {
    return Number(isLate(a, now)) - Number(isLate(b, now)) || a.job.terms.priority - b.job.terms.priority;
}

/** Orders requests that are equally urgent. */
function compareInFlow(a: QueuedRequest<unknown>, b: QueuedRequest<unknown>, now: number): number {
    const place = comparePlaces(a.job.request.place, b.job.request.place);
    const order = isLate(a, now)
        ? Number(b.job.isCallerRetry) - Number(a.job.isCallerRetry) || place || arrivalOf(a) - arrivalOf(b)
        : place || latestStartOf(a) - latestStartOf(b);
    return order || a.sequence - b.sequence;
}
