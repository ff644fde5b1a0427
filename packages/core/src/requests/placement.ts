/** Starts attempts: at a local target, at a peer with a grant or, as a last resort, at a target ejected as slow. */
import { type AttemptId, type InstanceId, toAttemptId } from "../ids.js";
import type { Peer } from "../membership/peers.js";
import type { ReceivedGrants } from "../routing/grants.js";
import type { Timer } from "../time/timer.js";
import type { Emit, PeerRole } from "./events.js";
import { type Attempt, type AttemptDestination, isAtMostOnce, mayForward, type RequestState } from "./requestState.js";
import type { ServiceRuntime } from "./serviceRuntime.js";

export interface PlacementOptions {
    readonly timer: Timer;
    readonly emit: Emit;
    readonly grants: ReceivedGrants;
    readonly runtimeOf: (state: RequestState) => ServiceRuntime;
    readonly choosePeer: (state: RequestState) => Peer | undefined;
    /** Whether a peer is in the same region as this entry. */
    readonly isInOwnRegion: (peer: Peer) => boolean;
    /** Whether this entry is below its part of the region's limit for the service. */
    readonly isUnderRegionLimit: (runtime: ServiceRuntime) => boolean;
    /** Sends demands for grants to peers. */
    readonly requestGrants: (runtime: ServiceRuntime) => void;
    /** Whether no new attempt may start, shortly after a pause of the process. */
    readonly isRecovering: () => boolean;
}

export interface Placement {
    /** Starts an attempt at a target or peer; a shifted request tries peers first. */
    tryAnywhere(state: RequestState): boolean;
    /** Starts a hedge attempt; returns false if the entry and its region have no spare capacity. */
    tryHedge(state: RequestState): boolean;
    sendToPeer(state: RequestState, peer: InstanceId, role: PeerRole): void;
    stateOf(attempt: AttemptId): RequestState | undefined;
    removeAttempt(state: RequestState, attempt: AttemptId): void;
}

export function createPlacement(options: PlacementOptions): Placement {
    const { timer, emit, grants } = options;
    const stateByAttempt = new Map<AttemptId, RequestState>();
    let lastAttemptId = 0;

    const startAttempt = (state: RequestState, destination: AttemptDestination): Attempt => {
        const attempt: Attempt = {
            id: toAttemptId(++lastAttemptId),
            destination,
            startedAt: timer.now(),
            isCancelled: false,
        };
        state.attempts.set(attempt.id, attempt);
        stateByAttempt.set(attempt.id, state);
        state.attemptsStarted++;
        return attempt;
    };
    const remainingMs = (state: RequestState): number => Math.max(1, state.deadlineAt - timer.now());
    const sendToPeer = (state: RequestState, peer: InstanceId, role: PeerRole): void => {
        const attempt = startAttempt(state, { kind: "peer", peer, role });
        state.triedPeers.push(peer);
        if (role === "run") {
            grants.recordSent(state.serviceId, peer);
        }
        emit({
            kind: "sendToPeer",
            attempt: attempt.id,
            request: state.incoming.id,
            peer,
            role,
            remainingMs: remainingMs(state),
        });
    };
    const tryTarget = (state: RequestState, isLastResort = false): boolean => {
        const runtime = options.runtimeOf(state);
        const mayProbe = !isAtMostOnce(state) && state.attemptsStarted === 0;
        const acquired = options.isUnderRegionLimit(runtime)
            ? runtime.pool.acquire(state.requestClass.lane, { excludedTargets: state.triedTargets, mayProbe, isLastResort })
            : undefined;
        if (acquired === undefined) {
            return false;
        }
        const { target, address } = acquired;
        const attempt = startAttempt(state, { kind: "target", target });
        state.triedTargets.push(target);
        emit({
            kind: "sendToTarget",
            attempt: attempt.id,
            request: state.incoming.id,
            target,
            address,
            remainingMs: remainingMs(state),
        });
        return true;
    };
    const tryPeer = (state: RequestState): boolean => {
        if (!mayForward(state)) {
            return false;
        }
        options.requestGrants(options.runtimeOf(state));
        const peer = options.choosePeer(state);
        if (peer === undefined) {
            return false;
        }
        sendToPeer(state, peer.instance, "run");
        return true;
    };
    const tryAnywhere = (state: RequestState): boolean => {
        if (options.isRecovering()) {
            return false;
        }
        const hasStarted = state.shiftDestination === undefined
            ? tryTarget(state) || tryPeer(state)
            : tryPeer(state) || tryTarget(state);
        return hasStarted || (options.runtimeOf(state).pool.capacity() === 0 && tryTarget(state, true));
    };
    /** Starts a hedge where it is cheap: at a local target with more than one free slot, or at a peer in the region. */
    const tryHedge = (state: RequestState): boolean => {
        const runtime = options.runtimeOf(state);
        if (runtime.pool.freeSlots("short") > 1 && tryTarget(state)) {
            return true;
        }
        const peer = mayForward(state) ? options.choosePeer(state) : undefined;
        if (peer === undefined || !options.isInOwnRegion(peer)) {
            return false;
        }
        sendToPeer(state, peer.instance, "run");
        return true;
    };
    return {
        tryAnywhere,
        tryHedge,
        sendToPeer,
        stateOf: attempt => stateByAttempt.get(attempt),
        removeAttempt: (state, attempt) => {
            stateByAttempt.delete(attempt);
            state.attempts.delete(attempt);
        },
    };
}
