/** The other entries that this entry knows: their addresses and whether they are alive. */
import type { DataCentreId, InstanceId, RegionId } from "../ids.js";
import type { Timer } from "../time/timer.js";

/** What an entry publishes about itself when it registers. */
export interface MemberRecord {
    readonly id: InstanceId;
    /** `host:port` for callers. */
    readonly callers: string;
    /** `host:port` for heartbeats between entries. */
    readonly mesh: string;
    /** `host:port` for requests from other entries. */
    readonly control: string;
    readonly dataCentre: DataCentreId;
    readonly region: RegionId;
}

export interface Member {
    readonly record: MemberRecord;
    /** Time of the last heartbeat, or of the registration before the first heartbeat. */
    lastHeardAt: number;
    /**
     * Whether a heartbeat was ever received; before the first one only the registration shows that the entry is alive.
     */
    hasSentHeartbeat: boolean;
    /** Whether the store currently lists it. */
    isRegistered: boolean;
    /** Whether the store has ever listed it. */
    wasRegistered: boolean;
    isLeaving: boolean;
}

interface LimitSharer {
    readonly id: InstanceId;
    /** Time at which it was last heard from or registered. */
    readonly seenAt: number;
}

export interface Members {
    /** Adds an entry that the store lists. */
    addRegistered(record: MemberRecord): void;
    /** Adds an entry that announced itself and that the store may not list; it is kept while heartbeats arrive. */
    addAnnounced(record: MemberRecord): void;
    /** Marks an entry that the store no longer lists; it is kept while heartbeats arrive. */
    markUnregistered(id: InstanceId): void;
    /** Makes exactly these entries the registered ones. */
    replaceAll(records: readonly MemberRecord[]): void;
    isKnown(id: InstanceId): boolean;
    /** Records a heartbeat. Returns the member, if it is known. */
    recordHeartbeat(id: InstanceId, isLeaving: boolean): Member | undefined;
    /** Records that some entry of the data centre was heard from, directly or through a relay. */
    recordDataCentreAlive(dataCentre: DataCentreId): void;
    liveMembers(): Member[];
    /** Entries that may share budgets, this one included: those registered, and those heard from within the retention time. */
    budgetSharerCount(): number;
    /**
     * Ids of the entries that may admit requests under shared limits, this one included, in order. An entry that is silent and
     * has not announced that it leaves may be cut off and still admit its part, so that it counts for a long time.
     */
    limitSharers(): readonly InstanceId[];
    /** Live entries in a data centre, including this one if it is there. */
    liveCountIn(dataCentre: DataCentreId): number;
    /** Whether the data centre has a live entry other than this one. */
    isDataCentreLive(dataCentre: DataCentreId): boolean;
    /** Whether no live entry has a lower id than this one. */
    hasLowestId(): boolean;
    all(): Iterable<Member>;
}

/** An entry that has sent heartbeats counts as dead after this time without one. */
const heartbeatTimeoutMs = 2_600;
/** Time for which a registration alone counts as evidence that an entry is alive. */
const registrationGraceMs = 3_500;
/**
 * Entries send heartbeats only within their data centre, so that those elsewhere are judged together: registered ones
 * count as live for this long after any entry of their data centre was heard from.
 */
const dataCentreTimeoutMs = 5_000;
/** Time for which a silent entry still counts among the entries that share limits. */
const limitSharerRetentionMs = 300_000;
const limitSharersIntervalMs = 100;
/** Time for which a silent entry still counts among the entries that share a budget. */
const budgetSharerRetentionMs = 12_000;
/** Several times the entries of a large deployment. Those that announced themselves beyond it are not taken. */
const maxAnnounced = 2_000;

