/**
 * Decides whether this entry watches the store. Two entries of each data centre do, the first by id of those that live;
 * the others are told by them, and watch themselves when they hear of none that does.
 */
import type { MemberRecord, Members } from "@pimentospring/core/steering/members";
import type { Timer } from "@pimentospring/core/time/timer";

export interface WatchDuty {
    isNeeded(): boolean;
    /** An entry told that it watches the store and is answered. */
    heardFollower(record: MemberRecord): void;
}

export interface WatchDutyOptions {
    readonly timer: Timer;
    readonly self: MemberRecord;
    readonly members: Members;
}

const followersOfDataCentre = 2;
/** Two heartbeats may be lost before others watch themselves. */
const followerSilenceMs = 1_800;

export function createWatchDuty(options: WatchDutyOptions): WatchDuty {
    const { timer, self, members } = options;
    let heardAt = -Infinity;
    const isAmongFirst = (): boolean => {
        const before = members.liveMembers().filter(({ record }) => record.dataCentre === self.dataCentre && record.id < self.id);
        return before.length < followersOfDataCentre;
    };
    return {
        isNeeded: () => isAmongFirst() || timer.now() - heardAt > followerSilenceMs,
        heardFollower: record => {
            if (record.dataCentre === self.dataCentre) {
                heardAt = timer.now();
            }
        },
    };
}
