/**
 * UDP heartbeats between entries. Once a second each entry sends its callers' offered load to every entry of its data
 * centre. One entry per data centre, the relay, also sends the data centre's total load to the relays of the other data
 * centres. Several times a second each entry tells those of its data centre of its attempts at targets, through the relay.
 * Poison reports, store revisions and shutdown are announced without waiting for the next heartbeat. Heartbeats repeat poison
 * reports, and an entry that is heard of for the first time, or again, or that the store lists for the first time, gets them
 * at once.
 */
import type { DataCentreId, InstanceId, ServiceId, TargetIncarnationId } from "@pimentospring/core/ids";
import { quotaReportIntervalMs, type ReportedLimit } from "@pimentospring/core/limits/quotaLimit";
import type { QuotaReport } from "@pimentospring/core/limits/quotaReport";
import type { PoisonReport } from "@pimentospring/core/poison/poisonList";
import type { AttemptDigest } from "@pimentospring/core/steering/attemptDigest";
import type { Member, MemberRecord, Members } from "@pimentospring/core/steering/members";
import type { ServiceLoad } from "@pimentospring/core/steering/spillover";
import type { Timer } from "@pimentospring/core/time/timer";
import type { Log } from "@pimentospring/runtime/logs/log";
import { logEvents } from "@pimentospring/runtime/logs/logEvents";
import type { DatagramSocket } from "./datagramSocket.js";
import { decodeDigests, type DigestMessage, encodeDigests, type PeerDigest } from "./digestCodec.js";
import { createDigestRelay } from "./digestRelay.js";
import { decodeHeartbeat, encodeHeartbeat, type EntryLoads, type Heartbeat } from "./heartbeat.js";

export interface MeshOptions {
    readonly timer: Timer;
    readonly log: Log;
    readonly socket: DatagramSocket;
    readonly self: MemberRecord;
    readonly members: Members;
    /** Load currently offered by this entry's callers. */
    readonly ownLoads: () => EntryLoads;
    readonly revision: () => number;
    /** Target incarnations that this entry has recently learned to be leaving. */
    readonly leavingTargets: () => readonly TargetIncarnationId[];
    /** Poison reports that heartbeats repeat, `maxCount` at most. */
    readonly poisonReports: (maxCount: number) => readonly PoisonReport[];
    readonly isWatching: () => boolean;
    readonly onHeartbeat: (heartbeat: Heartbeat, member: Member) => void;
    /** Takes the heartbeat of an entry that is not a known member. */
    readonly onUnknownHeartbeat: (heartbeat: Heartbeat) => void;
    /** Takes what this entry has to tell about its attempts; `undefined` if nothing. */
    readonly takeDigest: () => AttemptDigest | undefined;
    readonly onDigest: (entry: InstanceId, digest: AttemptDigest) => void;
    /** What entries tell each other about the use of shared limits. */
    readonly quotaReports?: Pick<ReportedLimit<never>, "takeReport" | "applyReport">;
}

export interface Mesh {
    start(): Promise<void>;
    /** Sends the reports to all live entries immediately. */
    broadcastPoison(reports: readonly PoisonReport[]): void;
    /**
     * Announces the current store revision after a short debounce: to the entries of this data centre, or also to the relays
     * of all others, which otherwise hear of it with the next heartbeat.
     */
    announceRevision(scope: AnnouncementScope): void;
    /** Announces to this data centre that this entry accepts no new requests. */
    announceLeaving(): void;
    /**
     * Sends an entry that the store lists for the first time the poison reports and leaving targets, also if this entry leaves
     * and the store no longer lists it.
     */
    sendReportsTo(member: Member): void;
    close(): void;
    sentBytes(): number;
}

export type AnnouncementScope = "dataCentre" | "everywhere";

const heartbeatIntervalMs = 1_000;
/** Shorter than most work takes, so that peers know of most attempts while they run. */
const digestIntervalMs = 250;
/** Entries of a data centre that receive the quota reports of all: the relay and its deputy. */
const quotaRelayCount = 2;
/** A relay of another data centre that has not sent quota reports for this long may have been replaced. */
const reportingRelayTimeoutMs = 900;
/** Store revisions that follow each other within this time share one announcement. */
const revisionDebounceMs = 60;
/** Bound on the poison reports in a datagram. */
const maxPoisonReports = 24;
/** Interval at which an entry that has just started looks for others. */
const firstContactIntervalMs = 50;
/** An entry that was not heard of for this long may have missed reports. */
const contactTimeoutMs = 2_600;
/** Entries that are asked for their records within a heartbeat. */
const maxAsked = 1_000;
/** Received loads are passed on for this long. */
const loadExpiryMs = 2_500;

