/**
 * Decides whether this entry watches the store. In each data centre the two live entries with the lowest ids do, the
 * second as a reserve. The others receive changes from them, and watch the store themselves when they hear from no watcher.
 */
import type { MemberRecord, Members } from "@pimentospring/core/steering/members";
import type { Timer } from "@pimentospring/core/time/timer";

export interface WatcherElection {
    isWatcher(): boolean;
    /** Whether this entry is the first of its data centre's watchers. The others may watch less often. */
    isFirstWatcher(): boolean;
    /** Whether this entry is one of its data centre's watchers whatever it hears from others. */
    isElected(): boolean;
    /** Records the heartbeat of an entry that watches the store and gets responses. */
    recordWatcherHeartbeat(record: MemberRecord): void;
}

export interface WatcherElectionOptions {
    readonly timer: Timer;
    readonly self: MemberRecord;
    readonly members: Members;
}

export const watchersPerDataCentre = 2;
/** Up to two heartbeats may be lost before other entries start to watch. */
const watcherTimeoutMs = 1_800;

export function createWatcherElection(options: WatcherElectionOptions): WatcherElection {
    const { timer, self, members } = options;
    let lastHeartbeatAt = -Infinity;
    const lowerIdCount = (): number =>
        members.liveMembers().filter(({ record }) => record.dataCentre === self.dataCentre && record.id < self.id).length;
    const isElected = (): boolean => lowerIdCount() < watchersPerDataCentre;
    const hearsNoWatcher = (): boolean => timer.now() - lastHeartbeatAt > watcherTimeoutMs;
    return {
        isWatcher: () => isElected() || hearsNoWatcher(),
        isFirstWatcher: () => lowerIdCount() === 0 || hearsNoWatcher(),
        isElected,
        recordWatcherHeartbeat: record => {
            if (record.dataCentre === self.dataCentre) {
                lastHeartbeatAt = timer.now();
            }
        },
    };
}
