/**
 * Decides whether this entry watches the store. In each data centre the two live entries with the lowest ids do. The
 * others receive changes from them, and watch the store themselves when they hear from no watcher.
 */
import type { MemberRecord, Members } from "@pimentospring/core/steering/members";
import type { Timer } from "@pimentospring/core/time/timer";

export interface WatcherElection {
    isWatcher(): boolean;
    /** Records the heartbeat of an entry that watches the store and gets responses. */
    recordWatcherHeartbeat(record: MemberRecord): void;
}

export interface WatcherElectionOptions {
    readonly timer: Timer;
    readonly self: MemberRecord;
    readonly members: Members;
}

const watchersPerDataCentre = 2;
/** Up to two heartbeats may be lost before other entries start to watch. */
const watcherTimeoutMs = 1_800;

export function createWatcherElection(options: WatcherElectionOptions): WatcherElection {
    const { timer, self, members } = options;
    let lastHeartbeatAt = -Infinity;
    const isAmongLowestIds = (): boolean => {
        const lowerIds = members.liveMembers().filter(({ record }) =>
            record.dataCentre === self.dataCentre && record.id < self.id
        );
        return lowerIds.length < watchersPerDataCentre;
    };
    return {
        isWatcher: () => isAmongLowestIds() || timer.now() - lastHeartbeatAt > watcherTimeoutMs,
        recordWatcherHeartbeat: record => {
            if (record.dataCentre === self.dataCentre) {
                lastHeartbeatAt = timer.now();
            }
        },
    };
}
