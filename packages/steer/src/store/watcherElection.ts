/**
 * Decides whether this entry watches the store. Two entries of each data centre do, the first by id of those that live;
 * the others are told by them, and watch themselves when they hear of none that does.
 */
import type { MemberRecord, Members } from "@pimentospring/core/steering/members";
import type { Timer } from "@pimentospring/core/time/timer";

export interface WatcherElection {
    isWatcher(): boolean;
    /** An entry told that it watches the store and is answered. */
    recordWatcherHeartbeat(record: MemberRecord): void;
}

export interface WatcherElectionOptions {
    readonly timer: Timer;
    readonly self: MemberRecord;
    readonly members: Members;
}

const watchersPerDataCentre = 2;
/** Two heartbeats may be lost before others watch themselves. */
const watcherTimeoutMs = 1_800;

export function createWatcherElection(options: WatcherElectionOptions): WatcherElection {
    const { timer, self, members } = options;
    let lastHeartbeatAt = -Infinity;
    const isAmongLowestIds = (): boolean => {
        const before = members.liveMembers().filter(({ record }) => record.dataCentre === self.dataCentre && record.id < self.id);
        return before.length < watchersPerDataCentre;
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
