/**
 * Turns of workspaces by weighted fair queueing, for each service and priority. A request that is sent uses its
 * workspace's next turn, and the turn after it comes later by the inverse of the workspace's weight. Requests that are
 * refused or leave while they wait use no turn. A workspace that sends less than its share saves up a few turns, so that
 * requests of it that arrive together do not wait for each other.
 */
import type { ServiceId, WorkspaceId } from "../ids.js";
import type { Job } from "./job.js";

export interface WorkspaceTurns {
    /** Next turn of the job's workspace, in virtual time. */
    nextTurn(job: TurnTaker): number;
    /** Uses up the next turn of the job's workspace. */
    recordSent(job: TurnTaker): void;
}

/** The parts of a job that its turn depends on. */
export type TurnTaker = Pick<Job<unknown>, "service" | "terms">;

interface VirtualClock {
    /** Latest turn that was used. */
    now: number;
    readonly nextTurns: Map<WorkspaceId | undefined, number>;
}

/** Turns that a workspace saves up at most. Requests arrive at random, several at a time also where they are few. */
const maxSavedTurns = 5;
/** Workspaces for which a clock keeps turns before it drops those that have passed. */
const maxWorkspaces = 1_000;

const unusedClock: VirtualClock = { now: 0, nextTurns: new Map() };

/** Virtual time between two turns of the job's workspace. */
export const turnInterval = ({ terms }: TurnTaker): number => 1 / terms.weight;

export function createWorkspaceTurns(): WorkspaceTurns {
    const clocks = new Map<ServiceId, Map<number, VirtualClock>>();
    const findClock = ({ service, terms }: TurnTaker): VirtualClock | undefined => clocks.get(service)?.get(terms.priority);
    const clockOf = (job: TurnTaker): VirtualClock => {
        const found = findClock(job);
        if (found !== undefined) {
            return found;
        }
        const clock: VirtualClock = { now: 0, nextTurns: new Map() };
        clocks.set(job.service, (clocks.get(job.service) ?? new Map<number, VirtualClock>()).set(job.terms.priority, clock));
        return clock;
    };
    const turnAt = (clock: VirtualClock, job: TurnTaker): number =>
        Math.max(
            clock.now - maxSavedTurns * turnInterval(job),
            clock.nextTurns.get(job.terms.workspace?.id) ?? -Infinity,
        );
    return {
        nextTurn: job => turnAt(findClock(job) ?? unusedClock, job),
        recordSent: job => {
            const clock = clockOf(job);
            const turn = turnAt(clock, job);
            clock.now = Math.max(clock.now, turn);
            clock.nextTurns.set(job.terms.workspace?.id, turn + turnInterval(job));
            if (clock.nextTurns.size > maxWorkspaces) {
                dropPassedTurns(clock);
            }
        },
    };
}

function dropPassedTurns({ now, nextTurns }: VirtualClock): void {
    for (const [workspace, turn] of nextTurns) {
        if (turn <= now) {
            nextTurns.delete(workspace);
        }
    }
}
