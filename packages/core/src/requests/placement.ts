/** Starts tries: at an own target, at a peer with a grant, and at a slow target when nothing else can take the request. */
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
    /** Whether a peer is in the own region. */
    readonly isInOwnRegion: (peer: Peer) => boolean;
    /** Whether the entry may add to the region's load of the service. */
    readonly isUnderRegionLimit: (desk: ServiceRuntime) => boolean;
    /** Asks peers for grants. */
    readonly requestGrants: (desk: ServiceRuntime) => void;
    /** Whether nothing new may start now, after a pause of the process. */
    readonly isRecovering: () => boolean;
}

export interface Placement {
    /** Starts a try somewhere; a shifted request goes to the other region first. */
    tryAnywhere(state: RequestState): boolean;
    /** Starts a hedge; false when there is no headroom near by. */
    tryHedge(state: RequestState): boolean;
    sendToPeer(state: RequestState, peer: InstanceId, role: PeerRole): void;
    stateOf(attempt: AttemptId): RequestState | undefined;
    /** The try ended. */
    removeAttempt(state: RequestState, attempt: AttemptId): void;
}

export function createPlacement(options: PlacementOptions): Placement {
    const { timer, emit, grants } = options;
    const byAttempt = new Map<AttemptId, RequestState>();
    let lastAttemptId = 0;

    const startAttempt = (state: RequestState, place: AttemptDestination): Attempt => {
        const attempt: Attempt = {
            id: toAttemptId(++lastAttemptId),
            destination: place,
            startedAt: timer.now(),
            isCancelled: false,
        };
        state.attempts.set(attempt.id, attempt);
        byAttempt.set(attempt.id, state);
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
        const desk = options.runtimeOf(state);
        const mayProbe = !isAtMostOnce(state) && state.attemptsStarted === 0;
        const acquired = options.isUnderRegionLimit(desk)
            ? desk.pool.acquire(state.requestClass.lane, { excludedTargets: state.triedTargets, mayProbe, isLastResort })
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
        const isTaken = state.shiftDestination === undefined
            ? tryTarget(state) || tryPeer(state)
            : tryPeer(state) || tryTarget(state);
        return isTaken || (options.runtimeOf(state).pool.capacity() === 0 && tryTarget(state, true));
    };
    /** Starts a second try where it costs little: at an own target with room to spare, or within the region. */
    const tryNearby = (state: RequestState): boolean => {
        const desk = options.runtimeOf(state);
        if (desk.pool.freeSlots("short") > 1 && tryTarget(state)) {
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
        tryHedge: tryNearby,
        sendToPeer,
        stateOf: attempt => byAttempt.get(attempt),
        removeAttempt: (state, attempt) => {
            byAttempt.delete(attempt);
            state.attempts.delete(attempt);
        },
    };
}
