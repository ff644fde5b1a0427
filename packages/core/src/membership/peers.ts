/**
 * Membership and failure detection: which other entries exist, and which are alive, leaving or gone. A missing heartbeat
 * only makes a peer suspect; it never proves that the peer is gone. See `docs/design/ownership.md` for what does.
 */
import { peerChart, type PeerState } from "../chart/charts.js";
import { heartbeatIntervalMs, leaseDurationMs } from "../constants.js";
import { type Address, addressOf, type DataCentreId, type InstanceId, type Revision } from "../ids.js";
import type { Timer } from "../time/timer.js";
import type { Acknowledgement, ForeignLoad, Heartbeat, MemberInfo, Report } from "./messages.js";

/** Known state of one incarnation (process lifetime) of an entry. */
export interface Peer {
    readonly instance: InstanceId;
    readonly dataCentre: DataCentreId;
    /** URL at which callers reach the entry. */
    readonly url: string;
    readonly state: PeerState;
    /** End of the lease from the peer's last acknowledgement, on our clock; until then we may act on a shared view. */
    readonly leaseExpiresAt: number;
    /** Time at which we last acknowledged a heartbeat of the peer, which gave the peer a lease. */
    readonly lastAckSentAt: number;
    /** Digest of the peer's membership view, as last reported. */
    readonly viewDigest: string;
    /** Requests that the peer has in flight at targets it does not own. */
    readonly foreignLoads: readonly ForeignLoad[];
    readonly revision: Revision;
    /** Round-trip time of the last acknowledged heartbeat. */
    readonly roundTripMs: number;
    /** Number of the latest report received from the peer; -1 for none. */
    readonly lastReportNumber: number;
    /** Number of our latest report that the peer has; -1 for none. */
    readonly deliveredReportNumber: number;
}

type MutablePeer = { -readonly [Key in keyof Peer]: Peer[Key]; };

/** The part of this entry's report that comes from the rest of the core. */
export interface OwnReport {
    readonly viewDigest: string;
    readonly revision: Revision;
    readonly leaving: boolean;
    readonly foreign: readonly ForeignLoad[];
}

export interface Peers {
    all(): readonly Peer[];
    find(instance: InstanceId): Peer | undefined;
    /** Whether any incarnation at the address was connected to or is known to be gone. */
    isKnown(address: Address): boolean;
    /** Sends a heartbeat to all peers at once instead of at the next interval. */
    broadcastHeartbeat(): void;
    /** Adds an entry that the mesh has connected to; earlier incarnations at its address are gone. */
    addPeer(info: MemberInfo): void;
    /** Marks the entry at this address as gone: it refused connections, said goodbye or left the platform's list. */
    markGone(address: Address): void;
    receiveHeartbeat(from: InstanceId, heartbeat: Heartbeat): void;
    receiveAcknowledgement(from: InstanceId, acknowledgement: Acknowledgement): void;
}

export interface PeersOptions {
    readonly timer: Timer;
    readonly self: MemberInfo;
    /** Returns the current state to report to peers. */
    readonly ownReport: () => OwnReport;
    readonly sendHeartbeat: (to: InstanceId, heartbeat: Heartbeat) => void;
    readonly sendAcknowledgement: (to: InstanceId, acknowledgement: Acknowledgement) => void;
    /** Called after a change of members, peer states, regained leases or reports. */
    readonly onChange: () => void;
}

/** Other entries listed in one report. */
const maxMembersPerReport = 3;
/** Time for which the address of a gone entry is remembered. */
const gonePeerRetentionMs = 60_000;

