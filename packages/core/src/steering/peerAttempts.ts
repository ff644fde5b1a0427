/** Applies the digests of other entries to this entry's view of the targets. */
import type { InstanceId } from "../ids.js";
import type { Timer } from "../time/timer.js";
import type { AttemptDigest, TargetCount } from "./attemptDigest.js";
import type { ObjectAffinity } from "./objectAffinity.js";
import type { Target } from "./target.js";
import type { TargetRegistry } from "./targetRegistry.js";

export interface PeerAttempts {
    apply(entry: InstanceId, digest: AttemptDigest): void;
}

export interface PeerAttemptsOptions {
    readonly timer: Timer;
    readonly registry: TargetRegistry;
    readonly objectAffinity: ObjectAffinity;
}

/** Attempts of an entry without newer digests are forgotten after this time. */
const retentionMs = 1_500;
const expiryCheckIntervalMs = 500;

interface KnownTargetCount {
    readonly target: Target;
    readonly count: number;
}

interface PeerState {
    readonly inFlight: readonly KnownTargetCount[];
    readonly receivedAt: number;
}

export function createPeerAttempts(options: PeerAttemptsOptions): PeerAttempts {
    const { timer, registry, objectAffinity } = options;
    const peers = new Map<InstanceId, PeerState>();
    const add = (inFlight: readonly KnownTargetCount[], sign: 1 | -1): void =>
        inFlight.forEach(({ target, count }) => {
            target.peersInFlight += sign * count;
        });
    const resolve = (inFlight: readonly TargetCount[]): KnownTargetCount[] =>
        inFlight.flatMap(({ target: hash, count }) => {
            const target = registry.findByHash(hash);
            return target === undefined ? [] : [{ target, count }];
        });
    timer.subscribe(expiryCheckIntervalMs, () => {
        for (const [entry, state] of peers) {
            if (timer.now() - state.receivedAt > retentionMs) {
                add(state.inFlight, -1);
                peers.delete(entry);
            }
        }
    });
    return {
        apply: (entry, digest) => {
            add(peers.get(entry)?.inFlight ?? [], -1);
            const inFlight = resolve(digest.inFlight);
            add(inFlight, 1);
            peers.set(entry, { inFlight, receivedAt: timer.now() });
            for (const item of digest.started) {
                const target = registry.findByHash(item.target);
                if (target !== undefined) {
                    target.cache.recordAccess(item.object);
                    target.isUntried = false;
                    objectAffinity.recordUse(target.record.service, item.object);
                }
            }
        },
    };
}
