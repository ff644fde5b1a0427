/** What an instance knows of the others' use of shared limits: the last total that includes its own reports. */
import type { Timer } from "../time/timer.js";
import { contactTimeoutMs } from "./quotaAggregator.js";
import type { KeyUse, TotalReport, TotalUse } from "./quotaReport.js";

export interface QuotaView {
    /** Keeps what was sent, to tell the own part of a total from that of the others. */
    recordSent(sequence: number, uses: readonly OwnUse[]): void;
    /**
     * Takes a total. Returns false for one that doesn't include a recent report of this instance: it is of a group that this
     * instance doesn't belong to.
     */
    apply(report: TotalReport): boolean;
    /** Whether a total was received recently. */
    hasContact(): boolean;
    /** Whether a total was ever received. */
    hasEverHadContact(): boolean;
    /** Time of the last total that was received, or of the start. */
    lastContactAt(): number;
    /** Instances in contact with each other, this one included. */
    groupSize(): number;
    /** Instances that the relay knows to exist; 0 before the first total. */
    knownCount(): number;
    othersUse(key: number): OthersUse;
    /** `OwnUse.taken` of the own report that the last total includes; 0 if there is none. */
    ownTaken(key: number): number;
}

/** Use of one key by this instance. */
export interface OwnUse extends KeyUse {
    /** Requests admitted since the key's first, less those given back. */
    readonly taken: number;
}

/** Use of one key by the other instances. */
export interface OthersUse {
    /** Admitted in the last window by other instances of the group, according to the last total. */
    readonly count: number;
    /** The same for instances that the group is not in contact with. */
    readonly silentCount: number;
    /** Growth of `count` per second, as far as it grows. */
    readonly growthPerSecond: number;
}

/** A total that is older is overdue; until it arrives, or contact is lost, the others' use is assumed to grow as before. */
const maxTotalDelayMs = 200;
/** Time over which the growth of the others' use is measured. */
const growthSpanMs = 400;
const msPerSecond = 1_000;

interface SentReport {
    readonly sentAt: number;
    readonly uses: ReadonlyMap<number, OwnUse>;
}

interface KnownTotal {
    readonly receivedAt: number;
    readonly groupSize: number;
    readonly knownCount: number;
    /** Counts of the others in the group. */
    readonly others: ReadonlyMap<number, number>;
    readonly uses: ReadonlyMap<number, TotalUse>;
    /** What the included report of this instance said. */
    readonly own: ReadonlyMap<number, OwnUse>;
}

const unused: OthersUse = { count: 0, silentCount: 0, growthPerSecond: 0 };

export function createQuotaView(timer: Timer, self: number, windowMs: () => number): QuotaView {
    const startedAt = timer.now();
    const sent = new Map<number, SentReport>();
    /** The last total, and earlier ones back to the first that is old enough to measure the growth. */
    let totals: KnownTotal[] = [];
    const latest = (): KnownTotal | undefined => totals.at(-1);
    const hasContact = (): boolean => {
        const total = latest();
        return total !== undefined && timer.now() - total.receivedAt < contactTimeoutMs;
    };
    const growthOf = (key: number, total: KnownTotal): number => {
        const earlier = totals[0]!;
        const spanMs = total.receivedAt - earlier.receivedAt;
        return spanMs === 0 ? 0 : ((total.others.get(key) ?? 0) - (earlier.others.get(key) ?? 0)) * msPerSecond / spanMs;
    };
    return {
        recordSent: (sequence, uses) => {
            const sentAt = timer.now();
            sent.forEach((report, known) => sentAt - report.sentAt >= contactTimeoutMs && sent.delete(known));
            sent.set(sequence, { sentAt, uses: new Map(uses.map(use => [use.key, use])) });
        },
        apply: report => {
            const own = report.included.find(({ instance }) => instance === self);
            const included = own === undefined ? undefined : sent.get(own.sequence);
            const now = timer.now();
            if (included === undefined || now - included.sentAt >= contactTimeoutMs) {
                return false;
            }
            const others = new Map(
                report.uses.map(({ key, count }) => [key, Math.max(0, count - (included.uses.get(key)?.count ?? 0))] as const),
            );
            const uses = new Map(report.uses.map(use => [use.key, use]));
            const firstKept = totals.findLastIndex(({ receivedAt }) => now - receivedAt >= growthSpanMs);
            totals = totals.slice(Math.max(0, firstKept));
            totals.push({
                receivedAt: now,
                groupSize: report.instanceCount,
                knownCount: report.knownCount,
                others,
                uses,
                own: included.uses,
            });
            return true;
        },
        ownTaken: key => latest()?.own.get(key)?.taken ?? 0,
        hasContact,
        hasEverHadContact: () => totals.length > 0,
        lastContactAt: () => latest()?.receivedAt ?? startedAt,
        knownCount: () => latest()?.knownCount ?? 0,
        groupSize: () => hasContact() ? Math.max(1, latest()!.groupSize) : 1,
        othersUse: key => {
            const total = latest();
            if (total === undefined) {
                return unused;
            }
            const count = total.others.get(key) ?? 0;
            const silentCount = total.uses.get(key)?.silentCount ?? 0;
            const growthPerSecond = Math.max(0, growthOf(key, total));
            const ageMs = Math.min(timer.now() - total.receivedAt, contactTimeoutMs);
            const overdueMs = ageMs < maxTotalDelayMs ? 0 : ageMs;
            const estimate = count + growthPerSecond * overdueMs / msPerSecond;
            if (hasContact()) {
                return { count: estimate, silentCount, growthPerSecond };
            }
            // What the others admitted before the contact was lost stays in the window for its length.
            const isInWindow = timer.now() - total.receivedAt < windowMs();
            return { count: 0, silentCount: isInWindow ? estimate + silentCount : 0, growthPerSecond: 0 };
        },
    };
}
