/**
 * Datagrams between entries. Each tells every entry of its data centre once a second that it lives and how much load
 * its callers offer; one of them, the speaker, tells the speakers of the other data centres the sum. News that can't wait
 * goes at once.
 */
import type { DataCentreId, ServiceId } from "@pimentospring/core/ids";
import type { Member, MemberRecord, Members } from "@pimentospring/core/steering/members";
import type { Timer } from "@pimentospring/core/time/timer";
import type { Log } from "@pimentospring/runtime/logs/log";
import { logEvents } from "@pimentospring/runtime/logs/logEvents";
import { createSocket, type Socket } from "node:dgram";
import { decodeHeartbeat, encodeHeartbeat, type EntryLoads, type Heartbeat, type PoisonReport } from "./heartbeat.js";

export interface MeshOptions {
    readonly timer: Timer;
    readonly log: Log;
    readonly self: MemberRecord;
    readonly members: Members;
    /** Load that this entry's callers offer now. */
    readonly ownLoads: () => EntryLoads;
    readonly revision: () => number;
    readonly isWatching: () => boolean;
    readonly onHeartbeat: (news: Heartbeat, member: Member) => void;
}

export interface Mesh {
    start(): Promise<void>;
    /** Tells all live entries at once. */
    broadcastPoison(poison: PoisonReport): void;
    /** Tells the data centre at once, or very soon, that the store changed. */
    announceRevision(): void;
    /** Tells the data centre that this entry takes no new requests. */
    announceLeaving(): void;
    close(): void;
    sentBytes(): number;
}

const heartbeatIntervalMs = 1_000;
/** News of the store that come closer together are told at once. */
const revisionDebounceMs = 60;
/** Loads heard of another data centre are passed on for this long. */
const loadExpiryMs = 2_500;

interface ReceivedLoads {
    readonly loads: EntryLoads;
    readonly receivedAt: number;
}

/** The load of a data centre's entries as one, under the data centre's name. */
export function aggregateLoads(dataCentre: DataCentreId, entries: readonly EntryLoads[]): EntryLoads {
    const slots = new Map<ServiceId, number>();
    for (const load of entries.flatMap(entry => entry.loads)) {
        slots.set(load.service, (slots.get(load.service) ?? 0) + load.slots);
    }
    const loads = [...slots].map(([service, count]) => ({ service, slots: count }));
    return { dataCentre, entry: dataCentre, loads };
}

export function createMesh(options: MeshOptions): Mesh {
    const { timer, log, self, members } = options;
    const socket: Socket = createSocket("udp4");
    const localLoads = new Map<string, ReceivedLoads>();
    const remoteLoads = new Map<string, ReceivedLoads>();
    let isLeaving = false;
    let isOpen = false;
    let isAnnouncementPending = false;
    let sentBytes = 0;

    const sendTo = (member: Member, bytes: Buffer): void => {
        if (!isOpen) {
            return;
        }
        const [host, port] = member.record.mesh.split(":");
        sentBytes += bytes.length;
        socket.send(bytes, Number(port), host, error => {
            if (error !== null) {
                log.write(logEvents.datagramFailed, { peer: member.record.mesh, reason: error.message });
            }
        });
    };
    const isLocal = (member: Member): boolean => member.record.dataCentre === self.dataCentre;
    /** The live entry of each data centre with the lowest id. */
    const relays = (): Map<string, Member | undefined> => {
        const found = new Map<string, Member | undefined>([[self.dataCentre, undefined]]);
        let lowest = self.id as string;
        for (const member of members.liveMembers()) {
            const { id, dataCentre } = member.record;
            if (dataCentre === self.dataCentre) {
                if (id < lowest) {
                    lowest = id;
                    found.set(dataCentre, member);
                }
            }
            else {
                const known = found.get(dataCentre);
                if (known === undefined || id < known.record.id) {
                    found.set(dataCentre, member);
                }
            }
        }
        return found;
    };
    const createHeartbeat = (loads: readonly EntryLoads[], poison: readonly PoisonReport[] = []): Heartbeat => ({
        sender: self.id,
        isLeaving,
        isWatching: options.isWatching(),
        revision: options.revision(),
        loads,
        poison,
    });
    const unexpired = (heard: ReadonlyMap<string, ReceivedLoads>): EntryLoads[] =>
        [...heard.values()].filter(({ receivedAt: heardAt }) => timer.now() - heardAt < loadExpiryMs).map(({ loads }) => loads);
    const sendHeartbeats = (): void => {
        const own = options.ownLoads();
        const all = relays();
        const isSpeaker = all.get(self.dataCentre) === undefined;
        const toNear = encodeHeartbeat(createHeartbeat(isSpeaker ? [own, ...unexpired(remoteLoads)] : [own]));
        // Registered entries that were silent are told too: they may have lost us, not died.
        [...members.all()].filter(isLocal).forEach(member => sendTo(member, toNear));
        if (isSpeaker) {
            const far = encodeHeartbeat(createHeartbeat([aggregateLoads(self.dataCentre, [own, ...unexpired(localLoads)])]));
            all.forEach((member, dataCentre) => {
                if (member !== undefined && dataCentre !== self.dataCentre) {
                    sendTo(member, far);
                }
            });
        }
    };
    const receive = (bytes: Buffer): void => {
        const received = decodeHeartbeat(bytes);
        if (received === undefined) {
            log.write(logEvents.datagramRefused, { bytes: bytes.length });
            return;
        }
        const member = members.recordHeartbeat(received.sender, received.isLeaving);
        if (member === undefined) {
            return;
        }
        for (const loads of received.loads) {
            // Other entries of the data centre tell their own load, its speaker those of other data centres too.
            (loads.dataCentre === self.dataCentre ? localLoads : remoteLoads).set(loads.entry, {
                loads,
                receivedAt: timer.now(),
            });
        }
        options.onHeartbeat(received, member);
    };
    return {
        start: () =>
            new Promise((resolve, reject) => {
                const [host, port] = self.mesh.split(":");
                socket.once("error", reject);
                socket.bind(Number(port), host, () => {
                    socket.off("error", reject);
                    socket.on("error", error => log.write(logEvents.datagramFailed, { reason: error.message }));
                    isOpen = true;
                    resolve();
                });
                socket.on("message", receive);
                timer.subscribe(heartbeatIntervalMs, sendHeartbeats);
            }),
        broadcastPoison: poison => {
            const bytes = encodeHeartbeat(createHeartbeat([], [poison]));
            members.liveMembers().forEach(member => sendTo(member, bytes));
        },
        announceRevision: () => {
            if (isAnnouncementPending) {
                return;
            }
            isAnnouncementPending = true;
            timer.after(revisionDebounceMs, () => {
                isAnnouncementPending = false;
                const bytes = encodeHeartbeat(createHeartbeat([]));
                members.liveMembers().filter(isLocal).forEach(member => sendTo(member, bytes));
            });
        },
        announceLeaving: () => {
            isLeaving = true;
            const bytes = encodeHeartbeat(createHeartbeat([]));
            [...members.all()].filter(isLocal).forEach(member => sendTo(member, bytes));
        },
        close: () => {
            isOpen = false;
            socket.close();
        },
        sentBytes: () => sentBytes,
    };
}
