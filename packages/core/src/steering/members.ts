/** The entries that this entry knows of: who they are, where callers reach them, and whether they live. */
import type { DataCentreId, InstanceId, RegionId } from "../ids.js";
import type { Timer } from "../time/timer.js";

/** What an entry says of itself when it registers. */
export interface MemberRecord {
    readonly id: InstanceId;
    /** `host:port` for callers. */
    readonly callers: string;
    /** `host:port` for heartbeats between entries. */
    readonly mesh: string;
    /** `host:port` for what other entries ask of it. */
    readonly control: string;
    readonly dataCentre: DataCentreId;
    readonly region: RegionId;
}

export interface Member {
    readonly record: MemberRecord;
    /** When it was heard of last, by heartbeat or registration. */
    lastHeardAt: number;
    /** Whether a heartbeat ever came; without one only the registration speaks for it. */
    hasSentHeartbeat: boolean;
    /** Whether the store lists it now. */
    isRegistered: boolean;
    isLeaving: boolean;
}

export interface Members {
    /** The store lists this entry. */
    addRegistered(record: MemberRecord): void;
    /** It told of itself, though the store may not list it; it stays while it can be heard. */
    addAnnounced(record: MemberRecord): void;
    /** The store no longer lists it; it stays while it can be heard. */
    markUnregistered(id: InstanceId): void;
    /** The store lists exactly these. */
    replaceAll(records: readonly MemberRecord[]): void;
    /** A heartbeat came. Returns the member, if it is known. */
    recordHeartbeat(id: InstanceId, isLeaving: boolean): Member | undefined;
    liveMembers(): Member[];
    /** Entries that may still be sharing budgets: heard of within the longest memory, this one included. */
    budgetSharerCount(): number;
    /** Live entries in a data centre, this one included if it is there. */
    liveCountIn(dataCentre: DataCentreId): number;
    all(): Iterable<Member>;
}

/** Silence after which an entry that used to beat counts as dead. */
const heartbeatTimeoutMs = 2_600;
/** A registration alone speaks for an entry for this long. */
const registrationGraceMs = 3_500;
/** Time for which a silent entry is still counted among those that share a budget. */
const budgetSharerRetentionMs = 12_000;

export function createMembers(timer: Timer, self: MemberRecord): Members {
    const members = new Map<InstanceId, Member>();
    const isLive = (member: Member): boolean => {
        const silence = timer.now() - member.lastHeardAt;
        return !member.isLeaving && silence < (member.hasSentHeartbeat ? heartbeatTimeoutMs : registrationGraceMs);
    };
    const add = (record: MemberRecord, isRegistered: boolean): void => {
        if (record.id === self.id) {
            return;
        }
        const known = members.get(record.id);
        if (known !== undefined) {
            known.isRegistered ||= isRegistered;
            return;
        }
        // A new run at the same address replaces the one before.
        [...members.values()].filter(member => member.record.mesh === record.mesh).forEach(member =>
            members.delete(member.record.id)
        );
        members.set(record.id, { record, lastHeardAt: timer.now(), hasSentHeartbeat: false, isRegistered, isLeaving: false });
    };
    const register = (record: MemberRecord): void => add(record, true);
    const unregister = (id: InstanceId): void => {
        const member = members.get(id);
        if (member !== undefined) {
            member.isRegistered = false;
        }
    };
    const forgetSilent = (): void => {
        for (const [id, member] of members) {
            if (!member.isRegistered && timer.now() - member.lastHeardAt > budgetSharerRetentionMs) {
                members.delete(id);
            }
        }
    };
    const live = (): Member[] => [...members.values()].filter(isLive);
    return {
        addRegistered: register,
        addAnnounced: record => add(record, false),
        markUnregistered: unregister,
        replaceAll: records => {
            const ids = new Set(records.map(record => record.id));
            [...members.keys()].filter(id => !ids.has(id)).forEach(unregister);
            records.forEach(register);
        },
        recordHeartbeat: (id, isLeaving) => {
            const member = members.get(id);
            if (member !== undefined) {
                member.lastHeardAt = timer.now();
                member.hasSentHeartbeat = true;
                member.isLeaving = isLeaving;
            }
            return member;
        },
        liveMembers: live,
        budgetSharerCount: () => {
            forgetSilent();
            let count = 1;
            for (const member of members.values()) {
                count += timer.now() - member.lastHeardAt < budgetSharerRetentionMs ? 1 : 0;
            }
            return count;
        },
        liveCountIn: dataCentre =>
            live().filter(member => member.record.dataCentre === dataCentre).length
            + (self.dataCentre === dataCentre ? 1 : 0),
        all: () => members.values(),
    };
}