export function createPeers(options: PeersOptions): Peers {
    const { timer, self } = options;
    const peers = new Map<InstanceId, MutablePeer>();
    const goneAt = new Map<Address, number>();
    const sentAt = new Map<number, number>();
    let sequence = 0;
    let sampleOffset = 0;
    let report: Report = { number: -1, self, viewDigest: "", revision: 0 as Revision, leaving: false, foreign: [], members: [] };
    let lastReportText = "";

    const sampleMembers = (): MemberInfo[] => {
        const known = [...peers.values()].filter(peer => peer.state === "alive");
        sampleOffset++;
        const count = Math.min(maxMembersPerReport, known.length);
        return Array.from({ length: count }, (_, step) => toMemberInfo(known[(sampleOffset + step) % known.length]!));
    };
    /** Creates a new report if our state has changed since the last one. */
    const refreshReport = (): void => {
        const next = options.ownReport();
        const text = JSON.stringify(next);
        if (text !== lastReportText) {
            lastReportText = text;
            report = { number: report.number + 1, self, ...next, members: sampleMembers() };
        }
    };
    const heartbeatFieldsFor = (peer: MutablePeer) => ({
        number: report.number,
        has: peer.lastReportNumber,
        ...(peer.deliveredReportNumber === report.number ? {} : { report }),
    });
    const broadcastHeartbeat = (): void => {
        sequence++;
        sentAt.set(sequence, timer.now());
        refreshReport();
        for (const peer of peers.values()) {
            if (peer.state !== "gone") {
                options.sendHeartbeat(peer.instance, { kind: "heartbeat", sequence, ...heartbeatFieldsFor(peer) });
            }
        }
    };
    const addPeer = (info: MemberInfo): MutablePeer => {
        const known = peers.get(info.instance);
        if (known !== undefined) {
            return known;
        }
        const peer = createPeer(info);
        peers.set(info.instance, peer);
        goneAt.delete(addressOf(info.instance));
        markEarlierIncarnationsGone(peers, info.instance);
        options.onChange();
        return peer;
    };
    const markGone = (address: Address): void => {
        goneAt.set(address, timer.now());
        for (const peer of peers.values()) {
            if (addressOf(peer.instance) === address && peer.state !== "gone") {
                markPeerGone(peer);
            }
        }
        options.onChange();
    };
    /**
     * Updates the sender's state from a message; returns undefined if the sender is unknown or gone. `onChange` is called
     * only for a new report: most messages carry none, and with many peers the callback costs more than the message.
     */
    const acceptMessage = (from: InstanceId, message: Heartbeat | Acknowledgement): MutablePeer | undefined => {
        const peer = peers.get(from) ?? (message.report === undefined ? undefined : addPeer(message.report.self));
        if (peer === undefined || peer.state === "gone") {
            return undefined;
        }
        peer.deliveredReportNumber = message.has;
        if (message.report !== undefined && message.report.number > peer.lastReportNumber) {
            applyReport(peer, message.report);
            options.onChange();
        }
        return peer;
    };
    const receiveHeartbeat = (from: InstanceId, heartbeat: Heartbeat): void => {
        const peer = acceptMessage(from, heartbeat);
        if (peer === undefined) {
            return;
        }
        peer.lastAckSentAt = timer.now();
        refreshReport();
        options.sendAcknowledgement(from, { kind: "acknowledgement", sequence: heartbeat.sequence, ...heartbeatFieldsFor(peer) });
    };
    const receiveAcknowledgement = (from: InstanceId, acknowledgement: Acknowledgement): void => {
        const peer = acceptMessage(from, acknowledgement);
        const sent = sentAt.get(acknowledgement.sequence);
        // A lease is valid only together with the report that was current when the peer granted it.
        if (peer === undefined || sent === undefined || peer.lastReportNumber < acknowledgement.number) {
            return;
        }
        const now = timer.now();
        const isRegained = peer.leaseExpiresAt <= now;
        peer.leaseExpiresAt = Math.max(peer.leaseExpiresAt, sent + leaseDurationMs);
        peer.roundTripMs = now - sent;
        if (peer.leaseExpiresAt > now) {
            peer.state = peerChart.next(peer.state, "acknowledged");
        }
        if (isRegained) {
            options.onChange();
        }
    };
    const purgeExpired = (now: number): void => {
        for (const [number, sent] of sentAt) {
            if (sent + leaseDurationMs < now) {
                sentAt.delete(number);
            }
        }
        for (const [address, since] of goneAt) {
            if (since + gonePeerRetentionMs < now) {
                goneAt.delete(address);
                [...peers.values()].filter(peer => peer.state === "gone" && addressOf(peer.instance) === address)
                    .forEach(peer => peers.delete(peer.instance));
            }
        }
    };
    const expireLeases = (): void => {
        const now = timer.now();
        purgeExpired(now);
        let hasChanged = false;
        for (const peer of peers.values()) {
            const next = peer.leaseExpiresAt <= now ? peerChart.next(peer.state, "leaseRanOut") : peer.state;
            hasChanged ||= next !== peer.state;
            peer.state = next;
        }
        if (hasChanged) {
            options.onChange();
        }
    };
    timer.subscribe(heartbeatIntervalMs, () => {
        expireLeases();
        broadcastHeartbeat();
    });
    return {
        all: () => [...peers.values()],
        find: instance => peers.get(instance),
        isKnown: address => goneAt.has(address) || [...peers.values()].some(peer => addressOf(peer.instance) === address),
        broadcastHeartbeat,
        addPeer: info => void addPeer(info),
        markGone,
        receiveHeartbeat,
        receiveAcknowledgement,
    };
}

function applyReport(peer: MutablePeer, report: Report): void {
    peer.lastReportNumber = report.number;
    peer.viewDigest = report.viewDigest;
    peer.foreignLoads = report.foreign;
    peer.revision = report.revision;
    if (report.leaving) {
        peer.state = peerChart.next(peer.state, "announcedLeaving");
    }
}

function createPeer(info: MemberInfo): MutablePeer {
    return {
        ...info,
        state: peerChart.initial,
        leaseExpiresAt: -Infinity,
        lastAckSentAt: -Infinity,
        viewDigest: "",
        foreignLoads: [],
        revision: 0 as Revision,
        roundTripMs: 0,
        lastReportNumber: -1,
        deliveredReportNumber: -1,
    };
}

const toMemberInfo = (peer: Peer): MemberInfo => ({ instance: peer.instance, dataCentre: peer.dataCentre, url: peer.url });

function markPeerGone(peer: MutablePeer): void {
    peer.state = peerChart.next(peer.state, "provedGone");
    peer.foreignLoads = [];
}

/** Only one process runs at an address, so a new incarnation proves that the earlier ones are gone. */
function markEarlierIncarnationsGone(peers: ReadonlyMap<InstanceId, MutablePeer>, instance: InstanceId): void {
    const address = addressOf(instance);
    for (const peer of peers.values()) {
        if (peer.instance !== instance && addressOf(peer.instance) === address) {
            markPeerGone(peer);
        }
    }
}
