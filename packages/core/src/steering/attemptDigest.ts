/**
 * What the entries of a data centre tell each other about their attempts: how many run at each target, and which objects
 * targets have begun to work on. Many entries share a target, and each of them alone sees too few of its requests to know
 * which slots are taken and which objects it has cached.
 */
import type { Target } from "./target.js";

export interface AttemptDigest {
    /** All attempts of the entry that are in flight; a later digest replaces them. */
    readonly inFlight: readonly TargetCount[];
    /** Objects on which attempts started work since the previous digest. */
    readonly started: readonly StartedObject[];
}

/** Targets are named by the hash of their id. */
export interface TargetCount {
    readonly target: number;
    readonly count: number;
}

export interface StartedObject {
    readonly target: number;
    /** Hash of the object's key. */
    readonly object: number;
}

export interface OwnAttempts {
    /** Records that the number of this entry's attempts at the target has changed. */
    recordInFlight(target: Target): void;
    recordStarted(target: Target, object: number): void;
    /** Returns what is to be told now, and forgets the objects that it names; `undefined` if nothing changed. */
    takeDigest(): AttemptDigest | undefined;
}

/** Objects named in one digest, so that it fits into a datagram; the others follow in the next one. */
export const maxStartedObjects = 90;
/** Objects that wait for a digest; the oldest are dropped, as by then targets have worked on many others. */
export const maxWaitingObjects = 2_000;

export function createOwnAttempts(): OwnAttempts {
    const busyTargets = new Set<Target>();
    let started: StartedObject[] = [];
    let hasChanged = false;
    return {
        recordInFlight: target => {
            hasChanged = true;
            if (target.inFlight > 0) {
                busyTargets.add(target);
            }
            else {
                busyTargets.delete(target);
            }
        },
        recordStarted: (target, object) => {
            hasChanged = true;
            started.push({ target: target.hashSeed, object });
            if (started.length >= 2 * maxWaitingObjects) {
                started = started.slice(-maxWaitingObjects);
            }
        },
        takeDigest: () => {
            if (!hasChanged && busyTargets.size === 0) {
                return undefined;
            }
            const inFlight = [...busyTargets].map(target => ({ target: target.hashSeed, count: target.inFlight }));
            const digest = { inFlight, started: started.slice(0, maxStartedObjects) };
            started = started.slice(maxStartedObjects);
            hasChanged = started.length > 0;
            return digest;
        },
    };
}