interface ReceivedLoads {
    readonly loads: EntryLoads;
    readonly receivedAt: number;
}

interface ReportingRelay {
    readonly member: Member;
    readonly heardAt: number;
}

/** Sums the load of a data centre's entries under the data centre's own id. The first entry's fractions stand for all. */
export function aggregateLoads(dataCentre: DataCentreId, entries: readonly EntryLoads[]): EntryLoads {
    const slots = new Map<ServiceId, number>();
    for (const load of entries.flatMap(entry => entry.loads)) {
        slots.set(load.service, (slots.get(load.service) ?? 0) + load.slots);
    }
    const first = entries[0]?.loads ?? [];
    const loads = [...slots].map(([service, count]): ServiceLoad => {
        const remoteFractions = first.find(load => load.service === service)?.remoteFractions;
        return remoteFractions === undefined ? { service, slots: count } : { service, slots: count, remoteFractions };
    });
    return { dataCentre, entry: dataCentre, loads };
}

function lowestId(entries: readonly Member[]): Member | undefined {
    return entries.reduce<Member | undefined>(
        (lowest, entry) => lowest === undefined || entry.record.id < lowest.record.id ? entry : lowest,
        undefined,
    );
}

export function createMesh(options: MeshOptions): Mesh {
    const { timer, log, socket, self, members } = options;
    const digestRelay = createDigestRelay();
    const localLoads = new Map<string, ReceivedLoads>();
    const remoteLoads = new Map<string, ReceivedLoads>();
    /** Entries that sent quota reports for other data centres. */
    const reportingRelays = new Map<string, ReportingRelay>();
    /** Times at which entries were last heard of. */
    const heardAt = new Map<InstanceId, number>();
    /** Times at which entries were asked for their records. */
    const askedAt = new Map<InstanceId, number>();
    let isLeaving = false;
    let isOpen = false;
    let pendingAnnouncement: AnnouncementScope | undefined;
    let sentBytes = 0;

    const sendToAddress = (address: string, bytes: Buffer): void => {
        if (!isOpen) {
            return;
        }
        sentBytes += bytes.length;
        socket.send(address, bytes);
    };
    const sendTo = (member: Member, bytes: Buffer): void => sendToAddress(member.record.mesh, bytes);
    const isLocal = (member: Member): boolean => member.record.dataCentre === self.dataCentre;
    const isHeard = ({ lastHeardAt }: Member): boolean => timer.now() - lastHeardAt < contactTimeoutMs;
    /** The live entry with the lowest id in each data centre; `undefined` where that is this entry. */
    const relays = (): Map<string, Member | undefined> => {
        const relayOf = new Map<string, Member | undefined>([[self.dataCentre, undefined]]);
        let lowestId = self.id as string;
        for (const member of members.liveMembers()) {
            const { id, dataCentre } = member.record;
            if (dataCentre === self.dataCentre) {
                if (id < lowestId) {
                    lowestId = id;
                    relayOf.set(dataCentre, member);
                }
            }
            else {
                const known = relayOf.get(dataCentre);
                if (known === undefined || id < known.record.id) {
                    relayOf.set(dataCentre, member);
                }
            }
        }
        return relayOf;
    };
    const createHeartbeat = (
        loads: readonly EntryLoads[],
        poison: readonly PoisonReport[] = options.poisonReports(maxPoisonReports),
    ): Heartbeat => ({
        sender: self.id,
        isLeaving,
        isWatching: options.isWatching(),
        revision: options.revision(),
        loads,
        poison,
        requestsRecord: false,
        record: undefined,
        leavingTargets: options.leavingTargets(),
    });
    /** Forgets the expired ones. */
    const unexpired = (received: Map<string, ReceivedLoads>): EntryLoads[] => {
        received.forEach(({ receivedAt }, entry) => timer.now() - receivedAt >= loadExpiryMs && received.delete(entry));
        return [...received.values()].map(({ loads }) => loads);
    };
    const sendHeartbeats = (): void => {
        const own = options.ownLoads();
        const relayByDataCentre = relays();
        const isRelay = relayByDataCentre.get(self.dataCentre) === undefined;
        const localBytes = encodeHeartbeat(createHeartbeat(isRelay ? [own, ...unexpired(remoteLoads)] : [own]));
        // Entries without a recent heartbeat are included: they may have lost contact with this entry and still be
        // alive.
        [...members.all()].filter(isLocal).forEach(member => sendTo(member, localBytes));
        if (isRelay) {
            const remoteBytes = encodeHeartbeat(
                createHeartbeat([aggregateLoads(self.dataCentre, [own, ...unexpired(localLoads)])]),
            );
            relayByDataCentre.forEach((member, dataCentre) => {
                if (member !== undefined && dataCentre !== self.dataCentre) {
                    sendTo(member, remoteBytes);
                }
            });
        }
    };
    const sendAnnouncement = (): void => {
        const bytes = encodeHeartbeat(createHeartbeat([]));
        members.liveMembers().filter(isLocal).forEach(member => sendTo(member, bytes));
        if (pendingAnnouncement === "everywhere") {
            relays().forEach((relay, dataCentre) => {
                if (relay !== undefined && dataCentre !== self.dataCentre) {
                    sendTo(relay, bytes);
                }
            });
        }
        pendingAnnouncement = undefined;
    };
    const sendDigests = (): void => {
        const digest = options.takeDigest();
        const local = members.liveMembers().filter(isLocal);
        const own: PeerDigest[] = digest === undefined ? [] : [{ sender: self.id, digest }];
        const relay = lowestId(local);
        if (relay === undefined || self.id < relay.record.id) {
            own.forEach(digestRelay.add);
        }
        else if (own.length > 0) {
            sendTo(relay, encodeDigests({ isRelayed: false, digests: own }));
        }
        // Entries may disagree for a moment about which of them is the relay: whoever receives digests passes them on.
        for (const digests of digestRelay.takeGroups()) {
            const bytes = encodeDigests({ isRelayed: true, digests });
            local.forEach(member => sendTo(member, bytes));
        }
    };
    const encodeReport = (quotaReport: QuotaReport): Buffer =>
        encodeHeartbeat({ ...createHeartbeat([], []), leavingTargets: [], quotaReport });
    /** The store may list a relay for some time after it has died. */
    const reportingRelay = (dataCentre: string): Member | undefined => {
        const relay = reportingRelays.get(dataCentre);
        return relay !== undefined && timer.now() - relay.heardAt < reportingRelayTimeoutMs ? relay.member : undefined;
    };
    /** Quota reports are sent as short heartbeats, which older versions accept. */
    const sendQuotaReports = (): void => {
        const local = members.liveMembers().filter(isLocal).sort((first, second) => first.record.id < second.record.id ? -1 : 1);
        const firstAfterSelf = local.findIndex(({ record }) => record.id > self.id);
        const position = firstAfterSelf === -1 || isLeaving ? local.length : firstAfterSelf;
        const due = options.quotaReports?.takeReport(position);
        if (due === undefined) {
            return;
        }
        const relayCount = position < quotaRelayCount ? quotaRelayCount - 1 : quotaRelayCount;
        const bytes = encodeReport(due.toRelays);
        local.slice(0, relayCount).forEach(relay => sendTo(relay, bytes));
        if (due.toDataCentre !== undefined) {
            const totalBytes = encodeReport(due.toDataCentre);
            // Entries that are leaving still admit requests for a moment.
            [...members.all()].filter(isLocal).filter(isHeard).forEach(member => sendTo(member, totalBytes));
        }
        if (due.toOtherDataCentres !== undefined) {
            const sumBytes = encodeReport(due.toOtherDataCentres);
            relays().forEach((lowest, dataCentre) => {
                const relay = reportingRelay(dataCentre) ?? lowest;
                if (relay !== undefined && dataCentre !== self.dataCentre) {
                    sendTo(relay, sumBytes);
                }
            });
        }
    };
    const receiveQuotaReport = (report: QuotaReport, member: Member): void => {
        if (report.kind === "dataCentre") {
            // An entry sums up its own data centre only; others' names could fill the table of sums.
            if (report.dataCentre !== member.record.dataCentre) {
                return;
            }
            reportingRelays.set(member.record.dataCentre, { member, heardAt: timer.now() });
        }
        options.quotaReports?.applyReport(member.record.id, report);
    };
    const receiveDigests = ({ isRelayed, digests }: DigestMessage): void => {
        for (const peerDigest of digests) {
            if (peerDigest.sender !== self.id) {
                options.onDigest(peerDigest.sender, peerDigest.digest);
            }
            if (!isRelayed) {
                digestRelay.add(peerDigest);
            }
        }
    };
    /** Asked once a heartbeat: two entries that fail to learn of each other must not answer each other without end. */
    const mayAsk = (entry: InstanceId): boolean => {
        const now = timer.now();
        askedAt.forEach((at, asked) => now - at >= heartbeatIntervalMs && askedAt.delete(asked));
        if (askedAt.has(entry) || askedAt.size >= maxAsked) {
            return false;
        }
        askedAt.set(entry, now);
        return true;
    };
    /** Entries that this one has no record of, such as ones just started while this one can't read the store, are asked for it. */
    const exchangeRecords = (heartbeat: Heartbeat, address: string): void => {
        if (heartbeat.record !== undefined) {
            members.addAnnounced(heartbeat.record);
        }
        const requestsRecord = !heartbeat.isLeaving && !members.isKnown(heartbeat.sender) && mayAsk(heartbeat.sender);
        if (requestsRecord || heartbeat.requestsRecord) {
            const record = heartbeat.requestsRecord ? self : undefined;
            sendToAddress(address, encodeHeartbeat({ ...createHeartbeat([]), requestsRecord, record }));
        }
    };
    /** An entry that is heard of for the first time, or again, gets the poison reports before it sends on what they name. */
    const sendReportsToNew = ({ sender, isLeaving: isSenderLeaving }: Heartbeat, address: string): void => {
        const now = timer.now();
        const isNew = now - (heardAt.get(sender) ?? -Infinity) > contactTimeoutMs;
        if (isNew) {
            heardAt.forEach((at, entry) => now - at > contactTimeoutMs && heardAt.delete(entry));
        }
        heardAt.set(sender, now);
        const reports = isNew && !isSenderLeaving ? options.poisonReports(maxPoisonReports) : [];
        if (reports.length > 0) {
            sendToAddress(address, encodeHeartbeat(createHeartbeat([], reports)));
        }
    };
    const receiveDatagram = (bytes: Buffer, address: string): void => {
        const digestMessage = decodeDigests(bytes);
        if (digestMessage !== undefined) {
            receiveDigests(digestMessage);
            return;
        }
        const heartbeat = decodeHeartbeat(bytes);
        if (heartbeat === undefined) {
            log.write(logEvents.datagramRefused, { bytes: bytes.length });
            return;
        }
        if (heartbeat.sender === self.id) {
            return;
        }
        exchangeRecords(heartbeat, address);
        const member = members.recordHeartbeat(heartbeat.sender, heartbeat.isLeaving);
        if (member === undefined) {
            options.onUnknownHeartbeat(heartbeat);
            return;
        }
        sendReportsToNew(heartbeat, address);
        for (const loads of heartbeat.loads) {
            // Entries of this data centre report their own load; its relay also reports those of other data centres.
            (loads.dataCentre === self.dataCentre ? localLoads : remoteLoads).set(loads.entry, {
                loads,
                receivedAt: timer.now(),
            });
        }
        options.onHeartbeat(heartbeat, member);
        if (heartbeat.quotaReport !== undefined) {
            receiveQuotaReport(heartbeat.quotaReport, member);
        }
    };
    return {
        start: async () => {
            await socket.bind(self.mesh, {
                onDatagram: receiveDatagram,
                onError: (reason, peer) => log.write(logEvents.datagramFailed, { peer, reason }),
            });
            isOpen = true;
            timer.subscribe(heartbeatIntervalMs, sendHeartbeats);
            const cancelSearch = timer.subscribe(firstContactIntervalMs, () => {
                if (members.liveMembers().length > 0) {
                    cancelSearch();
                    sendHeartbeats();
                }
            });
            timer.after(heartbeatIntervalMs, cancelSearch);
            timer.subscribe(digestIntervalMs, sendDigests);
            timer.subscribe(quotaReportIntervalMs, sendQuotaReports);
        },
        broadcastPoison: reports => {
            for (let first = 0; first < reports.length; first += maxPoisonReports) {
                const bytes = encodeHeartbeat(createHeartbeat([], reports.slice(first, first + maxPoisonReports)));
                members.liveMembers().forEach(member => sendTo(member, bytes));
            }
        },
        announceRevision: scope => {
            const isScheduled = pendingAnnouncement !== undefined;
            pendingAnnouncement = pendingAnnouncement === "everywhere" ? "everywhere" : scope;
            if (!isScheduled) {
                timer.after(revisionDebounceMs, sendAnnouncement);
            }
        },
        announceLeaving: () => {
            isLeaving = true;
            const bytes = encodeHeartbeat(createHeartbeat([]));
            [...members.all()].filter(isLocal).forEach(member => sendTo(member, bytes));
        },
        sendReportsTo: member => {
            const heartbeat = createHeartbeat([]);
            if (heartbeat.poison.length > 0 || heartbeat.leavingTargets.length > 0) {
                sendTo(member, encodeHeartbeat(heartbeat));
            }
        },
        close: () => {
            isOpen = false;
            socket.close();
        },
        sentBytes: () => sentBytes,
    };
}
