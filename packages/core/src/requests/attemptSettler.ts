/** Releases the slot or grant of an ended attempt and records what its end says about the health of the target. */
import { type InstanceId, type TargetId, toTargetIncarnationId } from "../ids.js";
import type { PoisonList } from "../poison/poisonList.js";
import type { ReceivedGrants } from "../routing/grants.js";
import type { Timer } from "../time/timer.js";
import type { AttemptEnd, Emit } from "./events.js";
import type { Attempt, RequestState } from "./requestState.js";
import type { ServiceRuntime } from "./serviceRuntime.js";

export interface AttemptSettlerOptions {
    readonly timer: Timer;
    readonly self: InstanceId;
    readonly emit: Emit;
    readonly grants: ReceivedGrants;
    readonly poison: PoisonList;
    readonly runtimeOf: (state: RequestState) => ServiceRuntime;
}

export type SettleAttempt = (state: RequestState, attempt: Attempt, end: AttemptEnd) => void;

export function createAttemptSettler(options: AttemptSettlerOptions): SettleAttempt {
    const { timer, emit, grants } = options;

    const settle = (state: RequestState, attempt: Attempt, end: AttemptEnd): void => {
        const latencyMs = timer.now() - attempt.startedAt;
        if (attempt.destination.kind === "target") {
            releaseTarget(state, attempt.destination.target, end, latencyMs);
            return;
        }
        if (attempt.destination.role === "run") {
            grants.recordEnded(state.serviceId, attempt.destination.peer);
            if (end.kind === "shed" || end.kind === "notSent") {
                grants.invalidate(state.serviceId, attempt.destination.peer);
            }
        }
    };
    const releaseTarget = (state: RequestState, target: TargetId, end: AttemptEnd, latencyMs: number): void => {
        const { pool } = options.runtimeOf(state);
        const lane = state.requestClass.lane;
        switch (end.kind) {
            case "done":
            case "settled":
                pool.release(target, lane, { kind: "answered", latencyMs });
                break;
            case "shed":
                pool.release(target, lane, { kind: "shed" });
                break;
            case "cancelled":
                pool.release(target, lane, { kind: "cancelled", latencyMs });
                break;
            case "notSent":
                pool.release(target, lane, { kind: "died" });
                break;
            case "broken":
                pool.release(target, lane, { kind: "died" });
                recordTargetDeath(state, target);
                break;
        }
    };
    let recordedDeaths = 0;
    /** Targets do not say when they started, so that each death gets a number of this entry. */
    const recordTargetDeath = (state: RequestState, target: TargetId): void => {
        const fingerprint = state.incoming.fingerprint();
        const targetIncarnation = toTargetIncarnationId(`${target}@${options.self}#${++recordedDeaths}`);
        options.poison.recordDeath([fingerprint], targetIncarnation);
        const deaths = options.poison.deathCount(fingerprint);
        emit({ kind: "note", note: { kind: "poison", fingerprint, deaths, targetIncarnation } });
    };
    return settle;
}