/** `onFirstRegistered` is called with each entry that the store lists for the first time. */
export function createMembers(
    timer: Timer,
    self: MemberRecord,
    onFirstRegistered: (member: Member) => void = () => {},
): Members {
    const members = new Map<InstanceId, Member>();
    const dataCentreHeardAt = new Map<DataCentreId, number>();
    const isHeard = (member: Member): boolean =>
        timer.now() - member.lastHeardAt < (member.hasSentHeartbeat ? heartbeatTimeoutMs : registrationGraceMs);
    const isVouchedFor = ({ record, isRegistered }: Member): boolean =>
        isRegistered && record.dataCentre !== self.dataCentre
        && timer.now() - (dataCentreHeardAt.get(record.dataCentre) ?? -Infinity) < dataCentreTimeoutMs;
    const isLive = (member: Member): boolean => !member.isLeaving && (isHeard(member) || isVouchedFor(member));
    const setRegistered = (member: Member, isRegistered: boolean): void => {
        const isFirst = isRegistered && !member.wasRegistered;
        member.isRegistered ||= isRegistered;
        member.wasRegistered ||= isRegistered;
        if (isFirst) {
            onFirstRegistered(member);
        }
    };
    const add = (record: MemberRecord, isRegistered: boolean): void => {
        // A record at this entry's own address is its own, or that of a previous incarnation.
        if (record.id === self.id || record.mesh === self.mesh) {
            return;
        }
        const known = members.get(record.id);
        if (known !== undefined) {
            setRegistered(known, isRegistered);
            return;
        }
        // A new incarnation at the same address replaces the previous one.
        [...members.values()].filter(member => member.record.mesh === record.mesh).forEach(member =>
            members.delete(member.record.id)
        );
        const member: Member = {
            record,
            lastHeardAt: timer.now(),
            hasSentHeartbeat: false,
            isRegistered: false,
            wasRegistered: false,
            isLeaving: false,
        };
        members.set(record.id, member);
        setRegistered(member, isRegistered);
    };
    const register = (record: MemberRecord): void => add(record, true);
    const unregister = (id: InstanceId): void => {
        const member = members.get(id);
        if (member !== undefined) {
            member.isRegistered = false;
        }
    };
    const removeExpired = (): void => {
        for (const [id, member] of members) {
            if (!member.isRegistered && timer.now() - member.lastHeardAt > budgetSharerRetentionMs) {
                members.delete(id);
            }
        }
    };
    /** By mesh address, as a new incarnation replaces the previous one. */
    const sharersByAddress = new Map<string, LimitSharer>();
    let sharers: readonly InstanceId[] = [self.id];
    let sharersUpdatedAt = -Infinity;
    const updateLimitSharers = (): void => {
        const now = timer.now();
        sharersUpdatedAt = now;
        for (const { record, isRegistered, isLeaving, lastHeardAt } of members.values()) {
            if (isLeaving) {
                sharersByAddress.delete(record.mesh);
            }
            else {
                sharersByAddress.set(record.mesh, { id: record.id, seenAt: isRegistered ? now : lastHeardAt });
            }
        }
        sharersByAddress.forEach(({ seenAt }, address) =>
            now - seenAt > limitSharerRetentionMs && sharersByAddress.delete(address)
        );
        sharers = [self.id, ...[...sharersByAddress.values()].map(({ id }) => id)].sort();
    };
    const announcedCount = (): number => {
        let count = 0;
        for (const { isRegistered } of members.values()) {
            count += isRegistered ? 0 : 1;
        }
        return count;
    };
    const live = (): Member[] => [...members.values()].filter(isLive);
    return {
        addRegistered: register,
        addAnnounced: record => {
            if (!members.has(record.id) && announcedCount() >= maxAnnounced) {
                removeExpired();
                if (announcedCount() >= maxAnnounced) {
                    return;
                }
            }
            add(record, false);
        },
        markUnregistered: unregister,
        replaceAll: records => {
            const ids = new Set(records.map(record => record.id));
            [...members.keys()].filter(id => !ids.has(id)).forEach(unregister);
            records.forEach(register);
        },
        isKnown: id => members.has(id),
        recordHeartbeat: (id, isLeaving) => {
            const member = members.get(id);
            if (member !== undefined) {
                member.lastHeardAt = timer.now();
                member.hasSentHeartbeat = true;
                member.isLeaving = isLeaving;
            }
            return member;
        },
        recordDataCentreAlive: dataCentre => void dataCentreHeardAt.set(dataCentre, timer.now()),
        liveMembers: live,
        budgetSharerCount: () => {
            removeExpired();
            let count = 1;
            for (const member of members.values()) {
                count += member.isRegistered || timer.now() - member.lastHeardAt < budgetSharerRetentionMs ? 1 : 0;
            }
            return count;
        },
        limitSharers: () => {
            if (timer.now() - sharersUpdatedAt >= limitSharersIntervalMs) {
                updateLimitSharers();
            }
            return sharers;
        },
        liveCountIn: dataCentre =>
            live().filter(member => member.record.dataCentre === dataCentre).length
            + (self.dataCentre === dataCentre ? 1 : 0),
        isDataCentreLive: dataCentre => {
            for (const member of members.values()) {
                if (member.record.dataCentre === dataCentre && isLive(member)) {
                    return true;
                }
            }
            return false;
        },
        hasLowestId: () => live().every(({ record }) => record.id > self.id),
        all: () => members.values(),
    };
}
