/**
 * Knows the other entries: who they are, which answer, which are leaving and which are proved gone.
 * Silence alone never proves an entry gone; see `docs/design/ownership.md` for what does.
 */
import { peerChart, type PeerState } from "../chart/charts.js";
import { heartbeatIntervalMs, leaseDurationMs } from "../constants.js";
import { type Address, addressOf, type DataCentreId, type InstanceId, type Revision } from "../ids.js";
import type { Timer } from "../time/timer.js";
import type { Acknowledgement, ForeignLoad, Heartbeat, MemberInfo, Report } from "./messages.js";

/** What is known of one run of an entry. */
export interface Peer {
    readonly instance: InstanceId;
    readonly dataCentre: DataCentreId;
    /** Callers' URL of the entry. */
    readonly url: string;
    readonly state: PeerState;
    /** Until when, on our clock, the peer's last acknowledgement lets us act on a view shared with it. */
    readonly leaseExpiresAt: number;
    /** When we last acknowledged a heartbeat of the peer; it may act on the shared view for a while after. */
    readonly lastAckSentAt: number;
    /** Digest of the view that the peer last told us. */
    readonly viewDigest: string;
    /** Requests that the peer still has in flight at targets it no longer owns. */
    readonly foreignLoads: readonly ForeignLoad[];
    readonly revision: Revision;
    /** Round trip of the last heartbeat, in milliseconds. */
    readonly roundTripMs: number;
    /** Number of the newest report taken from the peer. */
    readonly lastReportNumber: number;
    /** Number of our newest report that the peer has. */
    readonly deliveredReportNumber: number;
}

type MutablePeer = { -readonly [Key in keyof Peer]: Peer[Key]; };

/** What an entry says of itself; told to peers when it changes. */
export interface SelfReport {
    readonly viewDigest: string;
    readonly revision: Revision;
    readonly leaving: boolean;
    readonly foreign: readonly ForeignLoad[];
}

export interface Peers {
    all(): readonly Peer[];
    find(instance: InstanceId): Peer | undefined;
    /** Whether some run at the address was met or is proved gone. */
    isKnown(address: Address): boolean;
    /** Sends a heartbeat to everyone now, not at the next turn; after a change of view. */
    broadcastHeartbeat(): void;
    /** The mesh reached an entry and learned which run of it answers. */
    addPeer(hint: MemberInfo): void;
    /** The entry at this address is proved gone: refused connections, said goodbye, or left the platform's list. */
    markGone(address: Address): void;
    receiveHeartbeat(from: InstanceId, heartbeat: Heartbeat): void;
    receiveAcknowledgement(from: InstanceId, acknowledgement: Acknowledgement): void;
}

export interface PeersOptions {
    readonly timer: Timer;
    readonly self: MemberInfo;
    /** Reads what to say of ourselves. */
    readonly ownReport: () => SelfReport;
    readonly sendHeartbeat: (to: InstanceId, heartbeat: Heartbeat) => void;
    readonly sendAcknowledgement: (to: InstanceId, acknowledgement: Acknowledgement) => void;
    /** Called after any change of members, states, leases or views. */
    readonly onChange: () => void;
}

/** Other entries named in a report. */
const maxMembersPerReport = 3;
/** Time for which a run that is gone is remembered, in milliseconds. */
const gonePeerRetentionMs = 60_000;

export function createPeers(options: PeersOptions): Peers {
    const { timer, self } = options;
    const peers = new Map<InstanceId, MutablePeer>();
    const gone = new Map<Address, number>();
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
    /** Makes a new report when something in it changed. */
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
    const announce = (): void => {
        sequence++;
        sentAt.set(sequence, timer.now());
        refreshReport();
        for (const peer of peers.values()) {
            if (peer.state !== "gone") {
                options.sendHeartbeat(peer.instance, { kind: "heartbeat", sequence, ...heartbeatFieldsFor(peer) });
            }
        }
    };
    const met = (hint: MemberInfo): MutablePeer => {
        const known = peers.get(hint.instance);
        if (known !== undefined) {
            return known;
        }
        const peer = createPeer(hint);
        peers.set(hint.instance, peer);
        gone.delete(addressOf(hint.instance));
        markEarlierRunsGone(peers, hint.instance);
        options.onChange();
        return peer;
    };
    const provedGone = (address: Address): void => {
        gone.set(address, timer.now());
        for (const peer of peers.values()) {
            if (addressOf(peer.instance) === address && peer.state !== "gone") {
                markPeerGone(peer);
            }
        }
        options.onChange();
    };
    /**
     * Takes what a message says of its sender; undefined when the sender is not known or gone. Most messages say
     * nothing new, and only news is passed on: with many peers the rest would cost more than the messages.
     */
    const acceptMessage = (from: InstanceId, message: Heartbeat | Acknowledgement): MutablePeer | undefined => {
        const peer = peers.get(from) ?? (message.report === undefined ? undefined : met(message.report.self));
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
        // A lease counts only together with what the peer said when it gave it.
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
        for (const [address, at] of gone) {
            if (at + gonePeerRetentionMs < now) {
                gone.delete(address);
                [...peers.values()].filter(peer => peer.state === "gone" && addressOf(peer.instance) === address)
                    .forEach(peer => peers.delete(peer.instance));
            }
        }
    };
    const expireLeases = (): void => {
        const now = timer.now();
        purgeExpired(now);
        let isNews = false;
        for (const peer of peers.values()) {
            const next = peer.leaseExpiresAt <= now ? peerChart.next(peer.state, "leaseRanOut") : peer.state;
            isNews ||= next !== peer.state;
            peer.state = next;
        }
        if (isNews) {
            options.onChange();
        }
    };
    timer.subscribe(heartbeatIntervalMs, () => {
        expireLeases();
        announce();
    });
    return {
        all: () => [...peers.values()],
        find: instance => peers.get(instance),
        isKnown: address => gone.has(address) || [...peers.values()].some(peer => addressOf(peer.instance) === address),
        broadcastHeartbeat: announce,
        addPeer: hint => void met(hint),
        markGone: provedGone,
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

function createPeer(hint: MemberInfo): MutablePeer {
    return {
        ...hint,
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

/** One address runs one process: whoever answers there now proves earlier runs gone. */
function markEarlierRunsGone(peers: ReadonlyMap<InstanceId, MutablePeer>, instance: InstanceId): void {
    const address = addressOf(instance);
    for (const peer of peers.values()) {
        if (peer.instance !== instance && addressOf(peer.instance) === address) {
            markPeerGone(peer);
        }
    }
}
